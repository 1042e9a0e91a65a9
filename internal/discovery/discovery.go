// Package discovery asks for the list of cache nodes and watches its changes.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulleinpier/internal/membership"
)

const (
	maxList   = 8 << 20
	dialWait  = 1500 * time.Millisecond // well under the 4 s after which a new address counts as heard
	firstWait = 6 * time.Second         // a call may wait its turn
	// An idle watch writes a line every 2 s. What one misses that has fallen silent counts as told 6 s later: there must be
	// time left for the wait before a new call, which spreads those of all proxies, and for that call.
	silentWait = 3 * time.Second
)

// List is a list of nodes, or its changes, as discovery tells it.
type List struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is a node's entry.
type Endpoint struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Type          string  `json:"type"`
	Group         int     `json:"group"`
	Status        string  `json:"status"`
	Weight        float64 `json:"weight"`
	StartedMillis float64 `json:"since_ms"`
	// Of sources that can tell: what changes with each start, and why a node is not up.
	Instance string `json:"-"`
	Reason   string `json:"-"`
}

// Parse reads a list, and takes none that is partly wrong.
func Parse(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("list of nodes: %w", err)
	}
	// What holds no list at all would take every node away: an error told in JSON, say.
	if l.Endpoints == nil {
		return l, errors.New("list of nodes: no endpoints")
	}
	return l, l.check()
}

func (l *List) check() error {
	for _, e := range l.Endpoints {
		if e.Name == "" {
			return errors.New("list of nodes: entry without a name")
		}
		if _, ok := statuses[e.Status]; !ok {
			return fmt.Errorf("list of nodes: status of %s cannot be %q", e.Name, e.Status)
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Status != "removed" {
			return fmt.Errorf("list of nodes: address of %s: %w", e.Name, err)
		}
		if e.StartedMillis < 0 || e.StartedMillis > math.MaxInt64/1e6 {
			return fmt.Errorf("list of nodes: since_ms of %s is out of range", e.Name)
		}
	}
	return nil
}

var statuses = map[string]membership.Status{"up": membership.Up, "draining": membership.Draining, "removed": membership.Gone}

// Nodes says a list in membership's terms.
func (l *List) Nodes() []membership.Node {
	nodes := make([]membership.Node, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		nodes = append(nodes, membership.Node{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Group: e.Group,
			Weight: e.Weight, Status: statuses[e.Status], Started: time.Duration(e.StartedMillis * float64(time.Millisecond)),
			Instance: e.Instance, Reason: e.Reason})
	}
	return nodes
}

// Source is where a list of nodes comes from.
type Source interface {
	// Fetch asks for the whole list.
	Fetch(ctx context.Context) (List, error)
	// Watch tells each change after version from until it is lost or ctx ends; it
	// always returns an error. Silence is loss too.
	Watch(ctx context.Context, from uint64, tell func(List)) error
}

// SourceConfig names a source: exactly one of its fields is set.
type SourceConfig struct {
	Address         string // HOST:PORT of a service that speaks the platform's form
	File            string // path of a node file
	StaticAddresses string // addresses of nodes that never change, by commas
	Custom          Opener // any other kind; comparable
}

// Opener is the place of another kind of source.
type Opener interface {
	Open() Source
	String() string
}

// NeedsConfirmation tells whether the source gives whole lists only, which may collapse when it
// fails. Others name who leaves, or are what an operator wrote.
func (p SourceConfig) NeedsConfirmation() bool { return p.Custom != nil }

// String names the place in a log.
func (p SourceConfig) String() string {
	switch {
	case p.File != "":
		return "file " + p.File
	case p.StaticAddresses != "":
		return "addresses " + p.StaticAddresses
	case p.Custom != nil:
		return p.Custom.String()
	}
	return p.Address
}

// Open returns the source at a place. It does no I/O. Each is one of its own, and
// comparable.
func (p SourceConfig) Open() Source {
	switch {
	case p.File != "":
		return &file{path: p.File}
	case p.StaticAddresses != "":
		return &fixed{StaticList(p.StaticAddresses)}
	case p.Custom != nil:
		return p.Custom.Open()
	}
	return NewClient(p.Address)
}

// Client asks one discovery service.
type Client struct {
	base string
	http http.Client
}

// NewClient returns a Client of the service at address.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address + "/api/targets", http: http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10,
			DialContext: (&net.Dialer{Timeout: dialWait, KeepAlive: -1}).DialContext}}}
}

// Fetch asks for the whole list.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, firstWait)
	defer cancel()
	body, err := c.get(ctx, "")
	if err != nil {
		return List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxList))
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	l.Snapshot = true
	return l, err
}

// Watch tells each change after version from, until the watch is lost: its end
// always has an error. Silence is loss too, as a machine cut off says nothing. Any byte is a sign of life.
func (c *Client) Watch(ctx context.Context, from uint64, tell func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstWait, func() { cancel(errors.New("no word in time")) })
	defer silence.Stop()
	body, err := c.get(ctx, "?watch=1&from="+strconv.FormatUint(from, 10))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer body.Close()
	in := bufio.NewReaderSize(heard{body, func() { silence.Reset(silentWait) }}, 16<<10)
	for text := make([]byte, 0, 16<<10); ; {
		if text, err = object(in, text[:0]); err != nil {
			return fmt.Errorf("discovery: watch ended: %w", errors.Join(err, context.Cause(ctx)))
		}
		l, err := Parse(text)
		if err != nil {
			return err
		}
		tell(l)
	}
}

// heard tells of each read that brings something.
type heard struct {
	io.Reader
	tell func()
}

// Read implements io.Reader.
func (h heard) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.tell()
	}
	return n, err
}

var (
	errNoObject = errors.New("list of nodes: not an object")
	errTooLong  = errors.New("list of nodes: too long")
)

// object appends the next JSON object to text, wherever its lines end, and passes over white space before it. It finds where the
// object ends and no more: whether it can be read is for Parse.
func object(in *bufio.Reader, text []byte) ([]byte, error) {
	depth, quoted, escaped := 0, false, false
	for {
		if _, err := in.Peek(1); err != nil {
			return text, err
		}
		if len(text) == maxList {
			return text, errTooLong
		}
		came, _ := in.Peek(min(in.Buffered(), maxList-len(text)))
		from := 0 // of what belongs to the object
		for i, b := range came {
			switch {
			case depth == 0 && (b == ' ' || b == '\t' || b == '\r' || b == '\n'):
				from = i + 1
			case depth == 0 && b != '{':
				return text, errNoObject
			case escaped:
				escaped = false
			case quoted && b == '\\':
				escaped = true
			case b == '"':
				quoted = !quoted
			case quoted:
			case b == '{' || b == '[':
				depth++
			case b == '}' || b == ']':
				if depth--; depth == 0 {
					text = append(text, came[from:i+1]...)
					in.Discard(i + 1) // it has been peeked at
					return text, nil
				}
			}
		}
		text = append(text, came[from:]...)
		in.Discard(len(came))
	}
}

func (c *Client) get(ctx context.Context, query string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("discovery: status %s", response.Status)
	}
	return response.Body, nil
}
