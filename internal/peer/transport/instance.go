package transport

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// Watcher is where an instance beats.
type Watcher struct{ Name, Address string }

// retryPause is between two beats of which the first failed.
const retryPause = 50 * time.Millisecond

// beatTime bounds one exchange: it is answered a beat's time later as a rule.
const beatTime = 2 * time.Second

// Client is this process among the others of its fleet. It is safe for concurrent use.
type Client struct {
	fleet    string
	watchers []Watcher
	clock    func() time.Duration
	log      *slog.Logger
	client   *http.Client

	mu      sync.Mutex
	self    peer.Member
	view    *peer.View
	blind   bool
	told    peer.HeartbeatResult // the last answer that was logged
	changed chan struct{}
}

// NewClient returns an instance that has heard nothing.
func NewClient(fleet string, self peer.Member, watchers []Watcher, clock func() time.Duration, log *slog.Logger) *Client {
	self.Version = rpc.Version
	return &Client{fleet: fleet, watchers: watchers, clock: clock, log: log, self: self, blind: true,
		client:  &http.Client{Timeout: beatTime, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: rpc.IdleTimeout}},
		view:    peer.NewView(peer.DefaultParameters, len(watchers), clock()),
		changed: make(chan struct{})}
}

// Run beats at all watchers until ctx ends.
func (i *Client) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, w := range i.watchers {
		tasks.Go(func() { i.beatAt(ctx, w) })
	}
	tick := time.NewTicker(peer.DefaultParameters.PauseThreshold)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			i.mu.Lock()
			i.note(i.view.Tick(i.clock()))
			i.mu.Unlock()
		}
	}
	tasks.Wait()
	i.client.CloseIdleConnections()
}

func (i *Client) beatAt(ctx context.Context, w Watcher) {
	var boot, known uint64
	for ctx.Err() == nil {
		i.mu.Lock()
		m := beat{Header: rpc.NewHeader(i.fleet), Member: i.self, Boot: boot, Known: known}
		i.mu.Unlock()
		var r report
		err := rpc.Post(ctx, i.client, w.Address, HeartbeatPath, m, &r)
		if err == nil && !r.Whole && r.Boot != boot {
			err = errors.New("changes of what was never heard")
		}
		if err != nil {
			boot, known = 0, 0
			wait(ctx, retryPause)
			continue
		}
		boot, known = r.Boot, r.Version
		i.mu.Lock()
		if r.Answer != i.told {
			i.told = r.Answer
			switch r.Answer {
			case peer.Replaced:
				i.log.Warn("peers: another process has this one's name since", "watcher", w.Name)
			case peer.NameTaken:
				i.log.Warn("peers: another process has this one's name still", "watcher", w.Name)
			case peer.TooManyMembers:
				i.log.Warn("peers: the watcher has no room for this process", "watcher", w.Name)
			}
		}
		i.note(i.view.Merge(i.clock(), w.Name, r.Whole, r.List))
		i.mu.Unlock()
		if r.Answer != peer.Accepted {
			wait(ctx, peer.DefaultParameters.HeartbeatInterval) // it was answered at once
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// note logs changes, and wakes those who wait for one. i.mu is held.
func (i *Client) note(changes []peer.Change) {
	if blind, _ := i.view.Isolated(); blind != i.blind {
		i.blind = blind
		if blind {
			i.log.Warn("peers: no majority of the watchers is heard; what is known of others may be old")
		} else {
			i.log.Info("peers: a majority of the watchers is heard")
		}
	}
	for _, c := range changes {
		if c.State != c.Previous && (c.State == peer.Gone || c.Previous == peer.Gone || c.Previous == 0) && c.Name != i.self.Name {
			i.log.Info("peers: member", "name", c.Name, "state", c.State, "was", c.Previous)
		}
	}
	if len(changes) > 0 {
		close(i.changed)
		i.changed = make(chan struct{})
	}
}

// MarkLeaving has this process be known as one that drains: a next one of its name counts from then.
func (i *Client) MarkLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.self.Leaving = true
}

// IsReplaced tells whether another process of this one's name counts since.
func (i *Client) IsReplaced() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.told == peer.Replaced
}

// Members are all that are known, whether the knowledge is old, and a channel that is closed with the next change.
func (i *Client) Members() (list []peer.MemberState, blind bool, changed <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Members(), i.blind, i.changed
}
