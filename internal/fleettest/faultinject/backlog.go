package faultinject

import (
	"context"
	"net"
	"time"
)

// backlogDialTimeout is after how long a connection that does not come up shows that the backlog is full.
const backlogDialTimeout = 100 * time.Millisecond

// FillBacklog opens up to limit connections to an address, and holds them silently until ctx ends: at a stopped process
// they fill the backlog. It returns how many came up.
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
