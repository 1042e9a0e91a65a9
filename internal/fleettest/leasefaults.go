package fleettest

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fleettest/faultinject"
)

// The kinds of faults of a lease test. All other numbers below leaseFaultKinds are faults of a link.
const (
	leaseFaultKill = iota
	leaseFaultStop
	leaseFaultDisk  // of a voter
	leaseFaultKinds = 6
)

// leaseFault is a fault of a lease test.
type leaseFault struct {
	kind      int
	process   int
	link      leaseLink
	linkFault string
	duration  time.Duration
}

var leaseLinkFaults = []string{"cut", "forth", "back", "delay", linkReset, "slow", "twice"}

const (
	leaseFaultFreeTime = time.Second // time without faults at the start of a test
	leaseLinkDelay     = 150 * time.Millisecond
)

// drawFault draws a fault. In half of the draws its process is the current holder, if there is one.
func (t *leaseTest) drawFault() leaseFault {
	const processes = leaseVoters + leaseHolders
	f := leaseFault{process: t.rng.IntN(processes)}
	f.duration = time.Duration(100+t.rng.IntN(3400)) * time.Millisecond
	f.kind = t.rng.IntN(leaseFaultKinds)
	if holder := t.checker.currentHolder(); holder > 0 && t.rng.IntN(2) == 0 {
		f.process = holder
	}
	f.link = leaseLink{process: t.rng.IntN(processes), voter: t.rng.IntN(leaseVoters)}
	if f.link.process == f.link.voter {
		f.link.process = max(t.checker.currentHolder(), leaseVoters)
	}
	f.linkFault = leaseLinkFaults[t.rng.IntN(len(leaseLinkFaults))]
	return f
}

// injectFaults injects faults, some of them at the same time, until ctx ends. Only one of the three voters at a time is
// killed, stopped or has a full disk, but faults of links may leave the voters without a leader.
func (t *leaseTest) injectFaults(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	delay.Wait(ctx, leaseFaultFreeTime)
	for ctx.Err() == nil {
		f := t.drawFault()
		t.report.Faults++
		ended := make(chan struct{})
		tasks.Go(func() {
			defer close(ended)
			t.inject(ctx, f)
		})
		if f.kind <= leaseFaultDisk && f.process < leaseVoters {
			<-ended
		}
		delay.Wait(ctx, time.Duration(200+t.rng.IntN(800))*time.Millisecond)
	}
}

// inject injects a fault, and returns when it has ended.
func (t *leaseTest) inject(ctx context.Context, f leaseFault) {
	isVoter := f.process < leaseVoters
	switch {
	case f.kind == leaseFaultKill:
		t.kill(f.process)
	case f.kind == leaseFaultStop:
		t.stopProcess(ctx, f.process, f.duration)
	case f.kind == leaseFaultDisk && isVoter:
		t.fillDisk(ctx, f.process, f.duration)
	default:
		t.failLink(ctx, f)
	}
}

// kill kills a process, and starts it again.
func (t *leaseTest) kill(process int) {
	if process < leaseVoters {
		t.fleet.proxies[process].kill()
		return
	}
	i := process - leaseVoters
	t.mu.Lock()
	holder := t.holders[i]
	t.mu.Unlock()
	t.checker.noteFault(causeKilled, process)
	holder.end(syscall.SIGKILL)
	if err := t.startHolder(i); err != nil {
		t.addCrash("holder %d: %v", i, err)
	}
}

// stopProcess stops a process for the duration d.
func (t *leaseTest) stopProcess(ctx context.Context, process int, d time.Duration) {
	schedule := faultinject.StopSchedule{Duration: d}
	if process < leaseVoters {
		err := t.fleet.proxies[process].stopBySchedule(ctx, schedule)
		if err != nil && ctx.Err() == nil {
			t.addCrash("stop of voter %d: %v", process, err)
		}
		return
	}
	t.mu.Lock()
	pid := t.holders[process-leaseVoters].cmd.Process.Pid
	t.mu.Unlock()
	t.checker.noteFault(causeStopped, process)
	schedule.Run(ctx, pid, func(_, _ time.Time) {}) // fails if another fault has killed the holder
}

// fillDisk fills the disk of a voter for the duration d. The voter halts but still serves clients; it votes again only
// after a restart.
func (t *leaseTest) fillDisk(ctx context.Context, voter int, d time.Duration) {
	p := t.fleet.proxies[voter]
	if err := faultinject.FullDisk(ctx, p.currentProcess().cmd.Process.Pid, d); err != nil {
		t.addCrash("voter %d: %v", voter, err)
	}
	if ctx.Err() == nil {
		p.kill()
	}
}

// failLink injects a fault into a link and ends it after the fault's duration.
func (t *leaseTest) failLink(ctx context.Context, f leaseFault) {
	link := t.links[f.link]
	if f.link.process >= leaseVoters {
		t.checker.noteFault(causeLinkCut, f.link.process)
	}
	if f.linkFault == linkReset {
		link.Reset()
		return
	}
	if link.SetFault(faultinject.LinkFaults[f.linkFault](leaseLinkDelay)) != nil {
		return // the test has ended
	}
	if f.linkFault == "twice" { // the fault affects only new connections
		link.Reset()
	}
	delay.Wait(ctx, f.duration)
	link.SetFault(faultinject.Fault{})
}
