package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"mulleinpier/internal/membership"
)

// maxListBytes bounds the text of a list.
const maxListBytes = 8 << 20

// maxStartedMillis is the latest start in milliseconds that a time.Duration can hold.
const maxStartedMillis = math.MaxInt64 / 1e6

// List is a complete list of nodes, or the changes of one, in the platform's format.
type List struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"` // the list is complete
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is the entry of a node in a List.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"` // HOST:PORT
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // one of the keys of statuses
	Weight  float64 `json:"weight"`
	// StartedMillis is the Unix time of the node's last start in milliseconds, 0 if it is not known.
	StartedMillis float64 `json:"since_ms"`
	// Instance changes with each start of the node, "" where the source cannot tell.
	Instance string `json:"-"`
	// Reason says why the node is not up, "" where the source cannot tell.
	Reason string `json:"-"`
}

// The statuses in the platform's format.
const (
	statusUp       = "up"
	statusDraining = "draining"
	statusRemoved  = "removed"
)

var statuses = map[string]membership.Status{
	statusUp:       membership.Up,
	statusDraining: membership.Draining,
	statusRemoved:  membership.Gone,
}

// Parse parses a list in the platform's JSON format. A list with any invalid part is an error.
func Parse(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("endpoint list: %w", err)
	}
	// Without this check, a JSON response that is not a list, such as an error, would remove every node.
	if l.Endpoints == nil {
		return l, errors.New("endpoint list: field endpoints is missing")
	}
	return l, l.validate()
}

func (l *List) validate() error {
	for _, e := range l.Endpoints {
		if e.Name == "" {
			return errors.New("endpoint list: entry without a name")
		}
		if _, ok := statuses[e.Status]; !ok {
			return fmt.Errorf("endpoint list: %s has unknown status %q", e.Name, e.Status)
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Status != statusRemoved {
			return fmt.Errorf("endpoint list: address of %s: %w", e.Name, err)
		}
		if e.StartedMillis < 0 || e.StartedMillis > maxStartedMillis {
			return fmt.Errorf("endpoint list: since_ms of %s is out of range", e.Name)
		}
	}
	return nil
}

// Nodes converts the list to nodes of package membership.
func (l *List) Nodes() []membership.Node {
	nodes := make([]membership.Node, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		nodes = append(nodes, membership.Node{
			Name:     e.Name,
			Address:  e.Address,
			Zone:     e.Zone,
			Type:     e.Type,
			Group:    e.Group,
			Weight:   e.Weight,
			Status:   statuses[e.Status],
			Started:  time.Duration(e.StartedMillis * float64(time.Millisecond)),
			Instance: e.Instance,
			Reason:   e.Reason,
		})
	}
	return nodes
}

// CheckAddress returns an error unless address is HOST:PORT with neither part empty. It rejects commas, which separate
// static addresses.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if host == "" || port == "" || strings.Contains(address, ",") {
		return fmt.Errorf("address %s: want HOST:PORT without commas", address)
	}
	return nil
}
