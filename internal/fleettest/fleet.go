package fleettest

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease/agent"
)

// newHost is a loopback address that no connection goes out from, and no other fleet listens at: while a proxy is down,
// none can take its port by chance.
func newHost() string {
	pid, n := os.Getpid(), int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n%250)
}

var hostCount atomic.Int64

// portReserver are what has been reserved at a host, so that none is reserved twice: the system may deal one again as soon as it
// is let go.
type portReserver struct {
	host     string
	reserved map[string]bool
}

func newPortReserver() *portReserver {
	return &portReserver{host: newHost(), reserved: make(map[string]bool)}
}

// reserve opens an address that was not reserved before. Whoever closes it keeps it for what is to listen there.
func (p *portReserver) reserve() (net.Listener, error) {
	for {
		l, err := net.Listen("tcp", p.host+":0")
		if err != nil {
			return nil, err
		}
		if at := l.Addr().String(); !p.reserved[at] {
			p.reserved[at] = true
			return l, nil
		}
		defer l.Close() // held until another has come
	}
}

// The drain rule, and what the protocol page adds for real sockets.
const drainGrace = 500*time.Millisecond + 50*time.Millisecond

// fleet is all stand-ins and the processes of the proxies.
type fleet struct {
	scenario *Scenario
	program  []string // how a proxy is started; its configuration's path follows
	folder   string
	progress func(format string, a ...any)

	origin    *origin.Origin
	group     *node.Group
	nodes     []*node.Node
	directory directory
	proxies   []*proxyInstance
	links     linkSet
	ports     *portReserver                        // of the proxies
	peerLinks map[int]*faultinject.Link            // before where proxies take works in hand
	voters    agent.Fleet                          // of permits, if there are any
	voterView func(proxy int) []agent.VoterAddress // them, by each proxy; nil for as they are

	mu             sync.Mutex
	entries        []endpointlist.Entry // of nodes, as last told
	lateDrains     int                  // drains
	maxLateDrain   time.Duration
	lastAfterDrain time.Duration // of all that came to a node after its drain was told
	crashes        int
	problems       []string
	seenIDs        [2]map[string]struct{} // ids that a node has seen, in two generations
	seenRotatedAt  time.Time
}

// A node's request is remembered for one to two of these.
const seenMemory = 5 * time.Second

// proxyInstance is one proxy of the fleet, through all its processes.
type proxyInstance struct {
	fleet                 *fleet
	index                 int
	address               string
	clientAddress         string // where clients connect: the same, or a link to it
	peerAddress           string // where it takes works in hand, and where others find that
	advertisedPeerAddress string
	configPath            string
	passedListener        *os.File // passed to each process, or nil

	changing sync.Mutex // held while it is being restarted or reloaded

	mu             sync.Mutex
	process        *process
	acceptsClients bool       // the front deals it connections
	stops          []interval // when its process was stopped, the latest last
	killedAt       time.Time
	tenantQuota    int
	restarts       int
	reloads        int
	downtimes      []interval // from a drain's beginning until the next process was ready
}

// startFleet starts the stand-ins, and processes if a program is named.
func startFleet(s *Scenario, program []string, folder string, say func(string, ...any)) (*fleet, error) {
	return startFleetBy(s, program, folder, say, nil)
}

// startFleetBy is startFleet with the voters found by each proxy where seen says, once their addresses are known.
func startFleetBy(s *Scenario, program []string, folder string, say func(string, ...any), seen func(real []agent.VoterAddress) (func(proxy int) []agent.VoterAddress, error)) (*fleet, error) {
	f := &fleet{ports: newPortReserver(), scenario: s, program: program, folder: folder, progress: say, seenRotatedAt: time.Now(),
		seenIDs: [2]map[string]struct{}{{}, {}}}
	p := s.Fleet
	f.origin = origin.New(origin.Config{Slots: p.OriginSlots, Queue: p.OriginQueue, ServiceTime: time.Duration(p.OriginServiceTime), Seed: s.Seed})
	f.group = node.NewGroup(time.Duration(p.DedupWindow))
	f.links.prepare(s)
	for i := range p.Nodes {
		n, err := node.Start(node.Config{Name: fmt.Sprintf("n%d", i), Slots: p.Slots, Queue: p.Queue, ServiceTime: time.Duration(p.ServiceTime),
			Capacity: p.Capacity, MaxConns: p.Connections, ReportLoad: true, Seed: s.Seed + uint64(i), Origin: f.origin, Group: f.group,
			OnRequest: f.requestArrived, LedgerByValue: true, MissingKeyPrefix: p.MissingKeyPrefix, Binary: f.speaksBinary(i)})
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.entries = append(f.entries, endpointlist.Entry{Name: n.Name(), Address: n.Address(), Zone: p.Zones[i%len(p.Zones)], Type: f.nodeType(i),
			Group: i % 3, Status: "up", Weight: 1})
	}
	if p.Consul {
		agents, err := newConsulDirectory(f.entries, p.Zones)
		if err != nil {
			f.close()
			return nil, err
		}
		f.directory = agents
	} else {
		f.directory = newPlatformDirectory(f.entries, f.nodeAddress)
	}
	err := f.createVoters()
	if err == nil && seen != nil {
		f.voterView, err = seen(f.voters.Voters)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	for i := range p.Proxies {
		d, err := f.newProxy(i)
		if err != nil {
			f.close()
			return nil, err
		}
		f.proxies = append(f.proxies, d)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(f.proxies))
	for i, d := range f.proxies {
		starting.Go(func() { errs[i] = d.start() })
	}
	starting.Wait()
	if err := errors.Join(errs...); err != nil {
		f.close()
		return nil, err
	}
	if err := f.setPermits(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// speaksBinary tells whether a node does: the last of each so many.
func (f *fleet) speaksBinary(i int) bool {
	every := f.scenario.Fleet.BinaryNodeEvery
	return every > 0 && i%every == every-1
}

// nodeType is a node's type, from which proxies know its dialect.
func (f *fleet) nodeType(i int) string {
	if f.speaksBinary(i) {
		return "b1"
	}
	return "m1"
}

func (f *fleet) newProxy(i int) (*proxyInstance, error) {
	d := &proxyInstance{fleet: f, index: i, configPath: filepath.Join(f.folder, fmt.Sprintf("p%d.toml", i)), tenantQuota: f.scenario.Load.TenantQuota}
	listener, err := f.ports.reserve()
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	if every := f.scenario.Fleet.PassedListenerEvery; every > 0 && i%every == 0 {
		if d.passedListener, err = listener.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
	}
	listener.Close()
	if d.clientAddress, err = f.links.linkToProxy(d); err != nil {
		return nil, err
	}
	if f.scenario.Fleet.TakeoverMode != "" {
		if err := d.openWorks(); err != nil {
			return nil, err
		}
	}
	text, err := d.configText("same")
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.configPath, text, 0o600)
}

// configText is the proxy's configuration. With tells what is wrong or new in it.
func (d *proxyInstance) configText(with string) ([]byte, error) {
	var b bytes.Buffer
	s, p := d.fleet.scenario, d.fleet.scenario.Fleet
	sockets := p.MaxSockets
	if with == "fixed" {
		sockets *= 2
	}
	fmt.Fprintf(&b, "name = \"p%d\"\nlisten = %q\nzones = %s\nzone = %q\ntypes = [\"m1\", \"b1\"]\n", d.index, d.address, quoted(p.Zones),
		p.Zones[d.index%len(p.Zones)])
	if with == "broken" {
		fmt.Fprintln(&b, "zone = \"nowhere")
	}
	place, err := d.fleet.directory.config(d.index)
	if err != nil {
		return nil, err
	}
	if d.fleet.links.list != nil {
		if place, err = d.fleet.linkToList(d.index, place); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&b, "%s[start]\nwait_for_address = \"10s\"\n", place)
	fmt.Fprintf(&b, "[limits]\nmemory_mb = %d\nsockets = %d\nconnections_per_node = %d\n", p.MemoryMB, sockets, p.ConnectionsPerNode)
	if p.DegradationOff {
		fmt.Fprintln(&b, "[service]\nreduce = false")
	}
	if p.SuspendDuration > 0 || p.ClockDrift > 0 {
		drift := p.ClockDrift
		if d.index%2 == 1 {
			drift = -drift
		}
		fmt.Fprintf(&b, "[test]\nsleep_at = %q\nsleep_for = %q\ndrift = %v\n", time.Duration(p.SuspendAt), time.Duration(p.SuspendDuration), drift)
	}
	d.writePeers(&b)
	for _, t := range s.Load.Tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = %q\nquota = %d\n", t, d.tenantQuota)
	}
	if p.Binary || p.BinaryNodeEvery > 0 {
		fmt.Fprintf(&b, "[binary]\nclients = %v\ntypes = [\"b1\"]\n", p.Binary)
		for _, t := range s.Load.Tenants[:min(len(s.Load.Tenants), 1)] { // without tenants the usual routes will do
			for _, r := range [][2]string{{"read", "read"}, {"ticketed", "write"}, {"plain", "plain"}} {
				fmt.Fprintf(&b, "[[route]]\nverb = %q\nclass = %q\ntenant = %q\n", r[0], r[1], t)
			}
		}
	}
	text := b.Bytes()
	if with == "half" {
		text = text[:len(text)/3]
	}
	return text, nil
}

func quoted(texts []string) string {
	for i, t := range texts {
		if i == 0 {
			texts = append([]string(nil), texts...)
		}
		texts[i] = strconv.Quote(t)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

// requestArrived is told each request that comes to a node. Of one that a binary client
// sent, or that came to a binary node, neither id nor proxy is known: a write is known by
// its value then, and a drain counts as told when the last proxy was.
func (f *fleet) requestArrived(name, id, value string, at time.Time) {
	proxy := proxyOf(id)
	told, draining := f.drainNotifiedAt(proxy, name)
	draining = draining && !f.links.nodeLinkFaulty(proxy, name, told) && !f.links.listLinkFaulty(proxy, told) // what a link held back was sent before
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.Sub(f.seenRotatedAt) > seenMemory {
		f.seenIDs[0], f.seenIDs[1], f.seenRotatedAt = f.seenIDs[1], make(map[string]struct{}), at
	}
	for _, name := range []string{id, value} {
		if name != "" && (proxy < 0 || name == id) {
			f.seenIDs[1][name] = struct{}{}
		}
	}
	if draining {
		f.lastAfterDrain = max(f.lastAfterDrain, at.Sub(told))
	}
	if by := at.Sub(told); draining && by > drainGrace {
		f.lateDrains++
		f.maxLateDrain = max(f.maxLateDrain, by)
	}
}

// drainNotifiedAt returns when a proxy was told that a node drains; with a negative number,
// when the last of all was.
func (f *fleet) drainNotifiedAt(proxy int, node string) (last time.Time, draining bool) {
	if proxy >= 0 {
		return f.directory.notifiedAt(proxy, node)
	}
	for i := range f.scenario.Fleet.Proxies {
		told, draining := f.directory.notifiedAt(i, node)
		if !draining {
			return last, false
		}
		if told.After(last) {
			last = told
		}
	}
	return last, true
}

// seenByNode tells whether a node has seen a request lately.
func (f *fleet) seenByNode(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, a := f.seenIDs[0][id]
	_, b := f.seenIDs[1][id]
	return a || b
}

// proxyOf returns the proxy that a request was sent to, which its id names.
func proxyOf(id string) int {
	rest, ok := strings.CutPrefix(id, "p")
	number, _, _ := strings.Cut(rest, "-")
	n, err := strconv.Atoi(number)
	if !ok || err != nil {
		return -1
	}
	return n
}

func (f *fleet) addProblem(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.problems) < 50 {
		f.problems = append(f.problems, fmt.Sprintf(format, a...))
	}
}

func (f *fleet) addCrash(format string, a ...any) {
	f.addProblem(format, a...)
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
}

// launch starts a process for the proxy.
func (d *proxyInstance) launch() (*process, error) {
	argv := append(append([]string(nil), d.fleet.program...), d.configPath)
	return startProcess(argv, d.passedListener, filepath.Join(d.fleet.folder, fmt.Sprintf("p%d.log", d.index)))
}

// start brings the proxy up where there is none.
func (d *proxyInstance) start() error {
	p, err := d.launch()
	if err != nil {
		return fmt.Errorf("proxy %d: %w", d.index, err)
	}
	d.mu.Lock()
	d.process = p
	d.mu.Unlock()
	if err := p.awaitReady(); err != nil {
		return fmt.Errorf("proxy %d: %w", d.index, err)
	}
	d.setAcceptsClients(true)
	return nil
}

func (d *proxyInstance) setAcceptsClients(taking bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acceptsClients = taking
}

func (d *proxyInstance) currentProcess() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// drainNoticeTime is how long after a drain began a front still deals connections.
const drainNoticeTime = 300 * time.Millisecond

// restart replaces the proxy's process as its operators would.
func (d *proxyInstance) restart(mode string) {
	d.changing.Lock()
	defer d.changing.Unlock()
	f, old := d.fleet, d.currentProcess()
	if old.hasCrashed() {
		f.addCrash("proxy %d had ended unasked: %v: %s", d.index, old.err, logTail(old.logPath))
	}
	d.mu.Lock()
	d.restarts++
	d.mu.Unlock()
	ended := make(chan struct{})
	drain := func() {
		defer close(ended)
		if err := old.end(syscall.SIGTERM); err != nil {
			f.addCrash("proxy %d: old process: %v: %s", d.index, err, logTail(old.logPath))
		}
	}
	begin := func() bool {
		p, err := d.launch()
		if err == nil {
			if err = p.awaitReady(); err != nil {
				p.end(syscall.SIGKILL)
			}
		}
		if err != nil {
			f.addCrash("proxy %d: new process: %v", d.index, err)
			return false
		}
		d.mu.Lock()
		d.process = p
		d.mu.Unlock()
		return true
	}
	if f.scenario.Fleet.RestartPermits > 0 {
		d.restartByPermit(old, begin)
		return
	}
	switch {
	case d.passedListener != nil: // both hold it, and the front sees no gap
		if begin() {
			drain()
		}
		return
	case mode == "overlap": // the new one waits for the address
		go drain()
		notice := time.AfterFunc(drainNoticeTime, func() { d.setAcceptsClients(false) })
		if begin() {
			notice.Stop()
			d.setAcceptsClients(true)
		}
		<-ended
	default:
		notice := time.AfterFunc(drainNoticeTime, func() { d.setAcceptsClients(false) })
		drain()
		notice.Stop()
		d.setAcceptsClients(false)
		if begin() {
			d.setAcceptsClients(true)
		}
	}
}

// kill ends the proxy outright, and starts it again.
func (d *proxyInstance) kill() {
	d.changing.Lock()
	defer d.changing.Unlock()
	d.mu.Lock()
	d.killedAt = time.Now()
	old := d.process
	d.mu.Unlock()
	old.end(syscall.SIGKILL)
	notice := time.AfterFunc(time.Second, func() { d.setAcceptsClients(false) }) // the front sees it late
	err := d.start()
	if notice.Stop(); err != nil {
		d.fleet.addCrash("%v", err)
	}
}

// reload writes the configuration anew and has the proxy read it.
func (d *proxyInstance) reload(with string, times int, every time.Duration) {
	d.changing.Lock()
	defer d.changing.Unlock()
	f, p := d.fleet, d.currentProcess()
	before := p.reloadCount()
	for i := range max(times, 1) {
		if i > 0 {
			time.Sleep(every)
		}
		d.mu.Lock()
		d.reloads++
		if with == "quota" {
			d.tenantQuota++
		}
		d.mu.Unlock()
		if with == "moved" {
			if err := f.directory.move(d.index); err != nil {
				f.addProblem("list: %v", err)
				return
			}
		}
		if err := d.writeConfig(with); err != nil {
			f.addProblem("proxy %d: %v", d.index, err)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	for until := time.Now().Add(processTimeout); p.reloadCount() == before; time.Sleep(5 * time.Millisecond) {
		if p.hasCrashed() || time.Now().After(until) {
			f.addCrash("proxy %d: no reload was told after SIGHUP: %s", d.index, logTail(p.logPath))
			return
		}
	}
	if with != "same" && with != "quota" && with != "moved" { // a next start must find a good one
		if err := d.writeConfig("same"); err != nil {
			f.addProblem("proxy %d: %v", d.index, err)
		}
	}
}

func (d *proxyInstance) writeConfig(with string) error {
	if with == "gone" {
		return os.Remove(d.configPath)
	}
	text, err := d.configText(with)
	if err != nil {
		return err
	}
	if with == "half" { // as it is being written
		return os.WriteFile(d.configPath, text, 0o600)
	}
	if err := os.WriteFile(d.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(d.configPath+".new", d.configPath)
}

// updateNode changes a node's entry in the list.
func (f *fleet) updateNode(i int, change func(*endpointlist.Entry)) {
	f.mu.Lock()
	change(&f.entries[i])
	e := f.entries[i]
	f.mu.Unlock()
	f.directory.update(e)
}

// stop ends all processes as a drain does, and counts what went wrong.
func (f *fleet) stop() {
	var ending sync.WaitGroup
	for _, d := range f.proxies {
		ending.Go(func() {
			d.changing.Lock()
			defer d.changing.Unlock()
			p := d.currentProcess()
			if p == nil {
				return
			}
			if p.hasCrashed() {
				f.addCrash("proxy %d had ended unasked: %v: %s", d.index, p.err, logTail(p.logPath))
			} else if err := d.endWithoutPermit(p); err != nil {
				f.addCrash("proxy %d: at the end: %v: %s", d.index, err, logTail(p.logPath))
			}
		})
	}
	ending.Wait()
}

// close ends the stand-ins, and whatever process is left.
func (f *fleet) close() {
	for _, d := range f.proxies {
		if p := d.currentProcess(); p != nil && !isClosed(p.exited) {
			p.end(syscall.SIGKILL)
		}
		if d.passedListener != nil {
			d.passedListener.Close()
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
