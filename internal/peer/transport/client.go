package transport

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

const (
	// retryDelay is the delay after a failed heartbeat.
	retryDelay = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange. The watcher normally responds within a heartbeat interval.
	exchangeTimeout = 2 * time.Second
	// maxConnections bounds the connections to each of the watchers.
	maxConnections = 2
)

// errIncompleteReport means that a watcher reported changes to a list that this process has not received.
var errIncompleteReport = errors.New("report has only changes to a list that was not received")

// Watcher is the name and address of a watcher.
type Watcher struct {
	Name    string
	Address string // HOST:PORT
}

// Client sends this process's heartbeats to all watchers and receives their reports. It is safe for concurrent use.
type Client struct {
	fleet    string
	watchers []Watcher
	clock    func() time.Duration
	log      *slog.Logger
	http     *http.Client

	mu         sync.Mutex
	self       peer.Member
	view       *peer.View
	isolated   bool                 // the state that was last logged
	lastResult peer.HeartbeatResult // in the latest report of any watcher
	changed    chan struct{}        // closed on the next change of the view
}

// NewClient returns a client that is isolated and knows no members until [Client.Run] is called.
func NewClient(
	fleet string, self peer.Member, watchers []Watcher, clock func() time.Duration, log *slog.Logger,
) *Client {
	self.Version = rpc.Version
	return &Client{
		fleet:    fleet,
		watchers: watchers,
		clock:    clock,
		log:      log,
		http: &http.Client{
			Timeout: exchangeTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				MaxConnsPerHost:     maxConnections,
				IdleConnTimeout:     rpc.IdleTimeout,
			},
		},
		self:     self,
		view:     peer.NewView(peer.DefaultParameters, len(watchers), clock()),
		isolated: true,
		changed:  make(chan struct{}),
	}
}

// Run sends heartbeats to all watchers until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, w := range c.watchers {
		tasks.Go(func() { c.sendHeartbeats(ctx, w) })
	}
	ticker := time.NewTicker(peer.DefaultParameters.PauseThreshold)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.mu.Lock()
			c.publish(c.view.Tick(c.clock()))
			c.mu.Unlock()
		}
	}
	tasks.Wait()
	c.http.CloseIdleConnections()
}

// sendHeartbeats sends heartbeats to one watcher, each after the response to the previous one.
func (c *Client) sendHeartbeats(ctx context.Context, w Watcher) {
	var known reportID // 0 for none
	for ctx.Err() == nil {
		r, err := c.exchange(ctx, w, known)
		if err != nil {
			known = reportID{}
			delay.Wait(ctx, retryDelay)
			continue
		}
		known = reportID{r.ServerIncarnation, r.Version}
		c.merge(w, r)
		if r.Result != peer.Accepted {
			// The watcher responds to a rejected heartbeat at once.
			delay.Wait(ctx, peer.DefaultParameters.HeartbeatInterval)
		}
	}
}

// reportID identifies a report of a watcher.
type reportID struct{ serverIncarnation, version uint64 }

// exchange sends one heartbeat and returns the watcher's report.
func (c *Client) exchange(ctx context.Context, w Watcher, known reportID) (*report, error) {
	c.mu.Lock()
	m := heartbeat{
		Header:            rpc.NewHeader(c.fleet),
		Member:            c.self,
		ServerIncarnation: known.serverIncarnation,
		KnownVersion:      known.version,
	}
	c.mu.Unlock()
	var r report
	if err := rpc.Post(ctx, c.http, w.Address, HeartbeatPath, m, &r); err != nil {
		return nil, err
	}
	if !r.Complete && r.ServerIncarnation != known.serverIncarnation {
		return nil, errIncompleteReport
	}
	return &r, nil
}

// merge merges a watcher's report into the view.
func (c *Client) merge(w Watcher, r *report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Result != c.lastResult {
		c.lastResult = r.Result
		if r.Result != peer.Accepted {
			c.log.Warn("heartbeat rejected", "watcher", w.Name, "reason", r.Result.String())
		}
	}
	c.publish(c.view.Merge(c.clock(), w.Name, peer.Report{Complete: r.Complete, Members: r.Members}))
}

// publish logs changes of the members and of the isolation, and wakes the callers of Members that wait for one. c.mu is
// held.
func (c *Client) publish(changes []peer.Change) {
	isolationChanged := c.updateIsolated()
	for _, change := range changes {
		if change.Name != c.self.Name && isArrivalOrEnd(change) {
			c.log.Info("member state changed",
				"member", change.Name, "state", change.State, "previous", change.Previous)
		}
	}
	if isolationChanged || len(changes) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// updateIsolated logs whether this instance became isolated or no longer is, and reports whether that changed. c.mu is
// held.
func (c *Client) updateIsolated() (changed bool) {
	isolated, _ := c.view.Isolated()
	if isolated == c.isolated {
		return false
	}
	c.isolated = isolated
	if isolated { // the list of members may be outdated
		c.log.Warn("watcher majority lost")
	} else {
		c.log.Info("watcher majority reached")
	}
	return true
}

// isArrivalOrEnd reports whether a member is new, has become gone, or has come back.
func isArrivalOrEnd(c peer.Change) bool {
	return c.State != c.Previous && (c.State == peer.Gone || c.Previous == peer.Gone || c.Previous == 0)
}

// MarkLeaving announces, from the next heartbeat on, that this process is draining. Another process with its name may
// then replace it.
func (c *Client) MarkLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self.Leaving = true
}

// IsReplaced reports whether another process with this one's name has replaced it, according to the latest report.
func (c *Client) IsReplaced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResult == peer.Replaced
}

// Members returns all known members, whether the list may be outdated, and a channel that is closed when one of
// them changes.
func (c *Client) Members() (list []peer.MemberState, isolated bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Members(), c.isolated, c.changed
}
