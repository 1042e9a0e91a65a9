package fleettest

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/fleettest/faultinject"
)

// resumeTime is how long before a deadline a stopped process has to continue to be expected to answer in time.
const resumeTime = 50 * time.Millisecond

// unknownStopEnd is how far after its start a stop is assumed to end until its end is known.
const unknownStopEnd = time.Hour

// injectFault injects the fault of an event into processes, and returns when it has ended.
func (f *fleet) injectFault(ctx context.Context, e *Event) {
	var tasks sync.WaitGroup
	for _, i := range e.proxies() {
		tasks.Go(func() {
			if err := f.proxies[i].injectFault(ctx, e); err != nil {
				f.addProblem("%s of proxy %d: %v", e.Action, i, err)
			}
		})
	}
	tasks.Wait()
}

func (p *proxyInstance) injectFault(ctx context.Context, e *Event) error {
	duration := time.Duration(e.Duration)
	if e.Action == "stop" {
		return p.stopBySchedule(ctx, faultinject.StopSchedule{
			Duration: duration,
			Interval: time.Duration(e.Interval),
			Count:    e.Count,
		})
	}
	ctx, end := context.WithTimeout(ctx, duration)
	defer end()
	count := max(e.Count, 1)
	if e.Action == "starve" {
		return faultinject.StarveCPU(ctx, p.currentProcess().cmd.Process.Pid, count)
	}
	faultinject.FillBacklog(ctx, p.clientAddress, count)
	return nil
}

// stopBySchedule stops the proxy's process by a schedule, and records the stops.
func (p *proxyInstance) stopBySchedule(ctx context.Context, schedule faultinject.StopSchedule) error {
	pid := p.currentProcess().cmd.Process.Pid
	if schedule.Count > 1 {
		return schedule.Run(ctx, pid, func(from, to time.Time) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.stops = append(p.stops, interval{from, to})
		})
	}
	// A single stop may be long: it is recorded before it ends, for requests that are checked meanwhile.
	now := time.Now()
	p.mu.Lock()
	index := len(p.stops)
	p.stops = append(p.stops, interval{from: now, to: now.Add(unknownStopEnd)})
	p.mu.Unlock()
	return schedule.Run(ctx, pid, func(_, to time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stops[index].to = to
	})
}

// wasStopped reports whether the process was stopped at a deadline, or had continued less than margin before it.
func (p *proxyInstance) wasStopped(deadline time.Time, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.stops, func(s interval) bool {
		return s.from.Before(deadline) && s.to.After(deadline.Add(-margin))
	})
}
