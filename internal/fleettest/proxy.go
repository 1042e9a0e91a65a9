package fleettest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// proxyInstance is one proxy of the fleet. Restarts replace its process.
type proxyInstance struct {
	fleet                 *fleet
	index                 int
	address               string
	clientAddress         string // where clients connect: address, or a link to it
	peerAddress           string // where it listens for peers
	advertisedPeerAddress string // where its peers connect
	configPath            string
	passedListener        *os.File // listener that each process inherits; nil for none

	changing sync.Mutex // held during a restart or reload

	mu             sync.Mutex
	process        *process
	acceptsClients bool       // clients may open connections to it
	stops          []interval // when its process was stopped, oldest first
	killedAt       time.Time
	tenantQuota    int
	restarts       int
	reloads        int
	downtimes      []interval // in restarts by permit: from the start of the drain until the next process was ready
}

type interval struct{ from, to time.Time }

const (
	// drainNoticeTime is the time after the start of a drain for which clients still open connections.
	drainNoticeTime = 300 * time.Millisecond
	// killNoticeTime is the time after the kill of a process for which clients still open connections.
	killNoticeTime = time.Second
	// unknownKillTime is added to the present time as the assumed time of a kill, until the process has exited.
	unknownKillTime = time.Hour
)

// newProxy reserves a proxy's addresses and writes its configuration.
func (f *fleet) newProxy(i int) (*proxyInstance, error) {
	p := &proxyInstance{
		fleet:       f,
		index:       i,
		configPath:  filepath.Join(f.folder, fmt.Sprintf("p%d.toml", i)),
		tenantQuota: f.scenario.Load.TenantQuota,
	}
	listener, err := f.ports.reserve()
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	if every := f.scenario.Fleet.PassedListenerEvery; every > 0 && i%every == 0 {
		if p.passedListener, err = listener.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
	}
	listener.Close()
	if p.clientAddress, err = f.links.linkToProxy(p); err != nil {
		return nil, err
	}
	if f.scenario.Fleet.TakeoverMode != "" {
		if err := p.openPeerAddress(); err != nil {
			return nil, err
		}
	}
	text, err := p.configText(configSame)
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.configPath, text, 0o600)
}

// launch starts a process for the proxy.
func (p *proxyInstance) launch() (*process, error) {
	argv := append(append([]string(nil), p.fleet.program...), p.configPath)
	log := filepath.Join(p.fleet.folder, fmt.Sprintf("p%d.log", p.index))
	return startProcess(argv, p.passedListener, log)
}

// start starts the proxy's process and waits until it is ready. The proxy must have no other process.
func (p *proxyInstance) start() error {
	process, err := p.launch()
	if err != nil {
		return fmt.Errorf("proxy %d: %w", p.index, err)
	}
	p.setProcess(process)
	if err := process.awaitReady(); err != nil {
		return fmt.Errorf("proxy %d: %w", p.index, err)
	}
	p.setAcceptsClients(true)
	return nil
}

func (p *proxyInstance) setProcess(process *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.process = process
}

func (p *proxyInstance) setAcceptsClients(accepts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptsClients = accepts
}

func (p *proxyInstance) currentProcess() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process
}

// reportCrash records a crash if the process has exited unexpectedly.
func (p *proxyInstance) reportCrash(process *process) {
	if process.hasCrashed() {
		p.fleet.addCrash("proxy %d exited unexpectedly: %v: %s", p.index, process.err, logTail(process.logPath))
	}
}

// drain ends an old process gracefully, and records a crash if that fails.
func (p *proxyInstance) drain(old *process) {
	if err := old.end(syscall.SIGTERM); err != nil {
		p.fleet.addCrash("proxy %d: old process: %v: %s", p.index, err, logTail(old.logPath))
	}
}

// startNext starts a process to replace an old one, and reports whether it became ready.
func (p *proxyInstance) startNext() bool {
	process, err := p.launch()
	if err == nil {
		if err = process.awaitReady(); err != nil {
			process.end(syscall.SIGKILL)
		}
	}
	if err != nil {
		p.fleet.addCrash("proxy %d: new process: %v", p.index, err)
		return false
	}
	p.setProcess(process)
	return true
}

// restart replaces the proxy's process in the way that operators do: by a restart permit, with a shared listener, or by
// mode.
func (p *proxyInstance) restart(mode string) {
	p.changing.Lock()
	defer p.changing.Unlock()
	old := p.currentProcess()
	p.reportCrash(old)
	p.mu.Lock()
	p.restarts++
	p.mu.Unlock()
	switch {
	case p.fleet.scenario.Fleet.RestartPermits > 0:
		p.restartByPermit(old)
	case p.passedListener != nil: // both processes have the listener, so clients can always connect
		if p.startNext() {
			p.drain(old)
		}
	case mode == modeOverlap:
		p.restartOverlapping(old)
	default:
		p.restartWithGap(old)
	}
}

// restartOverlapping starts the new process before the old one ends. The new process waits until the old one has
// released the address.
func (p *proxyInstance) restartOverlapping(old *process) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.drain(old)
	}()
	notice := time.AfterFunc(drainNoticeTime, func() { p.setAcceptsClients(false) })
	if p.startNext() {
		notice.Stop()
		p.setAcceptsClients(true)
	}
	<-ended
}

// restartWithGap starts the new process after the old one has ended.
func (p *proxyInstance) restartWithGap(old *process) {
	notice := time.AfterFunc(drainNoticeTime, func() { p.setAcceptsClients(false) })
	p.drain(old)
	notice.Stop()
	p.setAcceptsClients(false)
	if p.startNext() {
		p.setAcceptsClients(true)
	}
}

// killProcess kills the proxy's process. killedAt is the time at which the process exited, because it may accept
// connections until then, however long the signal takes.
func (p *proxyInstance) killProcess() {
	p.mu.Lock()
	p.killedAt = time.Now().Add(unknownKillTime)
	old := p.process
	p.mu.Unlock()
	old.end(syscall.SIGKILL)
	p.mu.Lock()
	p.killedAt = old.exitedAt
	p.mu.Unlock()
}

// kill kills the proxy's process and starts a new one.
func (p *proxyInstance) kill() {
	p.changing.Lock()
	defer p.changing.Unlock()
	p.killProcess()
	notice := time.AfterFunc(killNoticeTime, func() { p.setAcceptsClients(false) })
	err := p.start()
	notice.Stop()
	if err != nil {
		p.fleet.addCrash("%v", err)
	}
}

// stopGracefully shuts the proxy down at the end of the test.
func (p *proxyInstance) stopGracefully() {
	p.changing.Lock()
	defer p.changing.Unlock()
	process := p.currentProcess()
	if process == nil {
		return
	}
	if process.hasCrashed() {
		p.reportCrash(process)
		return
	}
	if err := p.endWithoutPermit(process); err != nil {
		p.fleet.addCrash("proxy %d: final shutdown: %v: %s", p.index, err, logTail(process.logPath))
	}
}
