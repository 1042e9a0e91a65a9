package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/delay"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/store"
)

const (
	// voterRetryInterval is the delay before the voter is started again while another process, such as a predecessor
	// that still drains, uses its file or its address.
	voterRetryInterval = 100 * time.Millisecond
	// voterStopTimeout bounds the wait for a voter whose file is being opened, which a disk can delay without limit.
	voterStopTimeout = 200 * time.Millisecond
)

// startVoter starts this process's voter, which votes on the leases of the fleet, if one is configured, and returns a
// function that stops it. The voter is opened in the background, so that the proxy serves meanwhile. A failure is
// logged, and the proxy keeps serving, as no request waits for a voter.
func startVoter(c *config.Peers, log *slog.Logger) (stop func()) {
	if c == nil || c.VoterName == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	opened := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		voter, listener, err := awaitVoter(ctx, c, log)
		close(opened)
		switch {
		case err != nil && ctx.Err() == nil:
			log.Error("voter start failed", "error", err)
		case err == nil:
			voter.Run(ctx, listener)
		}
	})
	return func() {
		cancel()
		select {
		case <-opened:
			task.Wait()
		case <-time.After(voterStopTimeout): // a voter that is not open yet owes nothing
		}
	}
}

// awaitVoter opens the voter. While another process uses its file or its address, it retries until ctx is done.
func awaitVoter(ctx context.Context, c *config.Peers, log *slog.Logger) (*agent.Voter, net.Listener, error) {
	waiting := false
	for {
		voter, listener, err := openVoter(c, log)
		inUse := errors.Is(err, store.ErrLocked) || errors.Is(err, syscall.EADDRINUSE)
		if !inUse || ctx.Err() != nil {
			return voter, listener, err
		}
		if !waiting {
			waiting = true
			log.Warn("voter start delayed", "error", err)
		}
		delay.Wait(ctx, voterRetryInterval)
	}
}

// openVoter opens the voter's stored state and listens at its address.
func openVoter(c *config.Peers, log *slog.Logger) (*agent.Voter, net.Listener, error) {
	voter, err := agent.Open(c.StatePath, c.Fleet, c.VoterName, log)
	if err != nil {
		return nil, nil, err
	}
	address := ""
	for _, peer := range c.Fleet.Voters {
		if peer.Name == c.VoterName {
			address = peer.Address
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		voter.Close()
		return nil, nil, err
	}
	return voter, listener, nil
}
