package daemon

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

const (
	// leaseCallTimeout bounds calls to the voters, except the wait for a permit.
	leaseCallTimeout = 2 * time.Second
	// permitRetryInterval is the delay before a permit is requested again after an error.
	permitRetryInterval = leaseCallTimeout / 10
)

// permit is a lease of the fleet that permits this process to drain or to reload. It is nil if the process proceeds
// without one.
type permit struct{ holder *agent.Holder }

// release releases the permit after its operation. It does nothing if p is nil.
func (p *permit) release() {
	if p != nil {
		p.holder.Close()
	}
}

// needsPermit reports whether this process needs a permit to drain or to reload.
func (f *fleetMember) needsPermit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.config.Permit.Enabled
}

// awaitPermit waits for a permit for an operation: up to the configured timeout, or without limit if the permit is
// required. This process keeps serving meanwhile. It returns nil if no permit is needed, or if the operation proceeds
// without one: after the timeout, after an error of the lease client, or because the drain has begun.
func (f *fleetMember) awaitPermit(operation string) *permit {
	if !f.needsPermit() {
		return nil
	}
	f.mu.Lock()
	c, leases, name, lifetime, ctx := f.config.Permit, f.leases, f.name, f.ctx, f.permitCtx
	f.mu.Unlock()
	f.log.Info("permit requested", "operation", operation)
	start := time.Now()
	elapsed := func() time.Duration { return time.Since(start).Round(time.Millisecond) }
	for ctx.Err() == nil {
		holder, err := leases.Hold(lifetime, lease.PermitTask, name, lease.PermitDuration, true)
		if err != nil {
			f.log.Error("permit request failed", "operation", operation, "error", err)
			return nil
		}
		wait, cancel := ctx, context.CancelFunc(func() {})
		if !c.Required {
			wait, cancel = context.WithDeadline(ctx, start.Add(c.Timeout))
		}
		token, err := holder.Await(wait)
		cancel()
		if err == nil {
			f.log.Info("permit granted", "operation", operation, "token", token, "duration", elapsed())
			return &permit{holder}
		}
		holder.Close()
		if lease.DecideWithoutPermit(time.Since(start), c.Timeout, c.Required) == lease.ProceedWithoutPermit {
			f.log.Warn("permit skipped", "operation", operation, "duration", elapsed(), "error", err)
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) { // the request has lost its place in the queue of waiters
			delay.Wait(ctx, permitRetryInterval)
		}
	}
	return nil
}

// keepPermit stores p, the permit to drain, for stop. p may be nil.
func (f *fleetMember) keepPermit(p *permit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainPermit = p
}

// releasePredecessorPermits releases the permits that earlier processes with the same name held when they exited. Such
// a permit covers a restart, which is complete once this process serves. A permit that cannot be released expires.
func (f *fleetMember) releasePredecessorPermits(ctx context.Context) {
	if !f.needsPermit() {
		return
	}
	f.mu.Lock()
	leases, name := f.leases, f.name
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	state, err := leases.LeaderState(ctx)
	if err != nil {
		f.log.Warn("predecessor permit lookup failed", "error", err)
		return
	}
	task := state.StateMachine.Tasks[lease.PermitTask]
	for _, token := range lease.OrphanedTokens(task, name, os.Getpid(), processExists) {
		release := lease.Command{Kind: lease.Release, Task: lease.PermitTask, Token: token}
		if _, err := leases.Execute(ctx, release); err != nil {
			f.log.Warn("predecessor permit release failed", "token", token, "error", err)
		}
	}
}

// processExists reports whether a process with the ID pid runs on this machine.
func processExists(pid int) bool { return !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }
