package fleettest

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/fleettest/faultinject"
)

// resumeTime is the time that a proxy gets to answer after a stop: an attempt whose deadline is less than resumeTime
// after the end of the stop is excused.
const resumeTime = 50 * time.Millisecond

// unknownStopEnd is the assumed length of a stop in progress, whose end is not known yet.
const unknownStopEnd = time.Hour

// injectFault injects the fault of an event into all processes that it affects, and returns when the fault has ended.
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
	// A single stop may be long. It is recorded at its start, for the requests that are checked while it lasts.
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

// wasStopped reports whether the process was stopped at a deadline, or had continued less than margin before the
// deadline.
func (p *proxyInstance) wasStopped(deadline time.Time, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.stops, func(s interval) bool {
		return s.from.Before(deadline) && s.to.After(deadline.Add(-margin))
	})
}
