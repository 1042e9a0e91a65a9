package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// Errors of holders.
var (
	ErrLeaseLost           = errors.New("lease: lost")
	ErrExpiredDuringAction = errors.New("lease: the act outlived the lease")
)

// Client asks the voters of a fleet. It is safe for concurrent use.
type Client struct {
	fleet Fleet
	http  *http.Client

	mu     sync.Mutex
	leader int // that answered last
}

// NewClient returns a client of a fleet.
func NewClient(f Fleet) (*Client, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	return &Client{fleet: f, http: &http.Client{Timeout: rpc.ExchangeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: rpc.IdleTimeout}}}, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ask asks the voter that is taken for the leader, once. Who does not lead says who does; who does not answer
// makes the next one be taken for it.
func (c *Client) ask(ctx context.Context, command lease.Command, number uint64) (Reply, error) {
	c.mu.Lock()
	at := c.leader
	c.mu.Unlock()
	var reply Reply
	err := rpc.Post(ctx, c.http, c.fleet.Voters[at].Address, "/v1/lease", Request{Header: rpc.NewHeader(c.fleet.Name), Command: command, Token: number}, &reply)
	if err != nil || reply.Outcome == lease.NoAnswer {
		next := (at + 1) % len(c.fleet.Voters)
		if n := c.fleet.number(reply.Leader); n > 0 && int(n)-1 != at {
			next = int(n) - 1
		}
		c.mu.Lock()
		c.leader = next
		c.mu.Unlock()
	}
	return reply, err
}

// Execute carries out a command, asking until a voter that can has answered or ctx ends.
func (c *Client) Execute(ctx context.Context, command lease.Command) (Reply, error) {
	for {
		reply, err := c.ask(ctx, command, 0)
		if err == nil && reply.Outcome != lease.NoAnswer {
			if reply.Error != "" {
				err = errors.New(reply.Error)
			}
			return reply, err
		}
		select {
		case <-ctx.Done():
			return Reply{}, errors.Join(errors.New("lease: no voter that can decide has answered"), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// look asks one voter what it knows.
func (c *Client) look(ctx context.Context, p VoterAddress) (s VoterState, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/v1/book", nil)
	if err != nil {
		return s, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(io.LimitReader(response.Body, rpc.MaxBodyBytes)).Decode(&s)
}

// VoterStates asks each voter what it knows; who does not answer is left out.
func (c *Client) VoterStates(ctx context.Context) (list []VoterState) {
	for _, p := range c.fleet.Voters {
		if s, err := c.look(ctx, p); err == nil {
			list = append(list, s)
		}
	}
	return list
}

// Members are the fleet's instances by the majority of the voters that answer until ctx ends, and how many do.
func (c *Client) Members(ctx context.Context) (list []peer.MemberState, heard int) {
	states := make([]VoterState, len(c.fleet.Voters))
	errs := make([]error, len(c.fleet.Voters))
	var tasks sync.WaitGroup
	for i, p := range c.fleet.Voters {
		tasks.Go(func() { states[i], errs[i] = c.look(ctx, p) })
	}
	tasks.Wait()
	for _, err := range errs {
		if err == nil {
			heard++
		}
	}
	view := peer.NewView(peer.DefaultParameters, heard, 0) // of those that answer
	for i, s := range states {
		if errs[i] == nil {
			view.Merge(0, c.fleet.Voters[i].Name, true, s.Members)
		}
	}
	return view.Members(), heard
}

// LeaderState returns what the leader says of all tasks, or what some voter does that knows of no leader.
func (c *Client) LeaderState(ctx context.Context) (best VoterState, err error) {
	for _, p := range c.fleet.Voters {
		s, e := c.look(ctx, p)
		if e != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", p.Name, e))
			continue
		}
		if s.IsLeader {
			return s, nil
		}
		if best.Voter == "" {
			best = s
		}
	}
	if best.Voter == "" {
		return best, errors.Join(errors.New("lease: no voter answers"), err)
	}
	return best, nil
}

// Holder is this process's part in one task. It is safe for concurrent use.
type Holder struct {
	client *Client

	mu      sync.Mutex
	session *lease.Session
	changed chan struct{}
	why     lease.Outcome  // once it is over
	acting  int            // acts under way
	owed    *lease.Command // the grant's end, told once nothing acts under it any more
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// Hold begins to ask for a task, and waits in its queue if wait is set. Close ends it.
func (c *Client) Hold(ctx context.Context, task, name string, length time.Duration, wait bool) (*Holder, error) {
	nonce := uint64(time.Now().UnixNano())
	holder := lease.HolderName(name, os.Getpid(), nonce)
	command := lease.Command{Kind: lease.Acquire, Task: task, Holder: holder, Nonce: nonce, Duration: length}
	if err := lease.DefaultParameters.CheckCommand(&command); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	h := &Holder{client: c, session: lease.NewSession(lease.DefaultParameters, task, holder, nonce, length, wait), changed: make(chan struct{}), stop: stop}
	h.tasks.Go(func() { h.run(ctx) })
	return h, nil
}

// run lets time pass for the session.
func (h *Holder) run(ctx context.Context) {
	for {
		h.mu.Lock()
		h.do(ctx, h.session.Handle(now(), lease.TimerFired{}, nil))
		over := h.session.State(now()) == lease.Finished
		wait := max(h.session.NextWakeup()-now(), time.Millisecond)
		changed := h.changed
		h.mu.Unlock()
		if over {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// do carries out what the session wants. h.mu is held.
func (h *Holder) do(ctx context.Context, actions []lease.SessionAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SendRequest:
			h.tasks.Go(func() {
				reply, err := h.client.ask(ctx, a.Command, a.Token)
				if err != nil {
					reply = Reply{}
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				h.do(ctx, h.session.Handle(now(), lease.Response{Sequence: a.Sequence, Outcome: reply.Outcome, Token: reply.Token}, nil))
				h.tell()
			})
		case lease.SendRelease:
			h.owed = &a.Command
		case lease.Ended:
			h.why = a.Outcome
		}
	}
	h.settle(ctx)
	if len(actions) > 0 {
		h.tell()
	}
}

// settle tells the voters that the grant is over, once no act is under way: whoever waits need not wait for its time
// to run out. h.mu is held.
func (h *Holder) settle(ctx context.Context) {
	if h.owed == nil || h.acting > 0 {
		return
	}
	command := *h.owed
	h.owed = nil
	h.tasks.Go(func() {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), rpc.ExchangeTimeout)
		defer cancel()
		h.client.Execute(last, command) // else it ends by itself
	})
}

// tell wakes those who wait for a change. h.mu is held.
func (h *Holder) tell() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Await waits until the task is held, and returns its number.
func (h *Holder) Await(ctx context.Context) (uint64, error) {
	for {
		h.mu.Lock()
		number, ok := h.session.Valid(now())
		state, why, changed := h.session.State(now()), h.why, h.changed
		h.mu.Unlock()
		switch {
		case ok:
			return number, nil
		case state == lease.Finished && why == lease.Refused:
			return 0, lease.ErrHeld
		case state == lease.Finished:
			return 0, ErrLeaseLost
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-changed:
		}
	}
}

// RunGuarded is the one guard: it acts under the task's number if that holds, and looks again behind. Its context ends when
// the lease does. An act that has outlived it is told so: what it did, it did without leave, and a resource that
// compares numbers has refused it.
func (h *Holder) RunGuarded(ctx context.Context, act func(ctx context.Context, number uint64) error) error {
	h.mu.Lock()
	t := now()
	number, ok := h.session.Valid(t)
	if ok {
		h.acting++
	}
	h.mu.Unlock()
	if !ok {
		return ErrLeaseLost
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := h.Lost(ctx)
	h.tasks.Go(func() {
		<-lost // closed with ctx at the latest
		cancel()
	})
	err := act(ctx, number)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acting--
	h.settle(ctx)
	if now() >= h.session.ValidUntil() { // a grant that was revoked meanwhile is waited for until then
		return errors.Join(err, ErrExpiredDuringAction)
	}
	return err
}

// Lost is closed when the task is not held any more, by this process's own clock.
func (h *Holder) Lost(ctx context.Context) <-chan struct{} { return h.LostBefore(ctx, 0) }

// LostBefore is Lost for who needs a time to stop in: it is closed so long before the end, unless a renewal comes.
func (h *Holder) LostBefore(ctx context.Context, early time.Duration) <-chan struct{} {
	lost := make(chan struct{})
	h.tasks.Go(func() {
		defer close(lost)
		for {
			h.mu.Lock()
			t := now()
			_, ok := h.session.Valid(t)
			left, changed := h.session.ValidUntil()-early-t, h.changed
			h.mu.Unlock()
			if !ok || left <= 0 {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-time.After(left):
			}
		}
	})
	return lost
}

// Abandon ends this process's part without a word: the task is held on until its time is over, or another gives it back.
func (h *Holder) Abandon() {
	h.stop()
	h.tasks.Wait()
}

// Close gives the task back and ends.
func (h *Holder) Close() {
	h.mu.Lock()
	h.do(context.Background(), h.session.Handle(now(), lease.ReleaseRequested{}, nil))
	h.mu.Unlock()
	h.stop()
	h.tasks.Wait()
}
