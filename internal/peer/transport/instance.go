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

// Instance is this process among the others of its fleet. It is safe for concurrent use.
type Instance struct {
	fleet    string
	watchers []Watcher
	clock    func() time.Duration
	log      *slog.Logger
	client   *http.Client

	mu      sync.Mutex
	self    peer.Member
	view    *peer.View
	blind   bool
	told    peer.Answer // the last answer that was logged
	changed chan struct{}
}

// NewInstance returns an instance that has heard nothing.
func NewInstance(fleet string, self peer.Member, watchers []Watcher, clock func() time.Duration, log *slog.Logger) *Instance {
	self.Version = rpc.Version
	return &Instance{fleet: fleet, watchers: watchers, clock: clock, log: log, self: self, blind: true,
		client:  &http.Client{Timeout: beatTime, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: rpc.IdleTime}},
		view:    peer.NewView(peer.Usual, len(watchers), clock()),
		changed: make(chan struct{})}
}

// Run beats at all watchers until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, w := range i.watchers {
		tasks.Go(func() { i.beatAt(ctx, w) })
	}
	tick := time.NewTicker(peer.Usual.Pause)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			i.mu.Lock()
			i.note(i.view.Pass(i.clock()))
			i.mu.Unlock()
		}
	}
	tasks.Wait()
	i.client.CloseIdleConnections()
}

func (i *Instance) beatAt(ctx context.Context, w Watcher) {
	var boot, known uint64
	for ctx.Err() == nil {
		i.mu.Lock()
		m := beat{Head: rpc.In(i.fleet), Member: i.self, Boot: boot, Known: known}
		i.mu.Unlock()
		var r report
		err := rpc.Post(ctx, i.client, w.Address, Path, m, &r)
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
			case peer.Taken:
				i.log.Warn("peers: another process has this one's name still", "watcher", w.Name)
			case peer.Full:
				i.log.Warn("peers: the watcher has no room for this process", "watcher", w.Name)
			}
		}
		i.note(i.view.Told(i.clock(), w.Name, r.Whole, r.List))
		i.mu.Unlock()
		if r.Answer != peer.Heard {
			wait(ctx, peer.Usual.Beat) // it was answered at once
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
func (i *Instance) note(changes []peer.Change) {
	if blind, _ := i.view.Blind(); blind != i.blind {
		i.blind = blind
		if blind {
			i.log.Warn("peers: no majority of the watchers is heard; what is known of others may be old")
		} else {
			i.log.Info("peers: a majority of the watchers is heard")
		}
	}
	for _, c := range changes {
		if c.State != c.Was && (c.State == peer.Gone || c.Was == peer.Gone || c.Was == 0) && c.Name != i.self.Name {
			i.log.Info("peers: member", "name", c.Name, "state", c.State, "was", c.Was)
		}
	}
	if len(changes) > 0 {
		close(i.changed)
		i.changed = make(chan struct{})
	}
}

// Leave has this process be known as one that drains: a next one of its name counts from then.
func (i *Instance) Leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.self.Leaving = true
}

// Replaced tells whether another process of this one's name counts since.
func (i *Instance) Replaced() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.told == peer.Replaced
}

// Members are all that are known, whether the knowledge is old, and a channel that is closed with the next change.
func (i *Instance) Members() (list []peer.Seen, blind bool, changed <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Members(), i.blind, i.changed
}
