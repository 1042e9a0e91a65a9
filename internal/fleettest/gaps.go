package fleettest

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// This file measures how long a task is without an action when its holder releases it, hands it over, is killed,
// stopped or cut off: many tasks at three voters, each with two processes that want it.

// gapTasks is how many tasks are measured at a time.
const gapTasks = 10

// gapKinds are what befalls holders, in turn.
var gapKinds = []string{"given back", "handed over", "killed", "stopped", "cut off"}

// gapPatience bounds the wait for a next holder.
const gapPatience = 15 * time.Second

// LeaseGapsOptions say what to measure.
type LeaseGapsOptions struct {
	Options
	HolderCommand []string
	Repetitions   int // of each kind
}

// LeaseGapsReport is the result of measuring gaps.
type LeaseGapsReport struct {
	Gaps             []LeaseGap `json:"waits"`
	Actions          int        `json:"acts"`
	Overlaps         int        `json:"overlaps"`
	TokenRegressions int        `json:"backward"`
	Problems         []string   `json:"problems"`
}

// OK reports whether no two actions overlapped and everything was measured.
func (r *LeaseGapsReport) OK() bool {
	return r.Overlaps+r.TokenRegressions+len(r.Problems) == 0 && r.Actions > 0
}

// Print writes the report, its verdict last.
func (r *LeaseGapsReport) Print(out io.Writer) {
	printGaps(out, r.Gaps)
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	fmt.Fprintf(out, "verdict: %s acts=%d overlaps=%d backward=%d\n", word, r.Actions, r.Overlaps, r.TokenRegressions)
}

// gapTask is one task with its two holders.
type gapTask struct {
	name    string
	checker *fencingChecker
	holders [2]*process
	links   [2][]*faultinject.Link
	seen    [2][]agent.VoterAddress
	first   int // number of its first holder
}

// MeasureLeaseGaps measures how long a task is without an action after each kind of fault of its holder.
func MeasureLeaseGaps(ctx context.Context, o LeaseGapsOptions) (*LeaseGapsReport, error) {
	s, err := leaseScenario(time.Minute, 1)
	if err != nil {
		return nil, err
	}
	f, err := startFleet(s, o.ProxyCommand, o.Folder, func(string, ...any) {})
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &LeaseGapsReport{}
	waits := make(map[string]*hdrhistogram.Histogram)
	for _, kind := range gapKinds {
		waits[kind] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for i := range min(gapTasks, o.Repetitions) {
		times := o.Repetitions / gapTasks
		if i < o.Repetitions%gapTasks {
			times++
		}
		tasks.Go(func() {
			t, err := newGapTask(f, o, i)
			if err == nil {
				defer t.close()
				err = t.measure(ctx, f, o, times, func(kind string, gap time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					waits[kind].RecordValue(max(gap.Microseconds(), 1))
				})
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Problems = append(r.Problems, fmt.Sprintf("task %d: %v", i, err))
			}
			if t != nil {
				t.checker.mu.Lock()
				defer t.checker.mu.Unlock()
				r.Actions += len(t.checker.committed)
				r.Overlaps += t.checker.countOverlaps()
				r.TokenRegressions += t.checker.tokenRegressions
			}
		})
	}
	tasks.Wait()
	f.stop()
	r.Problems = append(r.Problems, f.problems...)
	for _, kind := range gapKinds {
		r.Gaps = append(r.Gaps, gapOf(kind, waits[kind]))
	}
	return r, ctx.Err()
}

func newGapTask(f *fleet, o LeaseGapsOptions, i int) (*gapTask, error) {
	j, err := newFencingChecker()
	if err != nil {
		return nil, err
	}
	t := &gapTask{name: fmt.Sprint("gap", i), checker: j, first: 10 + 2*i}
	for h := range t.holders {
		for _, v := range f.voters.Voters {
			link, err := faultinject.NewLink(linkHost, v.Address)
			if err != nil {
				return t, err
			}
			t.links[h] = append(t.links[h], link)
			t.seen[h] = append(t.seen[h], agent.VoterAddress{Name: v.Name, Address: link.Address()})
		}
		if err := t.start(o, h); err != nil {
			return t, err
		}
	}
	return t, nil
}

func (t *gapTask) start(o LeaseGapsOptions, h int) (err error) {
	process := holderProcess{
		command: o.HolderCommand,
		checker: t.checker,
		id:      t.first + h,
		task:    t.name,
		stays:   true,
		voters:  t.seen[h],
		folder:  o.Folder,
	}
	if t.holders[h], err = process.start(); err != nil {
		return err
	}
	return t.holders[h].awaitReady()
}

func (t *gapTask) close() {
	for h, x := range t.holders {
		if x != nil && !isClosed(x.exited) {
			x.end(syscall.SIGKILL)
		}
		for _, l := range t.links[h] {
			l.Close()
		}
	}
	t.checker.close()
}

// settled waits until one of the two acts and the other waits in the queue, and tells who acts and under which number.
func (t *gapTask) settled(ctx context.Context, c *agent.Client) (holder int, number uint64, waits string, err error) {
	until := time.Now().Add(gapPatience)
	for ; time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		s, err := c.LeaderState(ctx)
		if err != nil || s.StateMachine.Tasks[t.name] == nil {
			continue
		}
		task := s.StateMachine.Tasks[t.name]
		t.checker.mu.Lock()
		who, acts := t.checker.lastHolder, time.Since(t.checker.lastSeen) < 100*time.Millisecond
		highest := t.checker.highestToken
		t.checker.mu.Unlock()
		if acts && len(task.Grants) == 1 && len(task.Waiters) == 1 && task.Grants[0].Token == highest {
			return who - t.first, highest, task.Waiters[0].Holder, nil
		}
	}
	return 0, 0, "", fmt.Errorf("%s: not one that acts and one that waits in %v", t.name, gapPatience)
}

// next waits for the first act under a higher number, and returns how long the task was without one.
func (t *gapTask) next(ctx context.Context, number uint64) (time.Duration, error) {
	until := time.Now().Add(gapPatience)
	for ; time.Now().Before(until) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		t.checker.mu.Lock()
		higher := t.checker.highestToken > number
		gap := t.checker.gapBefore
		t.checker.mu.Unlock()
		if higher {
			return gap, nil
		}
	}
	return 0, fmt.Errorf("%s: nobody acts in %v", t.name, gapPatience)
}

// measure has each kind befall the holder so many times.
func (t *gapTask) measure(
	ctx context.Context, f *fleet, o LeaseGapsOptions, times int, note func(string, time.Duration),
) error {
	c, err := agent.NewClient(f.voters)
	if err != nil {
		return err
	}
	defer c.Close()
	for range times {
		for _, kind := range gapKinds {
			gap, err := t.measureOnce(ctx, c, o, kind)
			if err != nil {
				return err
			}
			note(kind, gap)
		}
	}
	return nil
}

// measureOnce has one kind befall the holder, and returns how long the task was without an action. It undoes the fault.
func (t *gapTask) measureOnce(
	ctx context.Context, c *agent.Client, o LeaseGapsOptions, kind string,
) (time.Duration, error) {
	holder, number, waits, err := t.settled(ctx, c)
	if err != nil {
		return 0, err
	}
	undo := func() error { return nil }
	if kind == "handed over" {
		_, err = c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: t.name, Token: number, To: waits})
	} else {
		undo, err = t.disturb(o, kind, holder)
	}
	if err != nil {
		return 0, err
	}
	gap, err := t.next(ctx, number)
	if e := undo(); err == nil {
		err = e
	}
	if err != nil {
		return 0, fmt.Errorf("%s: %w", kind, err)
	}
	return gap, nil
}

// disturb has a holder release its task, or ends, stops or cuts it off. It returns what undoes that.
func (t *gapTask) disturb(o LeaseGapsOptions, kind string, holder int) (undo func() error, err error) {
	x := t.holders[holder]
	switch kind {
	case "given back":
		x.cmd.Process.Signal(syscall.SIGUSR1)
	case "killed":
		x.end(syscall.SIGKILL)
		return func() error { return t.start(o, holder) }, nil
	case "stopped":
		resume := func() error { return syscall.Kill(x.cmd.Process.Pid, syscall.SIGCONT) }
		return resume, syscall.Kill(x.cmd.Process.Pid, syscall.SIGSTOP)
	case "cut off":
		restore := func() error { return t.setLinks(holder, faultinject.Fault{}) }
		return restore, t.setLinks(holder, faultinject.LinkFaults["cut"](0))
	}
	return func() error { return nil }, nil
}

// setLinks sets a fault on all links of a holder, and returns the last error.
func (t *gapTask) setLinks(holder int, fault faultinject.Fault) error {
	var err error
	for _, l := range t.links[holder] {
		if e := l.SetFault(fault); e != nil {
			err = e
		}
	}
	return err
}
