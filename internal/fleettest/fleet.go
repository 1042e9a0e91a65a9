package fleettest

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease/agent"
)

// fleet holds the fakes of a test and the processes of its proxies.
type fleet struct {
	scenario *Scenario
	program  []string // command that starts a proxy; the configuration path is appended
	folder   string
	progress func(format string, a ...any)

	origin    *origin.Origin
	group     *node.Group
	nodes     []*node.Node
	directory directory
	proxies   []*proxyInstance
	links     linkSet
	ports     *portReserver             // for the addresses of the proxies
	peerLinks map[int]*faultinject.Link // links to the proxies' peer addresses, by proxy; nil without such links
	voters    agent.Fleet               // set if the scenario has restart permits
	voterView voterView                 // nil if proxies use the voters' own addresses

	mu             sync.Mutex
	entries        []endpointlist.Entry // of the nodes, as last published
	lateDrains     int                  // requests that reached a draining node later than drainGrace
	maxLateDrain   time.Duration
	lastAfterDrain time.Duration // longest time from a drain notification to a request at the node
	crashes        int
	problems       []string
	seenIDs        [2]map[string]struct{} // IDs of requests that nodes have received; older generation first
	seenRotatedAt  time.Time
}

// voterView returns the addresses at which a proxy connects to the voters.
type voterView func(proxy int) []agent.VoterAddress

// maxProblems is the maximum number of descriptions of problems that are kept.
const maxProblems = 50

// startFleet starts the fakes and the proxies, and waits until all proxies are ready.
func startFleet(s *Scenario, program []string, folder string, progress func(string, ...any)) (*fleet, error) {
	return startFleetWithVoterView(s, program, folder, progress, nil)
}

// startFleetWithVoterView is startFleet with proxies that connect to the voters at other addresses, such as those of
// links. newView is called once the voters' own addresses are known.
func startFleetWithVoterView(
	s *Scenario, program []string, folder string, progress func(string, ...any),
	newView func(voters []agent.VoterAddress) (voterView, error),
) (*fleet, error) {
	f := &fleet{
		scenario:      s,
		program:       program,
		folder:        folder,
		progress:      progress,
		ports:         newPortReserver(),
		seenRotatedAt: time.Now(),
		seenIDs:       [2]map[string]struct{}{{}, {}},
	}
	if err := f.start(newView); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(newView func(voters []agent.VoterAddress) (voterView, error)) error {
	f.links.prepare(f.scenario)
	if err := f.startNodes(); err != nil {
		return err
	}
	if err := f.startDirectory(); err != nil {
		return err
	}
	if err := f.createVoters(); err != nil {
		return err
	}
	if newView != nil {
		var err error
		if f.voterView, err = newView(f.voters.Voters); err != nil {
			return err
		}
	}
	if err := f.startProxies(); err != nil {
		return err
	}
	return f.setPermits()
}

// startNodes starts the origin and the nodes.
func (f *fleet) startNodes() error {
	p, seed := &f.scenario.Fleet, f.scenario.Seed
	f.origin = origin.New(origin.Config{
		Slots:       p.OriginSlots,
		Queue:       p.OriginQueue,
		ServiceTime: time.Duration(p.OriginServiceTime),
		Seed:        seed,
	})
	f.group = node.NewGroup(time.Duration(p.DedupWindow))
	for i := range p.Nodes {
		n, err := node.Start(node.Config{
			Name:             fmt.Sprintf("n%d", i),
			Slots:            p.Slots,
			Queue:            p.Queue,
			ServiceTime:      time.Duration(p.ServiceTime),
			Capacity:         p.Capacity,
			MaxConns:         p.Connections,
			ReportLoad:       true,
			Seed:             seed + uint64(i),
			Origin:           f.origin,
			Group:            f.group,
			OnRequest:        f.requestArrived,
			LedgerByValue:    true,
			MissingKeyPrefix: p.MissingKeyPrefix,
			Binary:           f.speaksBinary(i),
		})
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.entries = append(f.entries, endpointlist.Entry{
			Name:    n.Name(),
			Address: n.Address(),
			Zone:    p.Zones[i%len(p.Zones)],
			Type:    f.nodeType(i),
			Group:   i % nodeGroups,
			Status:  "up",
			Weight:  1,
		})
	}
	return nil
}

// nodeGroups is the number of groups over which the nodes are distributed.
const nodeGroups = 3

func (f *fleet) startDirectory() error {
	if !f.scenario.Fleet.Consul {
		f.directory = newPlatformDirectory(f.entries, f.nodeAddress)
		return nil
	}
	agents, err := newConsulDirectory(f.entries, f.scenario.Fleet.Zones)
	if err != nil {
		return err
	}
	f.directory = agents
	return nil
}

func (f *fleet) startProxies() error {
	for i := range f.scenario.Fleet.Proxies {
		p, err := f.newProxy(i)
		if err != nil {
			return err
		}
		f.proxies = append(f.proxies, p)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(f.proxies))
	for i, p := range f.proxies {
		starting.Go(func() { errs[i] = p.start() })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// speaksBinary reports whether a node speaks the binary protocol, as every BinaryNodeEvery-th node does.
func (f *fleet) speaksBinary(i int) bool {
	every := f.scenario.Fleet.BinaryNodeEvery
	return every > 0 && i%every == every-1
}

// nodeType returns the type in a node's directory entry, which tells proxies the node's dialect.
func (f *fleet) nodeType(i int) string {
	if f.speaksBinary(i) {
		return "b1"
	}
	return "m1"
}

// updateNode changes a node's entry in the directory.
func (f *fleet) updateNode(i int, change func(*endpointlist.Entry)) {
	f.mu.Lock()
	change(&f.entries[i])
	e := f.entries[i]
	f.mu.Unlock()
	f.directory.update(e)
}

// addProblem records a description of a problem, unless there are maxProblems already.
func (f *fleet) addProblem(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.problems) < maxProblems {
		f.problems = append(f.problems, fmt.Sprintf(format, a...))
	}
}

// addCrash counts and describes a process that exited unexpectedly or failed to start, reload or stop.
func (f *fleet) addCrash(format string, a ...any) {
	f.addProblem(format, a...)
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
}

// stop shuts all proxies down gracefully, and records those that had crashed or fail to stop.
func (f *fleet) stop() {
	var ending sync.WaitGroup
	for _, p := range f.proxies {
		ending.Go(p.stopGracefully)
	}
	ending.Wait()
}

// close kills the remaining processes, and closes the links and the fakes.
func (f *fleet) close() {
	for _, p := range f.proxies {
		process := p.currentProcess()
		if process != nil && !isClosed(process.exited) {
			process.end(syscall.SIGKILL)
		}
		if p.passedListener != nil {
			p.passedListener.Close()
		}
	}
	if f.directory != nil {
		f.directory.close()
	}
	f.links.close()
	for _, l := range f.peerLinks {
		l.Close()
	}
	f.origin.Close()
	for _, n := range f.nodes {
		n.Close()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
