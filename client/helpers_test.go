package client

import (
	"context"
	"net"
)

// blockedDial never comes up.
func blockedDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
