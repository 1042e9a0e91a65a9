// Package discovery reads the list of cache nodes from a source and watches it for changes. A source is a service that
// speaks the platform's protocol, a file, or a fixed list of addresses. Package consul implements another kind of
// source.
//
// Guarantees:
//
//  1. A list that is malformed, incomplete or not a list at all is reported as an error, never as a list, since it
//     would remove nodes.
//  2. A watch that falls silent ends early enough that a new call still reports a drain in time.
//  3. Memory is bounded: at most 8 MiB of a list are read. A longer list from a service is an error; of a longer node
//     file the first 8 MiB are used if they are valid.
//
// The package does not decide what a list means for the nodes; package membership does. A source runs in the
// goroutine of its caller and starts none of its own.
package discovery

import (
	"context"
)

// Source is a source of endpoint lists.
type Source interface {
	// Fetch returns the complete list.
	Fetch(ctx context.Context) (List, error)
	// Watch delivers each change after index from, until the watch is lost or ctx ends, and returns the reason. A
	// silent watch counts as lost, since a service that is cut off from the network sends nothing.
	Watch(ctx context.Context, from uint64, deliver func(List)) error
}

// SourceConfig configures a source. Exactly one of its fields is set. It is comparable.
type SourceConfig struct {
	Address         string // HOST:PORT of a service that speaks the platform's protocol
	File            string // path of a node file
	StaticAddresses string // addresses of nodes that never change, separated by commas
	Custom          Opener // any other kind of source; its value must be comparable
}

// Opener opens a source of a kind that this package does not implement.
type Opener interface {
	Open() Source
	// String returns the name of the source.
	String() string
}

// NeedsConfirmation reports whether the source delivers only complete lists, which may collapse when it fails. Other
// sources name the nodes that leave, or are written by an operator.
func (c SourceConfig) NeedsConfirmation() bool { return c.Custom != nil }

// String returns the name of the source, for logs and as its identity.
func (c SourceConfig) String() string {
	switch {
	case c.File != "":
		return "file " + c.File
	case c.StaticAddresses != "":
		return "addresses " + c.StaticAddresses
	case c.Custom != nil:
		return c.Custom.String()
	}
	return c.Address
}

// Open returns a new source. It does no I/O. Sources are comparable, and no two that were opened are equal.
func (c SourceConfig) Open() Source {
	switch {
	case c.File != "":
		return &fileSource{path: c.File}
	case c.StaticAddresses != "":
		return &staticSource{StaticList(c.StaticAddresses)}
	case c.Custom != nil:
		return c.Custom.Open()
	}
	return NewClient(c.Address)
}
