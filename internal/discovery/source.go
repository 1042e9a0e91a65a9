// Package discovery reads the list of cache nodes from its sources and watches them for changes: a service that
// speaks the platform's protocol, a file, or addresses that never change. Package consul implements one more kind
// of source.
//
// Guarantees:
//
//  1. A list that is malformed, incomplete or not a list at all is an error, never a list: it would remove nodes.
//  2. A watch that falls silent ends, early enough for a drain to be noticed in time after another call.
//  3. Memory is bounded: no more than 8 MiB of a list are read. A longer list of a service is an error; of a longer
//     node file the beginning is used if it is valid.
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
	// Watch delivers each change after an index until the watch is lost or ctx ends, and returns why. Silence counts as
	// loss, since a machine that is cut off sends nothing.
	Watch(ctx context.Context, from uint64, deliver func(List)) error
}

// SourceConfig configures a source. Exactly one of its fields is set. It is comparable.
type SourceConfig struct {
	Address         string // HOST:PORT of a service that speaks the platform's protocol
	File            string // path of a node file
	StaticAddresses string // addresses of nodes that never change, separated by commas
	Custom          Opener // any other kind; comparable
}

// Opener opens another kind of source.
type Opener interface {
	Open() Source
	// String returns the name of the source.
	String() string
}

// NeedsConfirmation reports whether the source delivers complete lists only, which may collapse when it fails. Other
// sources name the nodes that leave, or are what an operator wrote.
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

// Open returns a new source. It does no I/O. Sources are comparable, and all are different.
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
