package proxy

import (
	"strings"

	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend/binary"
)

// Config is the configuration of a proxy. ReadPlatformConfig (for the platform's file) or package config (for the
// daemon's own file) fills it in. AllocateResources then sets MaxInFlight, MaxClients, the budgets and Upstream.
type Config struct {
	core.Config
	Name   string
	Listen string // HOST:PORT
	Cores  float64
	// MemoryBytes and MaxDescriptors are the memory and the file descriptors that the process may use.
	MemoryBytes    int
	MaxDescriptors int
	// MaxClients is the maximum number of concurrent client connections.
	MaxClients int
	// RequestBudgetBytes limits the memory for the bodies of writes that are being read or are in flight,
	// ResponseBudgetBytes that for values that have yet to be written to clients.
	RequestBudgetBytes  int
	ResponseBudgetBytes int
	Binary              *BinaryConfig // nil where binary clients are not served
}

// BinaryConfig configures how clients of the binary protocol are served.
type BinaryConfig struct {
	// Listen is the address, HOST:PORT, of a listener for binary clients only. If it is empty they use the main
	// listener, where the first byte of a connection tells the protocols apart.
	Listen string
	Rules  binary.Rules
}

// Names of the listeners, as routes refer to them.
const (
	MainListener   = "main"
	BinaryListener = "binary"
)

// SourceNames returns the names of the endpoint list's sources, separated by commas, for logs.
func (c *Config) SourceNames() string {
	var names []string
	for _, source := range c.ListSources {
		names = append(names, source.String())
	}
	return strings.Join(names, ", ")
}

// binaryListen returns the address of the listener for binary clients only, "" for none.
func (c *Config) binaryListen() string {
	if c.Binary == nil {
		return ""
	}
	return c.Binary.Listen
}

// binaryRules returns the rules for binary clients, nil for none.
func (c *Config) binaryRules() *binary.Rules {
	if c.Binary == nil {
		return nil
	}
	return &c.Binary.Rules
}
