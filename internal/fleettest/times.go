package fleettest

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
)

// StartStopReport has the times that a proxy takes to start and to stop, in milliseconds, with a value for each run.
type StartStopReport struct {
	ExecToReady     []float64 `json:"exec_to_ready_ms"`
	ExitIdle        []float64 `json:"sigterm_to_exit_idle_ms"`
	ExitWithRequest []float64 `json:"sigterm_to_exit_open_ms"` // with a request in flight
	// A proxy with a passed listener does not wait for the connections in its backlog.
	ExitPassedListener []float64 `json:"sigterm_to_exit_idle_passed_ms"`
	OpenRequestMillis  float64   `json:"open_request_takes_ms"` // service time of that request
}

func listenAt(host string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// MeasureStartStop measures starts and stops, runs times each: without requests, with a request in flight, and with a
// passed listener.
func MeasureStartStop(program []string, folder string, runs int) (*StartStopReport, error) {
	const serviceTime = 800 * time.Millisecond
	fakeOrigin := origin.New(origin.Config{Slots: 4, Queue: 4})
	defer fakeOrigin.Close()
	n, err := node.Start(node.Config{
		Name:        "n0",
		ServiceTime: serviceTime,
		Origin:      fakeOrigin,
		Group:       node.NewGroup(time.Second),
	})
	if err != nil {
		return nil, err
	}
	defer n.Close()
	m := startStop{program: program, folder: folder, node: n}
	r := &StartStopReport{OpenRequestMillis: millis(serviceTime)}
	for range runs {
		ready, idle, err := m.measure(trial{})
		if err != nil {
			return nil, err
		}
		_, open, err := m.measure(trial{openRequest: true})
		if err != nil {
			return nil, err
		}
		_, passed, err := m.measure(trial{passedListener: true})
		if err != nil {
			return nil, err
		}
		r.ExecToReady = append(r.ExecToReady, ready)
		r.ExitIdle = append(r.ExitIdle, idle)
		r.ExitWithRequest = append(r.ExitWithRequest, open)
		r.ExitPassedListener = append(r.ExitPassedListener, passed)
	}
	return r, nil
}

// trial selects which start and stop to measure.
type trial struct {
	passedListener bool // the proxy inherits its listener
	openRequest    bool // a request is in flight when SIGTERM is sent
}

// startStop measures proxies in front of a node.
type startStop struct {
	program []string
	folder  string
	node    *node.Node
}

// measure starts and stops a proxy once. It returns the milliseconds from exec to ready and from SIGTERM to exit.
func (m *startStop) measure(t trial) (ready, exit float64, err error) {
	address, listener, err := reserveListener(t)
	if err != nil {
		return 0, 0, err
	}
	if listener != nil {
		defer listener.Close()
	}
	p, err := m.start(address, listener)
	if err != nil {
		return 0, 0, err
	}
	c, err := dial(address)
	if err != nil {
		return 0, 0, err
	}
	defer c.socket.Close()
	c.socket.SetDeadline(time.Now().Add(processTimeout))
	if t.openRequest {
		before := m.node.Stats().Requests
		fmt.Fprint(c.socket, "mg k v O1 Pc=read,d=2000\r\n")
		for m.node.Stats().Requests == before {
			time.Sleep(time.Millisecond)
		}
	}
	answered := make(chan error, 1)
	go func() { answered <- c.awaitClose(t) }()
	start := time.Now()
	if err := p.end(syscall.SIGTERM); err != nil {
		return 0, 0, err
	}
	if err := <-answered; err != nil {
		return 0, 0, fmt.Errorf("reading the answer to the request in flight at SIGTERM: %w", err)
	}
	return millis(p.readyAt.Sub(p.startedAt)), millis(p.exitedAt.Sub(start)), nil
}

// reserveListener returns a free address and the listener to pass to the proxy; nil if the proxy is to open its own.
func reserveListener(t trial) (address string, listener *os.File, err error) {
	l, err := listenAt(newHost())
	if err != nil {
		return "", nil, err
	}
	defer l.Close()
	if t.passedListener {
		listener, err = l.File()
	}
	return l.Addr().String(), listener, err
}

// start starts a proxy and waits until it is ready.
func (m *startStop) start(address string, listener *os.File) (*process, error) {
	config := filepath.Join(m.folder, "times.toml")
	text := fmt.Sprintf("listen = %q\nnodes.addresses = [%q]\n", address, m.node.Address())
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := startProcess(append(slices.Clone(m.program), config), listener, filepath.Join(m.folder, "times.log"))
	if err != nil {
		return nil, err
	}
	return p, p.awaitReady()
}

// awaitClose acts as a client: it reads the answer to a request in flight, if there is one, and closes the connection
// once the proxy has.
func (c *clientConn) awaitClose(t trial) error {
	defer c.socket.Close()
	var err error
	if t.openRequest {
		_, _, err = c.readAnswer()
	}
	io.Copy(io.Discard, c.reader)
	return err
}

// Print writes the report.
func (r *StartStopReport) Print(out io.Writer) {
	fmt.Fprintf(out, "ms, median (least to most) of %d runs\n", len(r.ExecToReady))
	fmt.Fprintf(out, "exec to ready                                     %s\n", formatSpread(r.ExecToReady))
	fmt.Fprintf(out, "SIGTERM to exit, nothing open                     %s\n", formatSpread(r.ExitIdle))
	fmt.Fprintf(out, "SIGTERM to exit, nothing open, passed listener    %s\n", formatSpread(r.ExitPassedListener))
	fmt.Fprintf(out, "SIGTERM to exit, a read open that takes %.0f ms    %s\n",
		r.OpenRequestMillis, formatSpread(r.ExitWithRequest))
}
