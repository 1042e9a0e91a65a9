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

// StartStopReport is how long a proxy takes to start and to stop, in milliseconds, a figure for each run.
type StartStopReport struct {
	ExecToReady     []float64 `json:"exec_to_ready_ms"`
	ExitIdle        []float64 `json:"sigterm_to_exit_idle_ms"`
	ExitWithRequest []float64 `json:"sigterm_to_exit_open_ms"`
	// With a listener that was passed in there is no time to wait for the backlog.
	ExitPassedListener []float64 `json:"sigterm_to_exit_idle_passed_ms"`
	OpenRequestMillis  float64   `json:"open_request_takes_ms"`
}

func listenAt(host string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// MeasureStartStop measures so many starts and stops of each kind.
func MeasureStartStop(program []string, folder string, runs int) (*StartStopReport, error) {
	const work = 800 * time.Millisecond
	center := origin.New(origin.Config{Slots: 4, Queue: 4})
	defer center.Close()
	n, err := node.Start(node.Config{Name: "n0", ServiceTime: work, Origin: center, Group: node.NewGroup(time.Second)})
	if err != nil {
		return nil, err
	}
	defer n.Close()
	r := &StartStopReport{OpenRequestMillis: millis(work)}
	one := func(passed, open bool) (ready, exit float64, err error) {
		l, err := listenAt(newHost())
		if err != nil {
			return 0, 0, err
		}
		address := l.Addr().String()
		var file *os.File
		if passed {
			if file, err = l.File(); err != nil {
				return 0, 0, err
			}
			defer file.Close()
		}
		l.Close()
		config := filepath.Join(folder, "times.toml")
		text := fmt.Sprintf("listen = %q\nnodes.addresses = [%q]\n", address, n.Address())
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return 0, 0, err
		}
		p, err := startProcess(append(slices.Clone(program), config), file, filepath.Join(folder, "times.log"))
		if err != nil {
			return 0, 0, err
		}
		if err := p.awaitReady(); err != nil {
			return 0, 0, err
		}
		k, err := dial(address)
		if err != nil {
			return 0, 0, err
		}
		defer k.socket.Close()
		k.socket.SetDeadline(time.Now().Add(processTimeout))
		if open {
			before := n.Stats().Requests
			fmt.Fprint(k.socket, "mg k v O1 Pc=read,d=2000\r\n")
			for n.Stats().Requests == before {
				time.Sleep(time.Millisecond)
			}
		}
		answered := make(chan error, 1)
		go func() { // as clients do: take the answer, and close once the other end has
			defer k.socket.Close()
			var err error
			if open {
				_, _, err = k.readAnswer()
			}
			io.Copy(io.Discard, k.reader)
			answered <- err
		}()
		begun := time.Now()
		if err := p.end(syscall.SIGTERM); err != nil {
			return 0, 0, err
		}
		if err := <-answered; err != nil {
			return 0, 0, fmt.Errorf("the open request was not answered: %w", err)
		}
		return millis(p.readyAt.Sub(p.startedAt)), millis(p.exitedAt.Sub(begun)), nil
	}
	for range runs {
		ready, idle, err := one(false, false)
		if err != nil {
			return nil, err
		}
		_, open, err := one(false, true)
		if err != nil {
			return nil, err
		}
		_, passed, err := one(true, false)
		if err != nil {
			return nil, err
		}
		r.ExecToReady, r.ExitIdle = append(r.ExecToReady, ready), append(r.ExitIdle, idle)
		r.ExitWithRequest, r.ExitPassedListener = append(r.ExitWithRequest, open), append(r.ExitPassedListener, passed)
	}
	return r, nil
}

// Print writes the report.
func (r *StartStopReport) Print(out io.Writer) {
	fmt.Fprintf(out, "ms, median (least to most) of %d runs\n", len(r.ExecToReady))
	fmt.Fprintf(out, "exec to ready                                     %s\n", spread(r.ExecToReady))
	fmt.Fprintf(out, "SIGTERM to exit, nothing open                     %s\n", spread(r.ExitIdle))
	fmt.Fprintf(out, "SIGTERM to exit, nothing open, passed listener    %s\n", spread(r.ExitPassedListener))
	fmt.Fprintf(out, "SIGTERM to exit, a read open that takes %.0f ms    %s\n",
		r.OpenRequestMillis, spread(r.ExitWithRequest))
}
