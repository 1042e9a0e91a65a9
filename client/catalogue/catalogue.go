// Package catalogue provides the proxies in a Consul catalogue as a [client.Source]. Proxies register themselves there
// (see [consul.register] in the daemon's configuration), so that clients need no list of addresses. The source uses
// only whether a proxy is up. The package starts no goroutines; each source follows the catalogue in the goroutine of
// its caller.
package catalogue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/discovery"
)

// Options configure access to the catalogue. Agent and Service are required.
type Options struct {
	Agent      string // host:port of a Consul agent
	Service    string // name under which proxies are registered
	Datacenter string // "" for that of the agent
	Tag        string // only instances with this tag; "" for all
	TLS        bool
	CAFile     string // file of CA certificates to trust instead of the system's
	TokenFile  string // file with an ACL token; it is read again for each query
	// Wait is how long a query may wait for a change, from 1 s to 10 min; default 1 min.
	Wait time.Duration
}

// The bounds and the default of [Options.Wait].
const (
	defaultWait = time.Minute
	minWait     = time.Second
	maxWait     = 10 * time.Minute
)

// source implements client.Source.
type source struct{ config consul.SourceConfig }

// Consul returns a source that lists the proxies of a service that are up. A proxy that is draining, in maintenance or
// whose check is critical leaves the list and gets no new requests. An empty list does not take effect, see
// [client.Source].
func Consul(o Options) (client.Source, error) {
	if o.Agent == "" || o.Service == "" {
		return nil, errors.New("mulleinpier: catalogue: Agent and Service are needed")
	}
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	if o.Wait < minWait || o.Wait > maxWait {
		return nil, fmt.Errorf("mulleinpier: catalogue: Wait cannot be %v: want %v to %v", o.Wait, minWait, maxWait)
	}
	return source{consul.SourceConfig{
		Agent: consul.Agent{
			Address:   o.Agent,
			TLS:       o.TLS,
			CAFile:    o.CAFile,
			TokenFile: o.TokenFile,
		},
		Service:    o.Service,
		Datacenter: o.Datacenter,
		Tag:        o.Tag,
		AllowStale: true,
		WaitTime:   o.Wait,
	}}, nil
}

// statusUp is the status of proxies that accept requests.
const statusUp = "up"

// Follow implements client.Source.
func (s source) Follow(ctx context.Context, update func([]string)) error {
	return s.config.Open().Watch(ctx, 0, func(l discovery.List) {
		var up []string
		for _, e := range l.Endpoints {
			if e.Status == statusUp {
				up = append(up, e.Address)
			}
		}
		update(up)
	})
}
