package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// This file tests leases with real processes: proxies that vote, holders that act on a resource under the lease of one
// task, and faults of all of them and of the links between them. The resource checks fencing tokens.

// LeaseOptions configures RunLease.
type LeaseOptions struct {
	Options
	HolderCommand []string // starts a holder; its flags and arguments are appended
	Duration      time.Duration
	Seed          uint64
	// Unfenced makes the resource accept every token, which shows what happens when a holder is stopped between
	// checking its lease and acting.
	Unfenced bool
}

const (
	leaseVoters  = 3
	leaseHolders = 5
	leaseTask    = "act"
	leaseStream  = 9   // second seed of the test's generator
	leaseRate    = 150 // requests a second at the voters
)

// LeaseDuration is the duration of the leases that holders acquire.
const LeaseDuration = time.Second

// The causes of gaps between actions, as reports name them.
const (
	causeReleased = "given back"
	causeKilled   = "holder killed"
	causeStopped  = "holder stopped"
	causeLinkCut  = "holder's way cut"
)

// leaseTest is a test in progress. Processes are numbered: first the voters, then the holders.
type leaseTest struct {
	o       LeaseOptions
	rng     *rand.Rand
	checker *fencingChecker
	fleet   *fleet // its proxies are the voters
	voters  []agent.VoterAddress
	links   map[leaseLink]*faultinject.Link

	mu      sync.Mutex
	holders []*process
	report  *LeaseReport
}

// leaseLink names the link from a process to a voter.
type leaseLink struct{ process, voter int }

// leaseScenario returns the fleet of the voters, and the load of clients that it serves during the test.
func leaseScenario(duration time.Duration, seed uint64) (*Scenario, error) {
	s, err := LoadScenario("still")
	if err != nil {
		return nil, err
	}
	s.Name = "lease"
	s.Description = "one task among eight processes"
	s.Seed = seed
	s.Fleet.Proxies = leaseVoters
	s.Fleet.Nodes = 6
	s.Fleet.RestartPermits = 1
	s.Fleet.ClockDrift = lease.DefaultParameters.MaxClockDrift
	s.Load.Rate = leaseRate
	s.Phases = []Phase{{Name: "all", Duration: tomlDuration(duration)}}
	s.Events = nil
	return s, s.check()
}

// RunLease runs a lease test, and returns an error if it could not start. Broken rules are in the report.
func RunLease(ctx context.Context, o LeaseOptions) (*LeaseReport, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	checker, err := newFencingChecker()
	if err != nil {
		return nil, err
	}
	defer checker.close()
	checker.unfenced = o.Unfenced
	t := &leaseTest{
		o:       o,
		rng:     rand.New(rand.NewPCG(o.Seed, leaseStream)),
		checker: checker,
		links:   make(map[leaseLink]*faultinject.Link),
		report:  &LeaseReport{Seconds: o.Duration.Seconds()},
		holders: make([]*process, leaseHolders),
	}
	defer t.close()
	s, err := leaseScenario(o.Duration, max(o.Seed, 1))
	if err != nil {
		return nil, err
	}
	if t.fleet, err = startFleetWithVoterView(s, o.ProxyCommand, o.Folder, o.Progress, t.openLinks); err != nil {
		return nil, err
	}
	defer t.fleet.close()
	for i := range t.holders {
		if err := t.startHolder(i); err != nil {
			return nil, err
		}
	}
	served := t.run(ctx, s)
	return t.fill(served), nil
}

// run injects faults while clients and holders work, then ends all processes. It returns the results of the clients.
func (t *leaseTest) run(ctx context.Context, s *Scenario) *Report {
	start := time.Now()
	r := newRecorder(s.Phases, start)
	w := newWorkload(t.fleet, r)
	ctx, stop := context.WithTimeout(ctx, t.o.Duration)
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { w.run(ctx) })
	tasks.Go(func() { r.watchLag(ctx) })
	t.injectFaults(ctx)
	delay.Wait(ctx, time.Until(start.Add(t.o.Duration)))
	tasks.Wait()
	t.stopAll()
	waitUntilSteady(func() int { return t.fleet.origin.Stats().Writes })
	served := &Report{}
	served.fill(t.fleet, r, make([]int, len(s.Phases)+1))
	return served
}

// openLinks puts a link between each process and each voter but itself.
func (t *leaseTest) openLinks(voters []agent.VoterAddress) (voterView, error) {
	t.voters = voters
	for process := range leaseVoters + leaseHolders {
		for voter, v := range voters {
			if process == voter {
				continue
			}
			link, err := faultinject.NewLink(linkHost, v.Address)
			if err != nil {
				return nil, err
			}
			t.links[leaseLink{process, voter}] = link
		}
	}
	return t.votersFrom, nil
}

// votersFrom returns the addresses at which a process reaches the voters.
func (t *leaseTest) votersFrom(process int) (list []agent.VoterAddress) {
	for voter, v := range t.voters {
		if link := t.links[leaseLink{process, voter}]; link != nil {
			v.Address = link.Address()
		}
		list = append(list, v)
	}
	return list
}

func (t *leaseTest) startHolder(i int) error {
	id := leaseVoters + i
	h := holderProcess{
		command: t.o.HolderCommand,
		checker: t.checker,
		id:      id,
		task:    leaseTask,
		voters:  t.votersFrom(id),
		folder:  t.o.Folder,
	}
	process, err := h.start()
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.holders[i] = process
	t.mu.Unlock()
	return process.awaitReady()
}

// addCrash counts a process that ended or failed unexpectedly, and records the first descriptions.
func (t *leaseTest) addCrash(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Crashes++
	if len(t.report.Problems) < maxSamples {
		t.report.Problems = append(t.report.Problems, fmt.Sprintf(format, a...))
	}
}

// stopAll ends all processes gracefully, and counts those that had crashed before or do not end.
func (t *leaseTest) stopAll() {
	var tasks sync.WaitGroup
	for i, h := range t.holders {
		tasks.Go(func() {
			if h.hasCrashed() {
				t.addCrash("holder %d ended unexpectedly: %v: %s", i, h.err, logTail(h.logPath))
			} else if err := h.end(syscall.SIGTERM); err != nil {
				t.addCrash("holder %d: %v: %s", i, err, logTail(h.logPath))
			}
		})
	}
	tasks.Wait()
	t.fleet.stop()
}

func (t *leaseTest) close() {
	for _, h := range t.holders {
		if h != nil && !isClosed(h.exited) {
			h.end(syscall.SIGKILL)
		}
	}
	for _, link := range t.links {
		link.Close()
	}
}
