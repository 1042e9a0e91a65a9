// Package catalogue is Consul's catalogue as a source of proxies for a client: proxies that
// register themselves there (see the daemon's [consul.register]) are found without a list. It
// tells only whether a proxy runs.
package catalogue

import (
	"context"
	"errors"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/discovery"
)

// Options say where the catalogue is. Agent and Service are needed.
type Options struct {
	Agent      string // host:port of a Consul agent
	Service    string // that proxies register as
	Datacenter string // "" for the agent's own
	Tag        string // instances must have it; "" for any
	TLS        bool
	CAFile     string // certificates to trust in place of the system's
	TokenFile  string // holds an ACL token; read anew for each query
	// Wait is how long a query may hang while nothing changes; 1 min, as in the daemon.
	Wait time.Duration
}

// source implements client.Source.
type source struct{ place consul.SourceConfig }

// Consul returns the proxies of a service that are up. One that drains, is in maintenance or whose check
// is critical leaves the list: it gets nothing new. An empty list is not put into force, see [client.Source].
func Consul(o Options) (client.Source, error) {
	if o.Agent == "" || o.Service == "" {
		return nil, errors.New("mulleinpier: catalogue: Agent and Service are needed")
	}
	if o.Wait == 0 {
		o.Wait = time.Minute
	}
	if o.Wait < time.Second || o.Wait > 10*time.Minute {
		return nil, errors.New("mulleinpier: catalogue: want a Wait of 1 s to 10 min")
	}
	return source{consul.SourceConfig{Agent: consul.Agent{Address: o.Agent, TLS: o.TLS, CAFile: o.CAFile, TokenFile: o.TokenFile}, Service: o.Service,
		Datacenter: o.Datacenter, Tag: o.Tag, AllowStale: true, WaitTime: o.Wait}}, nil
}

// Follow implements client.Source.
func (s source) Follow(ctx context.Context, tell func([]string)) error {
	return s.place.Open().Watch(ctx, 0, func(l discovery.List) {
		var up []string
		for _, e := range l.Endpoints {
			if e.Status == "up" {
				up = append(up, e.Address)
			}
		}
		tell(up)
	})
}
