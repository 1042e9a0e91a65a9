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

// This file restarts proxies under restart permits of their fleet, and counts how many proxies are down at the same
// time.

const (
	permitVoters = 3
	permitFleet  = "fleettest"
	// permitTimeout bounds the time from SIGTERM to exit, which includes the wait for a permit and the drain.
	permitTimeout = 3 * time.Minute
)

// newVoters reserves addresses for the voters, and creates their files in a folder.
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

// createVoters creates the voters, which are the first proxies, if the scenario has restart permits.
func (f *fleet) createVoters() (err error) {
	if f.scenario.Fleet.RestartPermits > 0 {
		f.voters, err = newVoters(f.folder, f.ports)
	}
	return err
}

// peersConfig returns the part of a configuration that makes a process a member of the fleet. voter is the index of the
// process among the voters; -1 if it does not vote.
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

// writePeers writes the part of the configuration that makes the proxy a member of the fleet, if the scenario has
// permits.
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

// setPermits sets the number of proxies that can hold a restart permit at the same time, at the voters.
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

// restartByPermit replaces the proxy's process. After SIGTERM the old process serves until it has a permit.
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

// noticeDrain stops clients from opening connections drainNoticeTime after the start of a drain, or when the process
// ends.
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

// endWithoutPermit ends a process that is not replaced. A second SIGTERM makes the process end without a permit. It is
// sent only once the process has received the first one, because the kernel merges pending signals.
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
	case <-old.draining: // the process drains already and needs no second signal
	case <-old.exited:
	case <-time.After(processTimeout):
		old.end(syscall.SIGKILL)
		return fmt.Errorf("did not react to %v within %v", syscall.SIGTERM, processTimeout)
	}
	return old.endWithin(syscall.Signal(0), processTimeout)
}

// maxDown returns the highest number of proxies that were down for restarts by permit at the same time.
func (f *fleet) maxDown() (highest int) {
	type event struct {
		at     time.Time
		change int
	}
	var events []event
	for _, d := range f.proxies {
		for _, s := range d.downtimes {
			events = append(events, event{s.from, 1}, event{s.to, -1})
		}
	}
	slices.SortFunc(events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.change - b.change
	})
	down := 0
	for _, e := range events {
		down += e.change
		highest = max(highest, down)
	}
	return highest
}
