package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/discovery"
)

// The bounds of following a service.
const (
	MaxInstances = 8192
	maxList      = 64 << 20 // bytes
	// MinQueryInterval is the least time between two queries: a catalogue with many changes a
	// second brings the whole list with each.
	MinQueryInterval = 50 * time.Millisecond
	// Of the time between two queries one part in ten may go into reading lists.
	pauseTimes = 9
	// The pause is never longer: a drain is to show within half a second of its entry.
	mostPause = 400 * time.Millisecond
	// An agent that gives no index, or zero, is asked so often.
	pollPause = 400 * time.Millisecond
	// A list that its server has not heard the leader about for so long is no news.
	mostStale = 10 * time.Second
	// The agent adds up to a sixteenth of the wait, and then it takes its time.
	waitSlack = 5 * time.Second
	fetchTime = 3 * time.Second
)

// SourceConfig is a service in one data centre, as one agent tells of it. It is comparable.
type SourceConfig struct {
	Agent
	Service    string
	Datacenter string // "" for the agent's own
	Tag        string // instances must have it; "" for any
	DrainTag   string // instances with it drain
	DrainCheck string // instances drain while this check does not pass
	AllowStale bool   // any server may answer, if it has heard the leader lately
	WaitTime   time.Duration
}

// String names the place in a log, and as a source.
func (p SourceConfig) String() string {
	text := "consul " + p.Address + " " + p.Service
	if p.Datacenter != "" {
		text += "@" + p.Datacenter
	}
	return text
}

// Open implements discovery.Opener.
func (p SourceConfig) Open() discovery.Source {
	return &source{SourceConfig: p, client: newClient(p.Agent)}
}

// source implements discovery.Source.
type source struct {
	SourceConfig
	client *client
}

// entry is an instance with its checks, as /v1/health/service/NAME has it: the fields that
// are used.
type entry struct {
	Node struct {
		Node, Address, Datacenter string
	}
	Service struct {
		ID, Address string
		Port        int
		Tags        []string
		Meta        map[string]string
		Weights     struct{ Passing, Warning float64 }
		CreateIndex uint64
	}
	Checks []struct{ CheckID, Status, Notes, Output string }
}

// answer is a list and where it stands.
type answer struct {
	list  discovery.List
	index uint64
	took  time.Duration // to read the list
}

// query asks for the list: once it has changed since an index, or at once for 0.
func (s *source) query(ctx context.Context, index uint64, consistent bool, wait time.Duration) (answer, error) {
	q := url.Values{}
	switch {
	case consistent:
		q.Set("consistent", "")
	case s.AllowStale:
		q.Set("stale", "")
	}
	if s.Datacenter != "" {
		q.Set("dc", s.Datacenter)
	}
	if s.Tag != "" {
		q.Set("tag", s.Tag)
	}
	limit := wait
	if index > 0 {
		q.Set("index", strconv.FormatUint(index, 10))
		q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
		limit = wait + wait/16 + waitSlack
	}
	response, err := s.client.call(ctx, http.MethodGet, "/v1/health/service/"+url.PathEscape(s.Service), q, nil, limit)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	h := response.Header
	if h.Get("X-Consul-KnownLeader") == "false" {
		return answer{}, errors.New("consul: no leader is known")
	}
	if ms, err := strconv.ParseInt(h.Get("X-Consul-LastContact"), 10, 64); err == nil && time.Duration(ms)*time.Millisecond > mostStale {
		return answer{}, fmt.Errorf("consul: the answer is %d ms stale", ms)
	}
	a := answer{list: discovery.List{Snapshot: true, Endpoints: []discovery.Endpoint{}}}
	a.index, _ = strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64) // none, or what is no number, counts as 0
	a.list.Index = a.index
	begun := time.Now()
	if a.list.Endpoints, err = s.read(response.Body); err != nil {
		return answer{}, fmt.Errorf("consul: %s: %w", s.Service, err)
	}
	a.took = time.Since(begun)
	if h.Get("X-Consul-Results-Filtered-By-ACLs") == "true" {
		return answer{}, errors.New("consul: the token does not allow to see all of the list")
	}
	return a, nil
}

// read reads a list entry by entry.
func (s *source) read(body io.Reader) ([]discovery.Endpoint, error) {
	whole := &io.LimitedReader{R: body, N: maxList}
	in := json.NewDecoder(whole)
	if t, err := in.Token(); err != nil || t != json.Delim('[') {
		return nil, fmt.Errorf("not a list: %v, %w", t, errors.Join(err, io.ErrUnexpectedEOF))
	}
	list := []discovery.Endpoint{}
	seen := make(map[string]bool)
	for in.More() {
		if len(list) >= MaxInstances {
			return nil, fmt.Errorf("more than %d instances", MaxInstances)
		}
		var e entry
		if err := in.Decode(&e); err != nil {
			return nil, err
		}
		endpoint, err := s.endpoint(&e)
		if err != nil {
			return nil, err
		}
		if seen[endpoint.Name] {
			return nil, fmt.Errorf("two instances are %s", endpoint.Name)
		}
		seen[endpoint.Name] = true
		list = append(list, endpoint)
	}
	if _, err := in.Token(); err != nil { // the end of the list: half a body has none
		return nil, err
	}
	return list, nil
}

// endpoint says an instance as the list of nodes has it. Its name is that of Consul's node
// and of the service there, which together are its identity; service meta can give it
// another (name), and tell zone, type, group, started_ms and instance.
func (s *source) endpoint(e *entry) (discovery.Endpoint, error) {
	v, meta := &e.Service, e.Service.Meta
	host := v.Address
	if host == "" {
		host = e.Node.Address
	}
	out := discovery.Endpoint{Name: e.Node.Node + "/" + v.ID, Address: net.JoinHostPort(host, strconv.Itoa(v.Port)), Zone: e.Node.Datacenter,
		Type: meta["type"], Status: "up", Weight: v.Weights.Passing, Instance: strconv.FormatUint(v.CreateIndex, 10)}
	if v.ID == "" || host == "" || v.Port < 1 || v.Port > 65535 {
		return out, fmt.Errorf("instance %q has address %q and port %d", out.Name, host, v.Port)
	}
	for _, x := range []struct {
		from string
		to   *string
	}{{"name", &out.Name}, {"zone", &out.Zone}, {"instance", &out.Instance}} {
		if text := meta[x.from]; text != "" {
			*x.to = text
		}
	}
	var err error
	if text := meta["group"]; text != "" {
		if out.Group, err = strconv.Atoi(text); err != nil {
			return out, fmt.Errorf("instance %q: meta group: %w", out.Name, err)
		}
	}
	if text := meta["started_ms"]; text != "" {
		if out.StartedMillis, err = strconv.ParseFloat(text, 64); err != nil || !(out.StartedMillis >= 0 && out.StartedMillis < 1e15) {
			return out, fmt.Errorf("instance %q: meta started_ms cannot be %q", out.Name, text)
		}
	}
	s.judge(e, &out)
	return out, nil
}

// judge says by tags and checks whether an instance is up, drains or is gone. Maintenance
// is a drain, though its check is critical: it says that the process runs.
func (s *source) judge(e *entry, out *discovery.Endpoint) {
	worst, why := 0, "" // up, draining, gone
	set := func(to int, reason string) {
		if to > worst {
			worst, why = to, reason
		}
	}
	for _, tag := range e.Service.Tags {
		if s.DrainTag != "" && tag == s.DrainTag {
			set(1, "tag "+tag)
		}
	}
	for _, c := range e.Checks {
		switch {
		case c.Status == "passing":
		case c.CheckID == "_node_maintenance", strings.HasPrefix(c.CheckID, "_service_maintenance"):
			set(1, "in maintenance: "+c.Notes)
		case s.DrainCheck != "" && c.CheckID == s.DrainCheck:
			set(1, "check "+c.CheckID+" is "+c.Status)
		case c.Status == "critical":
			set(2, "check "+c.CheckID+" is critical")
		case c.Status == "warning":
			out.Weight = e.Service.Weights.Warning
		}
	}
	out.Status, out.Reason = [...]string{"up", "draining", "removed"}[worst], why
}

// Fetch implements discovery.Source: a look past whatever the agent may have kept, which the
// leader answers after making sure that it is one still.
func (s *source) Fetch(ctx context.Context) (discovery.List, error) {
	a, err := s.query(ctx, 0, true, fetchTime)
	return a.list, err
}

// Watch implements discovery.Source. Versions count for one agent only, so it begins with
// the whole list whatever from is. It waits before it returns an error that says when to
// come again.
func (s *source) Watch(ctx context.Context, _ uint64, tell func(discovery.List)) error {
	index, told := uint64(0), false
	for {
		a, err := s.query(ctx, index, false, s.wait(index))
		if err != nil {
			var status *StatusError
			if errors.As(err, &status) && status.RetryAfter > 0 {
				pause(ctx, status.RetryAfter/2+rand.N(status.RetryAfter))
			}
			return err
		}
		begun := time.Now()
		// An index that goes backwards is another server's, or of an agent that has started
		// anew: this answer is whole all the same, and the next query begins anew.
		news := !told || a.index != index || a.index == 0
		if index = a.index; news {
			tell(a.list)
			told = true
		}
		rest := min(max(MinQueryInterval, pauseTimes*(a.took+time.Since(begun))), mostPause)
		if a.index == 0 {
			rest = pollPause
		}
		if pause(ctx, rest); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// wait is how long a query may wait for its answer to begin. Proxies that began
// together must not all come back together.
func (s *source) wait(index uint64) time.Duration {
	if index == 0 {
		return fetchTime
	}
	return s.WaitTime/2 + rand.N(s.WaitTime/2+1)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
