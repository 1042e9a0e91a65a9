package fleettest

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// This file has proxies restart by permits of their fleet, and counts how many are down at a time.

const (
	permitVoters = 3
	permitFleet  = "fleettest"
	// permitTimeout bounds the wait for a permit and the drain together.
	permitTimeout = 3 * time.Minute
)

// newVoters reserves the voters' addresses, and creates their storage in a folder.
func newVoters(folder string, free *portReserver) (f agent.Fleet, err error) {
	f.Name = permitFleet
	for i := range permitVoters {
		l, err := free.reserve()
		if err != nil {
			return f, err
		}
		f.Voters = append(f.Voters, agent.VoterAddress{Name: fmt.Sprint("p", i), Address: l.Addr().String()})
		l.Close()
	}
	for i := range permitVoters {
		if err := agent.InitVoter(voterStoragePath(folder, i), &f); err != nil {
			return f, err
		}
	}
	return f, nil
}

func voterStoragePath(folder string, i int) string {
	return filepath.Join(folder, fmt.Sprintf("p%d.memory", i))
}

// createVoters makes the first proxies voters, if the scenario has permits.
func (f *fleet) createVoters() (err error) {
	if f.scenario.Fleet.RestartPermits > 0 {
		f.voters, err = newVoters(f.folder, f.ports)
	}
	return err
}

// peersConfig is the part of a configuration that makes a process a member of the fleet; voter is its number among the
// voters, -1 for none.
func peersConfig(list []agent.VoterAddress, folder string, voter int) string {
	var voters []string
	for _, v := range list {
		voters = append(voters, v.Name+"="+v.Address)
	}
	text := fmt.Sprintf("[peers]\nfleet = %q\nvoters = %s\npermit = \"wait\"\n", permitFleet, quoted(voters))
	if voter >= 0 {
		text += fmt.Sprintf("voter = %q\nmemory = %q\n", list[voter].Name, voterStoragePath(folder, voter))
	}
	return text
}

// writePeers writes the part of the configuration that makes the proxy a member of the fleet.
func (p *proxyInstance) writePeers(b io.Writer) {
	f := &p.fleet.scenario.Fleet
	if f.RestartPermits == 0 {
		return
	}
	list := p.fleet.voters.Voters
	if p.fleet.voterView != nil {
		list = p.fleet.voterView(p.index)
	}
	voter := p.index
	if voter >= permitVoters || f.Leaderless {
		voter = -1
	}
	io.WriteString(b, peersConfig(list, p.fleet.folder, voter))
	if f.TakeoverMode != "" {
		fmt.Fprintf(b, "listen = %q\nadvertise = %q\ntakeover = %q\nholders = %d\n",
			p.peerAddress, p.advertisedPeerAddress, f.TakeoverMode, f.TakeoverHolders)
	}
}

// setPermits sets how many permits the voters give at a time.
func (f *fleet) setPermits() error {
	permits := f.scenario.Fleet.RestartPermits
	if permits == 0 || f.scenario.Fleet.Leaderless {
		return nil
	}
	c, err := agent.NewClient(f.voters)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	_, err = c.Execute(ctx, lease.Command{Kind: lease.SetLimit, Task: lease.PermitTask, MaxHolders: permits})
	return err
}

// restartByPermit replaces the proxy's process. An old process that is told to end serves until it has a permit.
func (p *proxyInstance) restartByPermit(old *process) {
	noticed := make(chan struct{})
	go func() {
		defer close(noticed)
		p.noticeDrain(old)
	}()
	err := old.endWithin(syscall.SIGTERM, permitTimeout)
	<-noticed
	if err != nil {
		p.fleet.addCrash("proxy %d: %v: %s", p.index, err, logTail(old.logPath))
	}
	from := old.exitedAt
	if isClosed(old.draining) {
		from = old.drainingAt
	}
	if !p.startNext() {
		return
	}
	p.mu.Lock()
	p.downtimes = append(p.downtimes, interval{from, p.process.readyAt})
	p.mu.Unlock()
	p.setAcceptsClients(true)
}

// noticeDrain has clients open no more connections some time after a drain has started.
func (p *proxyInstance) noticeDrain(old *process) {
	select {
	case <-old.draining:
	case <-old.exited:
	}
	notice := time.NewTimer(drainNoticeTime)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-old.exited:
	}
	p.setAcceptsClients(false)
}

// endWithoutPermit ends a process that is not replaced: told to end twice, it waits for no permit. The second signal is
// sent once the first has been received, as signals that are pending at a process are merged.
func (p *proxyInstance) endWithoutPermit(old *process) error {
	if p.fleet.scenario.Fleet.RestartPermits == 0 {
		return old.end(syscall.SIGTERM)
	}
	old.mu.Lock()
	old.endExpected = true
	old.mu.Unlock()
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.awaitingPermit:
		return old.end(syscall.SIGTERM)
	case <-old.draining: // it needs no second signal
	case <-old.exited:
	case <-time.After(processTimeout):
		old.end(syscall.SIGKILL)
		return fmt.Errorf("did not react to %v in %v", syscall.SIGTERM, processTimeout)
	}
	return old.endWithin(syscall.Signal(0), processTimeout)
}

// maxDown is how many proxies were down by permits at a time.
func (f *fleet) maxDown() (highest int) {
	type edge struct {
		at time.Time
		by int
	}
	var edges []edge
	for _, d := range f.proxies {
		for _, s := range d.downtimes {
			edges = append(edges, edge{s.from, 1}, edge{s.to, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.by - b.by
	})
	down := 0
	for _, e := range edges {
		down += e.by
		highest = max(highest, down)
	}
	return highest
}
