package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// HolderOptions say how a holder's process behaves.
type HolderOptions struct {
	CheckerAddress string // of the resource that the lease protects
	HolderID       uint64
	Fleet          agent.Fleet
	Task           string
	ClockDrift     float64          // share by which its clock drifts
	Release        <-chan os.Signal // it releases the task at a signal; nil for by itself, after a while
}

// The times of holders.
const (
	minHoldTime       = 300  // milliseconds
	holdTimeRange     = 1500 // milliseconds
	maxActionTime     = 10   // milliseconds, of each half of an action
	actionTimeout     = 5 * time.Second
	actionDialTimeout = time.Second
)

// RunHolder is a holder's process: over and over it acquires the task, acts at the resource for a while and releases
// the task, until ctx ends.
func RunHolder(ctx context.Context, o HolderOptions) error {
	agent.OverrideTotalSleep(clock.SimulatedSleep(0, 0, o.ClockDrift))
	client, err := agent.NewClient(o.Fleet)
	if err != nil {
		return err
	}
	defer client.Close()
	rng := rand.New(rand.NewPCG(o.HolderID, uint64(os.Getpid())))
	for ctx.Err() == nil {
		holder, err := client.Hold(ctx, o.Task, "holder"+fmt.Sprint(o.HolderID), LeaseDuration, true)
		if err != nil {
			return err
		}
		if _, err := holder.Await(ctx); err == nil {
			o.act(ctx, holder, rng)
		}
		holder.Close()
	}
	return nil
}

// act acts under a lease for a while, or until it is to be released or lost.
func (o *HolderOptions) act(ctx context.Context, holder *agent.Holder, rng *rand.Rand) {
	if o.Release == nil {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, time.Duration(minHoldTime+rng.IntN(holdTimeRange))*time.Millisecond)
		defer end()
	}
	for ctx.Err() == nil && !signaled(o.Release) {
		err := holder.RunGuarded(ctx, func(ctx context.Context, token uint64) error {
			return o.actUnderToken(ctx, token, rng)
		})
		if err != nil {
			return
		}
	}
}

// signaled reports whether a signal has come.
func signaled(c <-chan os.Signal) bool {
	select {
	case <-c: // a nil channel never has one
		return true
	default:
		return false
	}
}

// actUnderToken does one action at the resource.
func (o *HolderOptions) actUnderToken(ctx context.Context, token uint64, rng *rand.Rand) error {
	c, err := net.DialTimeout("tcp", o.CheckerAddress, actionDialTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(actionTimeout))
	in := bufio.NewReader(c)
	for _, verb := range []string{verbBegin, verbEnd} {
		if _, err := fmt.Fprintf(c, "%s %d %d\n", verb, token, o.HolderID); err != nil {
			return err
		}
		answer, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		if answer = strings.TrimSpace(answer); answer != wordAccepted {
			return fmt.Errorf("%s %d: %s", verb, token, answer)
		}
		sleep(ctx, time.Duration(1+rng.IntN(maxActionTime))*time.Millisecond)
	}
	return nil
}

// holderProcess says how a holder's process is started.
type holderProcess struct {
	command []string // the flags and arguments follow
	checker *fencingChecker
	id      int
	task    string
	stays   bool // it releases the task only at a signal
	voters  []agent.VoterAddress
	folder  string
}

// start starts the process. The clocks of even holders run fast, those of odd ones slow.
func (h *holderProcess) start() (*process, error) {
	drift := lease.DefaultParameters.MaxClockDrift
	if h.id%2 == 1 {
		drift = -drift
	}
	argv := append([]string(nil), h.command...)
	argv = append(argv, "--task="+h.task, fmt.Sprintf("--stay=%v", h.stays), fmt.Sprintf("--drift=%v", drift))
	argv = append(argv, h.checker.listener.Addr().String(), fmt.Sprint(h.id), permitFleet)
	for _, v := range h.voters {
		argv = append(argv, v.Name+"="+v.Address)
	}
	return startProcess(argv, nil, filepath.Join(h.folder, fmt.Sprintf("h%d.log", h.id)))
}
