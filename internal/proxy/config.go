package proxy

import (
	"strings"

	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend/binary"
)

// Config configures a proxy. It is filled in by one of two readers, ReadPlatformConfig for the platform's file and
// package config for the daemon's own, and completed by AllocateResources.
type Config struct {
	core.Config
	Name   string
	Listen string // HOST:PORT
	Cores  float64
	// MemoryBytes and MaxDescriptors are what the process may use.
	MemoryBytes    int
	MaxDescriptors int
	// MaxClients is the number of client connections at a time.
	MaxClients int
	// RequestBudgetBytes and ResponseBudgetBytes bound the memory for the values of requests and responses in flight.
	RequestBudgetBytes  int
	ResponseBudgetBytes int
	Binary              *BinaryConfig // nil where binary clients are not served
}

// BinaryConfig tells how clients of the binary protocol are served.
type BinaryConfig struct {
	// Listen is the address of a listener for them only, HOST:PORT. With "" they use the main listener, where the
	// first byte distinguishes them.
	Listen string
	Rules  binary.Rules
}

// The names of the listeners in routes.
const (
	MainListener   = "main"
	BinaryListener = "binary"
)

// SourceNames returns the names of the sources of the endpoint list, for logs.
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
