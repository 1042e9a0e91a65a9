package faultinject

import (
	"context"
	"net"
	"time"
)

// FillBacklog opens connections to an address, so many at the most, and holds them without a word
// until ctx ends: to a process that stands still they fill its backlog. It returns how many
// came up.
func FillBacklog(ctx context.Context, address string, most int) (up int) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for len(held) < most && ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break // full
		}
		held = append(held, c)
	}
	<-ctx.Done()
	return len(held)
}
