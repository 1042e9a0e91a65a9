package faultinject

import (
	"context"
	"net"
	"time"
)

// backlogDialTimeout is the duration of a dial after which the backlog is considered full.
const backlogDialTimeout = 100 * time.Millisecond

// FillBacklog opens up to limit connections to an address, and keeps them idle until ctx ends. If the process that
// listens at the address is stopped, the connections fill its backlog. It returns the number of opened connections.
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
			break // the backlog is full
		}
		conns = append(conns, c)
	}
	<-ctx.Done()
	return len(conns)
}
