package fleettest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinpier/internal/lifecycle"
)

// processTimeout limits each wait for a process: for its start, a reload and its end.
const processTimeout = 20 * time.Second

// process is one process of a proxy. This package acts as its service manager.
type process struct {
	cmd          *exec.Cmd
	notifySocket *net.UnixConn
	logPath      string // receives standard output and standard error
	ready        chan struct{}
	draining     chan struct{}
	exited       chan struct{}
	// awaitingPermit is closed once the process has received SIGTERM and waits for a restart permit.
	awaitingPermit chan struct{}
	tasks          sync.WaitGroup

	startedAt  time.Time
	readyAt    time.Time // valid once ready is closed
	drainingAt time.Time // valid once draining is closed
	exitedAt   time.Time // valid once exited is closed
	err        error     // valid once exited is closed

	mu          sync.Mutex
	status      string
	reloads     int // number of completed reloads
	reloading   bool
	endExpected bool // the test has sent the process a signal to end
}

var processSerial atomic.Int64

// startProcess starts a program under the service manager's protocol. The process inherits listener, unless listener is
// nil. Its output is appended to the file log.
func startProcess(argv []string, listener *os.File, log string) (*process, error) {
	name := fmt.Sprintf("@fleettest-%d-%d", os.Getpid(), processSerial.Add(1))
	notify, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: name, Net: "unixgram"})
	if err != nil {
		return nil, fmt.Errorf("notify socket: %w", err)
	}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		notify.Close()
		return nil, err
	}
	defer out.Close()
	p := &process{
		notifySocket:   notify,
		logPath:        log,
		ready:          make(chan struct{}),
		draining:       make(chan struct{}),
		exited:         make(chan struct{}),
		awaitingPermit: make(chan struct{}),
		startedAt:      time.Now(),
	}
	p.cmd = exec.Command(argv[0], argv[1:]...)
	p.cmd.Env = append(os.Environ(), "NOTIFY_SOCKET="+name, "WATCHDOG_USEC=2000000", "GW_CONFIG=")
	if listener != nil {
		// LISTEN_PID must be the id of the process, which is known only once it runs: a shell sets it and executes the
		// program in its own place.
		p.cmd.Args = append([]string{"sh", "-c", `LISTEN_PID=$$ LISTEN_FDS=1 exec "$0" "$@"`}, argv...)
		p.cmd.Path = "/bin/sh"
		p.cmd.ExtraFiles = []*os.File{listener}
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		notify.Close()
		return nil, err
	}
	p.tasks.Go(p.readNotifications)
	p.tasks.Go(func() {
		p.err = p.cmd.Wait()
		p.exitedAt = time.Now()
		close(p.exited)
		notify.Close()
	})
	return p, nil
}

// readNotifications handles the notifications of the process until the socket is closed.
func (p *process) readNotifications() {
	buf := make([]byte, 4<<10)
	for {
		n, _, err := p.notifySocket.ReadFromUnix(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		for line := range strings.SplitSeq(string(buf[:n]), "\n") {
			p.handleNotification(line)
		}
		p.mu.Unlock()
	}
}

// awaitingPermitStatus is the prefix of the status of a process that has received SIGTERM and waits for a restart
// permit.
var awaitingPermitStatus = lifecycle.AwaitingPermit.String()

// handleNotification handles one line of a notification. p.mu must be held.
func (p *process) handleNotification(line string) {
	name, value, _ := strings.Cut(line, "=")
	switch name {
	case "READY":
		if !isClosed(p.ready) {
			p.readyAt = time.Now()
			close(p.ready)
		} else if p.reloading {
			p.reloads, p.reloading = p.reloads+1, false
		}
	case "RELOADING":
		p.reloading = true
	case "STOPPING":
		if !isClosed(p.draining) {
			p.drainingAt = time.Now()
			close(p.draining)
		}
	case "STATUS":
		p.status = value
		if strings.HasPrefix(value, awaitingPermitStatus) && !isClosed(p.awaitingPermit) {
			close(p.awaitingPermit)
		}
	}
}

// awaitReady waits until the process has reported that it is ready.
func (p *process) awaitReady() error {
	select {
	case <-p.ready:
		return nil
	case <-p.exited:
		return fmt.Errorf("ended before it was ready: %w: %s", errors.Join(p.err, errEnded), logTail(p.logPath))
	case <-time.After(processTimeout):
		return fmt.Errorf("not ready in %v: %s", processTimeout, logTail(p.logPath))
	}
}

var errEnded = errors.New("the program ended")

// end ends the process by a signal, and waits until it has exited. If it does not exit in processTimeout, it is killed.
func (p *process) end(signal syscall.Signal) error { return p.endWithin(signal, processTimeout) }

func (p *process) endWithin(signal syscall.Signal, limit time.Duration) error {
	p.mu.Lock()
	p.endExpected = true
	p.mu.Unlock()
	p.cmd.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.cmd.Process.Kill()
		<-p.exited
		return fmt.Errorf("did not end in %v after %v", limit, signal)
	}
	p.tasks.Wait()
	if signal == syscall.SIGKILL {
		return nil
	}
	return p.err
}

// hasCrashed reports whether the process has exited although the test has not ended it.
func (p *process) hasCrashed() bool {
	select {
	case <-p.exited:
	default:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endExpected
}

// reloadCount returns the number of reloads that the process has completed.
func (p *process) reloadCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reloads
}

// Footprint is the resources that a process uses.
type Footprint struct {
	ResidentMB  float64 `json:"resident_mb"`
	Descriptors int     `json:"descriptors"`
	Goroutines  int     `json:"goroutines"`
}

func (p *process) footprint() (f Footprint) {
	f.ResidentMB, f.Descriptors = footprintOf(p.cmd.Process.Pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, text, ok := strings.Cut(p.status, "goroutines="); ok {
		f.Goroutines, _ = strconv.Atoi(strings.Fields(text)[0])
	}
	return f
}

func footprintOf(pid int) (residentMB float64, descriptors int) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	if text, err := os.ReadFile(filepath.Join(folder, "status")); err == nil {
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			residentMB = float64(kb) / 1024
		}
	}
	if entries, err := os.ReadDir(filepath.Join(folder, "fd")); err == nil {
		descriptors = len(entries)
	}
	return residentMB, descriptors
}

// logTail returns the last 500 bytes of a log, or the text of the error if it cannot be read.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-500):]))
}
