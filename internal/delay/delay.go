// Package delay waits for spans that a context can cut short.
package delay

import (
	"context"
	"time"
)

// Wait returns after d, or as soon as ctx is done.
func Wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
