package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// A node file is looked at so often: well under the 500 ms within which a drain
// must show, at a cost of five calls of stat a second.
const filePause = 200 * time.Millisecond

// file is a node file in TOML, watched by looking at it: that works on every
// file system, for a file that is written over and for one that is renamed into
// place, and takes no descriptor.
type file struct {
	path  string
	wrong string // what was last told of the file; of the one watch that is on
}

// ReadFile reads a node file: tables [[node]] with name (the address, if left
// out), address, zone, type, group, status, weight and since_ms as in the platform's
// form. It takes no file that is partly wrong, nor one that names no node: an
// empty file is one being written, or an accident.
func ReadFile(path string) (List, error) {
	l, _, err := readFile(path)
	return l, err
}

func readFile(path string) (List, string, error) {
	f, err := os.Open(path)
	if err != nil {
		return List{}, "", fmt.Errorf("list of nodes: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxList))
	if err != nil {
		return List{}, "", fmt.Errorf("list of nodes: %w", err)
	}
	var in struct {
		Node []struct {
			Name, Address, Zone, Type, Status string
			Group                             int
			Weight                            *float64
			Since                             float64 `toml:"since_ms"`
		}
	}
	meta, err := toml.Decode(string(text), &in)
	if err != nil {
		return List{}, "", fmt.Errorf("list of nodes: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return List{}, "", fmt.Errorf("list of nodes: %s: unknown key %s", path, unknown[0])
	}
	l := List{Snapshot: true}
	seen := make(map[string]bool)
	for _, n := range in.Node {
		e := Endpoint{Name: n.Name, Address: n.Address, Zone: n.Zone, Type: n.Type, Group: n.Group, Status: n.Status,
			Weight: 1, StartedMillis: n.Since}
		if e.Name == "" {
			e.Name = e.Address
		}
		if e.Status == "" {
			e.Status = "up"
		}
		if n.Weight != nil {
			e.Weight = *n.Weight
		}
		if seen[e.Name] {
			return List{}, "", fmt.Errorf("list of nodes: %s: two entries named %s", path, e.Name)
		}
		seen[e.Name] = true
		l.Endpoints = append(l.Endpoints, e)
	}
	if len(l.Endpoints) == 0 {
		return List{}, "", fmt.Errorf("list of nodes: %s: names no node", path)
	}
	if err := l.check(); err != nil {
		return List{}, "", fmt.Errorf("%w (%s)", err, path)
	}
	return l, string(text), nil
}

// Fetch implements Source.
func (f *file) Fetch(ctx context.Context) (List, error) { return ReadFile(f.path) }

// looks is what was found at a file, look by look. A list is believed once two looks
// in a row have found the same text: half of a file that is being written over
// may well read as a whole one that names fewer nodes.
type looks struct{ last, told string }

// settled takes what a look has found, and tells whether that is news to be believed.
func (k *looks) settled(text string) bool {
	same := text == k.last
	if k.last = text; !same || text == k.told {
		return false
	}
	k.told = text
	return true
}

// Watch implements Source. A file that can't be read or meant changes nothing: it
// is told by the end of the watch, once until it changes, and what was told before
// stays in force.
func (f *file) Watch(ctx context.Context, from uint64, tell func(List)) error {
	tick := time.NewTicker(filePause)
	defer tick.Stop()
	found := looks{told: f.wrong}
	for index := from; ; {
		l, text, err := readFile(f.path)
		if err != nil {
			text = err.Error()
		}
		if found.settled(text) {
			if err != nil {
				f.wrong = text
				return err
			}
			index++
			f.wrong, l.Index = "", index
			tell(l)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// fixed is a list that never changes.
type fixed struct{ list List }

// StaticList is the list of nodes at addresses given by commas, each named by its
// address.
func StaticList(addresses string) List {
	l := List{Index: 1, Snapshot: true}
	for address := range strings.SplitSeq(addresses, ",") {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: address, Address: address, Status: "up", Weight: 1})
	}
	return l
}

// CheckAddress tells whether a text is a HOST:PORT that a node may have.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if host == "" || port == "" || strings.Contains(address, ",") {
		return fmt.Errorf("address %s: host or port is missing", address)
	}
	return nil
}

// Fetch implements Source.
func (f *fixed) Fetch(context.Context) (List, error) { return f.list, nil }

// Watch implements Source.
func (f *fixed) Watch(ctx context.Context, from uint64, tell func(List)) error {
	tell(f.list)
	<-ctx.Done()
	return ctx.Err()
}
