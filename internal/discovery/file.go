package discovery

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"mulleinpier/internal/readlimit"
)

// fileReadInterval is the time between reads of a node file. It is well below the 500 ms within which a drain must be
// noticed, and costs five reads a second.
const fileReadInterval = 200 * time.Millisecond

// defaultWeight is the weight of a static address, and of a node without a weight in the file.
const defaultWeight = 1

// fileSource is a node file in TOML. It is watched by reading it periodically: that works on every file system, both
// for a file that is overwritten and for one that is renamed into place, and keeps no descriptor open.
type fileSource struct {
	path string
	// lastError is the error that the last watch ended with, "" for none. Only one watch may run at a time.
	lastError string
}

type nodeFile struct {
	Nodes []nodeEntry `toml:"node"`
}

type nodeEntry struct {
	Name          string   `toml:"name"`
	Address       string   `toml:"address"`
	Zone          string   `toml:"zone"`
	Type          string   `toml:"type"`
	Status        string   `toml:"status"`
	Group         int      `toml:"group"`
	Weight        *float64 `toml:"weight"`
	StartedMillis float64  `toml:"since_ms"`
}

// endpoint returns the entry as an Endpoint, with defaults for missing values.
func (n *nodeEntry) endpoint() Endpoint {
	e := Endpoint{
		Name:          n.Name,
		Address:       n.Address,
		Zone:          n.Zone,
		Type:          n.Type,
		Group:         n.Group,
		Status:        n.Status,
		Weight:        defaultWeight,
		StartedMillis: n.StartedMillis,
	}
	if e.Name == "" {
		e.Name = e.Address
	}
	if e.Status == "" {
		e.Status = statusUp
	}
	if n.Weight != nil {
		e.Weight = *n.Weight
	}
	return e
}

// ReadFile reads a node file: tables [[node]] with name (by default the address), address, zone, type, group,
// status, weight and since_ms as in the platform's format. A file with any invalid part is an error, and so is one
// without a node: it is still being written, or is a mistake.
func ReadFile(path string) (List, error) {
	l, _, err := readWithText(path)
	return l, err
}

// readWithText does what ReadFile does, and also returns the text of the file.
func readWithText(path string) (List, string, error) {
	f, err := os.Open(path)
	if err != nil {
		return List{}, "", fmt.Errorf("endpoint list: %w", err)
	}
	defer f.Close()
	text, err := readlimit.All(f, maxListBytes)
	if err != nil {
		return List{}, "", fmt.Errorf("endpoint list: %s: %w", path, err)
	}
	l, err := parseFile(path, string(text))
	if err != nil {
		return List{}, "", err
	}
	return l, string(text), nil
}

// parseFile parses the text of the node file at path.
func parseFile(path, text string) (List, error) {
	var file nodeFile
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return List{}, fmt.Errorf("endpoint list: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return List{}, fmt.Errorf("endpoint list: %s: unknown key %s", path, unknown[0])
	}
	l := List{Snapshot: true}
	names := make(map[string]bool)
	for i := range file.Nodes {
		e := file.Nodes[i].endpoint()
		if names[e.Name] {
			return List{}, fmt.Errorf("endpoint list: %s: two entries named %s", path, e.Name)
		}
		names[e.Name] = true
		l.Endpoints = append(l.Endpoints, e)
	}
	if len(l.Endpoints) == 0 {
		return List{}, fmt.Errorf("endpoint list: %s: contains no node", path)
	}
	if err := l.validate(); err != nil {
		return List{}, fmt.Errorf("%w (%s)", err, path)
	}
	return l, nil
}

// Fetch implements Source.
func (s *fileSource) Fetch(context.Context) (List, error) { return ReadFile(s.path) }

// fileReads tracks the results of successive reads of a file. A text is used once two consecutive reads have returned
// it: half of a file that is being overwritten may be valid and contain fewer nodes.
type fileReads struct{ last, delivered string }

// isStableChange records the result of a read, and reports whether it equals the previous one and has not been
// delivered yet.
func (r *fileReads) isStableChange(text string) bool {
	stable := text == r.last
	r.last = text
	if !stable || text == r.delivered {
		return false
	}
	r.delivered = text
	return true
}

// Watch implements Source. If the file cannot be read or is invalid, the watch ends with the error and the previous
// list stays in force. Later watches do not return the same error again until the file or the error changes.
func (s *fileSource) Watch(ctx context.Context, from uint64, deliver func(List)) error {
	ticks := time.NewTicker(fileReadInterval)
	defer ticks.Stop()
	reads := fileReads{delivered: s.lastError}
	for index := from; ; {
		l, text, err := readWithText(s.path)
		if err != nil {
			text = err.Error()
		}
		if reads.isStableChange(text) {
			if err != nil {
				s.lastError = text
				return err
			}
			index++
			s.lastError = ""
			l.Index = index
			deliver(l)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
	}
}
