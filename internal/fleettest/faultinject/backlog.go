package faultinject

import (
	"context"
	"net"
	"time"
)

// backlogDialTimeout is how long a dial may take before the backlog counts as full.
const backlogDialTimeout = 100 * time.Millisecond

// FillBacklog opens up to limit connections to an address, and keeps them idle until ctx ends. If the process there is
// stopped, they fill its backlog. It returns the number of connections that were opened.
func FillBacklog(ctx context.Context, address string, limit int) (count int) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for len(conns) < limit && ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, backlogDialTimeout)
		if err != nil {
			break // full
		}
		conns = append(conns, c)
	}
	<-ctx.Done()
	return len(conns)
}
