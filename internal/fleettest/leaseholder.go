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
	"mulleinpier/internal/delay"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// HolderOptions configures RunHolder.
type HolderOptions struct {
	CheckerAddress string // address of the resource that the lease protects, a fencing checker
	HolderID       uint64
	Fleet          agent.Fleet
	Task           string
	ClockDrift     float64          // fraction by which the holder's clock runs fast; negative for a slow clock
	Release        <-chan os.Signal // the holder releases the task at a signal; nil to release it after a random time
}

// How long holders act, and the timeouts of their actions.
const (
	minHoldTime       = 300  // milliseconds
	holdTimeRange     = 1500 // milliseconds
	maxActionTime     = 10   // milliseconds, after each half of an action
	actionTimeout     = 5 * time.Second
	actionDialTimeout = time.Second
)

// RunHolder runs a holder until ctx ends: it repeatedly acquires the task, acts on the resource until the task is to be
// released, and releases it.
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

// act acts under a lease until an action fails or the task is to be released: at a signal from Release or, if Release
// is nil, after a random time.
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

// signaled reports whether a signal has arrived; false for a nil channel.
func signaled(c <-chan os.Signal) bool {
	select {
	case <-c: // blocks for a nil channel
		return true
	default:
		return false
	}
}

// actUnderToken performs one action on the resource: it announces the beginning and the end, and sleeps after each.
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
		delay.Wait(ctx, time.Duration(1+rng.IntN(maxActionTime))*time.Millisecond)
	}
	return nil
}

// holderProcess describes how to start a holder's process.
type holderProcess struct {
	command     []string // the flags and arguments are appended
	checker     *fencingChecker
	id          int
	task        string
	untilSignal bool // the holder keeps the task until a signal
	voters      []agent.VoterAddress
	folder      string
}

// start starts the process. The clocks of holders with even ids run fast, those with odd ids slow.
func (h *holderProcess) start() (*process, error) {
	drift := lease.DefaultParameters.MaxClockDrift
	if h.id%2 == 1 {
		drift = -drift
	}
	argv := append([]string(nil), h.command...)
	argv = append(argv, "--task="+h.task, fmt.Sprintf("--stay=%v", h.untilSignal), fmt.Sprintf("--drift=%v", drift))
	argv = append(argv, h.checker.listener.Addr().String(), fmt.Sprint(h.id), permitFleet)
	for _, v := range h.voters {
		argv = append(argv, v.Name+"="+v.Address)
	}
	return startProcess(argv, nil, filepath.Join(h.folder, fmt.Sprintf("h%d.log", h.id)))
}
