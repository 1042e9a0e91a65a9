package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/readlimit"
)

// executeRetryDelay is the delay between two attempts of Client.Execute.
const executeRetryDelay = 50 * time.Millisecond

// Client sends requests to the voters of a fleet. It is safe for concurrent use.
type Client struct {
	fleet Fleet
	http  *http.Client

	mu     sync.Mutex
	leader int // index in fleet.Voters of the presumed leader
}

// NewClient returns a client of a fleet's voters, or an error if the fleet is invalid.
func NewClient(f Fleet) (*Client, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	return &Client{fleet: f, http: rpc.NewClient(0)}, nil
}

// Close closes the client's idle connections; requests in flight continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send sends a request once, to the presumed leader. If that voter answers NoAnswer and names another voter, that other
// one becomes the presumed leader; if it does not answer or names no other, the next one in the list does.
func (c *Client) send(ctx context.Context, command lease.Command, token uint64) (Reply, error) {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	request := Request{Header: rpc.NewHeader(c.fleet.Name), Command: command, Token: token}
	var reply Reply
	err := rpc.Post(ctx, c.http, c.fleet.Voters[leader].Address, requestPath, request, &reply)
	if err != nil || reply.Outcome == lease.NoAnswer {
		next := (leader + 1) % len(c.fleet.Voters)
		if named := c.fleet.voterIndex(reply.Leader); named >= 0 && named != leader {
			next = named
		}
		c.mu.Lock()
		c.leader = next
		c.mu.Unlock()
	}
	return reply, err
}

// Execute sends a command until a voter has decided on it, or ctx ends. If the command is rejected, the error has the
// text that the voter sent.
func (c *Client) Execute(ctx context.Context, command lease.Command) (Reply, error) {
	for {
		reply, err := c.send(ctx, command, 0)
		if err == nil && reply.Outcome != lease.NoAnswer {
			if reply.Error != "" {
				err = errors.New(reply.Error)
			}
			return reply, err
		}
		select {
		case <-ctx.Done():
			return Reply{}, errors.Join(errors.New("lease: no voter has decided on the command"), err)
		case <-time.After(executeRetryDelay):
		}
	}
}

func (c *Client) fetchState(ctx context.Context, voter VoterAddress) (s VoterState, err error) {
	url := "http://" + voter.Address + statePath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(readlimit.NewReader(response.Body, rpc.MaxBodyBytes)).Decode(&s)
}

// VoterStates returns the state of each voter that answers.
func (c *Client) VoterStates(ctx context.Context) (list []VoterState) {
	for _, voter := range c.fleet.Voters {
		if s, err := c.fetchState(ctx, voter); err == nil {
			list = append(list, s)
		}
	}
	return list
}

// Members asks all voters for the states of the fleet's instances. It merges what the voters report that answer before
// ctx ends, by majority among them, and returns the number of these voters, too.
func (c *Client) Members(ctx context.Context) (list []peer.MemberState, answered int) {
	states := make([]VoterState, len(c.fleet.Voters))
	errs := make([]error, len(c.fleet.Voters))
	var goroutines sync.WaitGroup
	for i, voter := range c.fleet.Voters {
		goroutines.Go(func() { states[i], errs[i] = c.fetchState(ctx, voter) })
	}
	goroutines.Wait()
	for _, err := range errs {
		if err == nil {
			answered++
		}
	}
	view := peer.NewView(peer.DefaultParameters, answered, 0)
	for i, s := range states {
		if errs[i] == nil {
			view.Merge(0, c.fleet.Voters[i].Name, peer.Report{Complete: true, Members: s.Members})
		}
	}
	return view.Members(), answered
}

// LeaderState returns the state of the leader or, if no voter that answers leads, of the first voter that answers.
func (c *Client) LeaderState(ctx context.Context) (VoterState, error) {
	var first VoterState
	var errs error
	for _, voter := range c.fleet.Voters {
		s, err := c.fetchState(ctx, voter)
		if err != nil {
			errs = errors.Join(errs, fmt.Errorf("%s: %w", voter.Name, err))
			continue
		}
		if s.IsLeader {
			return s, nil
		}
		if first.Voter == "" {
			first = s
		}
	}
	if first.Voter == "" {
		return first, errors.Join(errors.New("lease: no voter answers"), errs)
	}
	return first, nil
}
