package delay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestWait checks how long Wait waits, with and without an end of the context.
func TestWait(t *testing.T) {
	for _, c := range []struct{ delay, canceledAfter, want time.Duration }{
		{time.Second, time.Minute, time.Second},
		{time.Minute, time.Second, time.Second},
		{0, time.Minute, 0},
		{-time.Second, time.Minute, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.canceledAfter)
			defer cancel()
			start := time.Now()
			if Wait(ctx, c.delay); time.Since(start) != c.want {
				t.Errorf("%v, canceled after %v: waited %v", c.delay, c.canceledAfter, time.Since(start))
			}
		})
	}
}
