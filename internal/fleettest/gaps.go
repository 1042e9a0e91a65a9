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

// This file measures the time without an action on a task after its holder has released it, handed it over, or was
// killed, stopped or cut off. Several tasks are measured at the same time on three voters; for each task, two processes
// compete for the lease.

// gapTasks is the number of tasks that are measured at the same time.
const gapTasks = 10

// gapKinds are the events that end a holder's actions, in the order in which they are measured.
var gapKinds = []string{"given back", "handed over", "killed", "stopped", "cut off"}

// gapTimeout limits each wait until one process acts on the task and the other is queued, and each wait for the first
// action of the next holder.
const gapTimeout = 15 * time.Second

// LeaseGapsOptions configures MeasureLeaseGaps.
type LeaseGapsOptions struct {
	Options
	HolderCommand []string // starts a holder; its flags and arguments are appended
	Repetitions   int      // how often each event is measured
}

// LeaseGapsReport is the result of MeasureLeaseGaps.
type LeaseGapsReport struct {
	Gaps             []LeaseGap `json:"waits"`
	Actions          int        `json:"acts"`
	Overlaps         int        `json:"overlaps"`
	TokenRegressions int        `json:"backward"`
	Problems         []string   `json:"problems"`
}

// OK reports whether no two actions overlapped, no token was lower than an earlier one, there were actions, and all
// measurements succeeded.
func (r *LeaseGapsReport) OK() bool {
	return r.Overlaps+r.TokenRegressions+len(r.Problems) == 0 && r.Actions > 0
}

// Print writes the report, its verdict last.
func (r *LeaseGapsReport) Print(out io.Writer) {
	printGaps(out, r.Gaps)
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	verdict := "ok"
	if !r.OK() {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "verdict: %s acts=%d overlaps=%d backward=%d\n",
		verdict, r.Actions, r.Overlaps, r.TokenRegressions)
}

// gapTask is one task with its two holders and their links to the voters.
type gapTask struct {
	name    string
	checker *fencingChecker
	holders [2]*process
	links   [2][]*faultinject.Link
	voters  [2][]agent.VoterAddress
	firstID int // id of its first holder
}

// MeasureLeaseGaps measures the time without an action on a task after each kind of event in gapKinds.
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
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, kind := range gapKinds {
		histograms[kind] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for i := range min(gapTasks, o.Repetitions) {
		repetitions := o.Repetitions / gapTasks
		if i < o.Repetitions%gapTasks {
			repetitions++
		}
		tasks.Go(func() {
			t, err := newGapTask(f, o, i)
			if err == nil {
				defer t.close()
				err = t.measure(ctx, f, o, repetitions, func(kind string, gap time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					histograms[kind].RecordValue(max(gap.Microseconds(), 1))
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
		r.Gaps = append(r.Gaps, gapOf(kind, histograms[kind]))
	}
	return r, ctx.Err()
}

func newGapTask(f *fleet, o LeaseGapsOptions, number int) (*gapTask, error) {
	checker, err := newFencingChecker()
	if err != nil {
		return nil, err
	}
	t := &gapTask{name: fmt.Sprint("gap", number), checker: checker, firstID: 10 + 2*number}
	for i := range t.holders {
		for _, v := range f.voters.Voters {
			link, err := faultinject.NewLink(linkHost, v.Address)
			if err != nil {
				return t, err
			}
			t.links[i] = append(t.links[i], link)
			t.voters[i] = append(t.voters[i], agent.VoterAddress{Name: v.Name, Address: link.Address()})
		}
		if err := t.start(o, i); err != nil {
			return t, err
		}
	}
	return t, nil
}

func (t *gapTask) start(o LeaseGapsOptions, h int) (err error) {
	process := holderProcess{
		command:     o.HolderCommand,
		checker:     t.checker,
		id:          t.firstID + h,
		task:        t.name,
		untilSignal: true,
		voters:      t.voters[h],
		folder:      o.Folder,
	}
	if t.holders[h], err = process.start(); err != nil {
		return err
	}
	return t.holders[h].awaitReady()
}

func (t *gapTask) close() {
	for h, process := range t.holders {
		if process != nil && !isClosed(process.exited) {
			process.end(syscall.SIGKILL)
		}
		for _, l := range t.links[h] {
			l.Close()
		}
	}
	t.checker.close()
}

// awaitSettled waits until one of the two holders acts and the other one waits in the queue. It returns the index and
// the fencing token of the acting holder, and the holder name of the waiting one.
func (t *gapTask) awaitSettled(
	ctx context.Context, c *agent.Client,
) (holder int, token uint64, waiter string, err error) {
	until := time.Now().Add(gapTimeout)
	for ; time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		s, err := c.LeaderState(ctx)
		if err != nil || s.StateMachine.Tasks[t.name] == nil {
			continue
		}
		task := s.StateMachine.Tasks[t.name]
		t.checker.mu.Lock()
		lastHolder, isActing := t.checker.lastHolder, time.Since(t.checker.lastSeen) < 100*time.Millisecond
		highestToken := t.checker.highestToken
		t.checker.mu.Unlock()
		if isActing && len(task.Grants) == 1 && len(task.Waiters) == 1 && task.Grants[0].Token == highestToken {
			return lastHolder - t.firstID, highestToken, task.Waiters[0].Holder, nil
		}
	}
	return 0, 0, "", fmt.Errorf("%s: no state with one acting and one waiting holder within %v", t.name, gapTimeout)
}

// awaitNextGap waits for the first action under a higher token, and returns how long the task was without an action
// before it.
func (t *gapTask) awaitNextGap(ctx context.Context, token uint64) (time.Duration, error) {
	until := time.Now().Add(gapTimeout)
	for ; time.Now().Before(until) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		t.checker.mu.Lock()
		higher := t.checker.highestToken > token
		gap := t.checker.gapBefore
		t.checker.mu.Unlock()
		if higher {
			return gap, nil
		}
	}
	return 0, fmt.Errorf("%s: no action under a higher token within %v", t.name, gapTimeout)
}

// measure causes each kind of event as often as repetitions says, and records the gaps.
func (t *gapTask) measure(
	ctx context.Context, f *fleet, o LeaseGapsOptions, repetitions int, record func(string, time.Duration),
) error {
	c, err := agent.NewClient(f.voters)
	if err != nil {
		return err
	}
	defer c.Close()
	for range repetitions {
		for _, kind := range gapKinds {
			gap, err := t.measureOnce(ctx, c, o, kind)
			if err != nil {
				return err
			}
			record(kind, gap)
		}
	}
	return nil
}

// measureOnce causes one event, undoes its fault, and returns how long the task was without an action.
func (t *gapTask) measureOnce(
	ctx context.Context, c *agent.Client, o LeaseGapsOptions, kind string,
) (time.Duration, error) {
	holder, token, waiter, err := t.awaitSettled(ctx, c)
	if err != nil {
		return 0, err
	}
	undo := func() error { return nil }
	if kind == "handed over" {
		_, err = c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: t.name, Token: token, To: waiter})
	} else {
		undo, err = t.injectFault(o, kind, holder)
	}
	if err != nil {
		return 0, err
	}
	gap, err := t.awaitNextGap(ctx, token)
	if e := undo(); err == nil {
		err = e
	}
	if err != nil {
		return 0, fmt.Errorf("%s: %w", kind, err)
	}
	return gap, nil
}

// injectFault makes a holder release its task, or kills, stops or cuts it off. It returns a function that undoes that.
func (t *gapTask) injectFault(o LeaseGapsOptions, kind string, holder int) (undo func() error, err error) {
	process := t.holders[holder]
	switch kind {
	case "given back":
		process.cmd.Process.Signal(syscall.SIGUSR1)
	case "killed":
		process.end(syscall.SIGKILL)
		return func() error { return t.start(o, holder) }, nil
	case "stopped":
		resume := func() error { return syscall.Kill(process.cmd.Process.Pid, syscall.SIGCONT) }
		return resume, syscall.Kill(process.cmd.Process.Pid, syscall.SIGSTOP)
	case "cut off":
		restore := func() error { return t.setLinks(holder, faultinject.Fault{}) }
		return restore, t.setLinks(holder, faultinject.LinkFaults["cut"](0))
	}
	return func() error { return nil }, nil
}

// setLinks sets a fault on all links of a holder. It returns the last error.
func (t *gapTask) setLinks(holder int, fault faultinject.Fault) error {
	var err error
	for _, l := range t.links[holder] {
		if e := l.SetFault(fault); e != nil {
			err = e
		}
	}
	return err
}
