package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/frontend/binary"
	"mulleinpier/internal/frontend/meta"
	"mulleinpier/internal/overload"
)

const (
	// Connections go on coming for some tenths of a second after SIGTERM.
	acceptTime = 500 * time.Millisecond
	// Connections closed ahead of need: they count until the client closes too.
	headroom = 16
	// After the deadlines of what is open, in a drain that was shortened, it is given up; so much later all clients are cut.
	endTime = 50 * time.Millisecond
	// Idle and stuck clients are looked for so often.
	sweepTime = 50 * time.Millisecond // pause.DefaultLimits.Tick
	// A connection that has idled for less is not closed to make room.
	idleLeast = 100 * time.Millisecond
	// One part in so many of all places is kept for clients that idle.
	idlePart = 8
)

// Server is a proxy at work.
type Server struct {
	core   *core.Core
	binary *binary.Frontend
	config *Config // in force; written by Reload only
	log    *slog.Logger
	most   int // clients
	memory int // bytes at the most

	doors []*door // the main one first
	begun time.Time

	mu       sync.Mutex
	changed  sync.Cond
	clients  map[*frontend.Conn]struct{}
	longest  time.Duration // deadline of any request that may be open
	hurried  bool
	draining bool
	full     *time.Timer // ends the wait for room
	accepted bool        // no more connections are waited for
	told     time.Time   // when the drain was asked for
	late     *time.Timer // ends the drain
}

// door is a listener and what its clients have in common.
type door struct {
	*net.TCPListener
	shared bool // another process holds it too
	host   *frontend.Host
	empty  time.Duration // when nothing waited to be accepted, last; by the core's clock
}

// acceptWait is how long an accept that had to wait took at least: nothing was in the backlog.
const acceptWait = time.Millisecond

// take accepts a connection.
func (d *door) take(clock func() time.Duration) (*net.TCPConn, error) {
	began := clock()
	socket, err := d.AcceptTCP()
	if ended := clock(); ended-began >= acceptWait {
		d.empty = ended
	}
	return socket, err
}

// Listen returns a Server that has its address; Serve puts it to work. With
// a listener it takes that, which another process may hold too, in place of
// opening config.Listen.
func Listen(config *Config, listener *net.TCPListener, log *slog.Logger) (*Server, error) {
	core, err := core.New(&config.Config, log)
	if err != nil {
		return nil, err
	}
	s := &Server{core: core, config: config, log: log, most: config.MaxClients, memory: config.MemoryBytes, clients: make(map[*frontend.Conn]struct{}),
		longest: longestDeadline(&config.Policy)}
	s.changed.L = &s.mu
	s.begun = time.Now()
	s.binary = binary.New(s.stats)
	s.binary.SetRules(config.binaryRules())
	bodies, answers := frontend.NewBudget(config.RequestBudgetBytes), frontend.NewBudget(config.ResponseBudgetBytes)
	open := func(address string, listener *net.TCPListener, session func(*frontend.Host, *frontend.Conn, byte) frontend.Session) error {
		d := &door{TCPListener: listener, shared: listener != nil}
		d.host = &frontend.Host{Core: core, BodyBudget: bodies, AnswerBudget: answers, Stats: s.stats}
		d.host.NewSession = func(c *frontend.Conn, first byte) frontend.Session { return session(d.host, c, first) }
		if !d.shared {
			lc := net.ListenConfig{KeepAlive: -1}
			opened, err := lc.Listen(context.Background(), "tcp", address)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			d.TCPListener = opened.(*net.TCPListener)
		}
		s.doors = append(s.doors, d)
		return nil
	}
	own := config.binaryListen()
	err = open(config.Listen, listener, func(host *frontend.Host, c *frontend.Conn, first byte) frontend.Session {
		if first == codec.RequestMagic && own == "" && s.binary.Enabled() {
			return s.binary.NewSession(host, c, MainListener)
		}
		return meta.NewSession(host, c)
	})
	if err == nil && own != "" {
		err = open(own, nil, func(host *frontend.Host, c *frontend.Conn, _ byte) frontend.Session {
			return s.binary.NewSession(host, c, BinaryListener)
		})
	}
	if err != nil {
		for _, d := range s.doors {
			if !d.shared {
				d.Close()
			}
		}
		return nil, err
	}
	return s, nil
}

// Core is what decides on requests.
func (s *Server) Core() *core.Core { return s.core }

// EndpointListReady is closed once the source has told its list of nodes.
func (s *Server) EndpointListReady() <-chan struct{} { return s.core.ListReceived() }

// CanServe tells whether requests can be served: a node is there, and no drain has begun.
func (s *Server) CanServe() bool {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	return !draining && s.core.HasServingNodes()
}

// Load counts the connections of clients and the requests that are open.
func (s *Server) Load() (clients, open int) {
	s.mu.Lock()
	clients = len(s.clients)
	s.mu.Unlock()
	return clients, s.core.InFlight()
}

// stats are the figures that a client may ask for: those of a kind, or the usual ones for
// "". It returns nil where there is no such kind.
func (s *Server) stats(kind string) []core.Stat {
	switch kind {
	case "":
		clients, open := s.Load()
		return []core.Stat{{Name: "uptime", Value: strconv.Itoa(int(time.Since(s.begun).Seconds()))},
			{Name: "curr_connections", Value: strconv.Itoa(clients)}, {Name: "open_requests", Value: strconv.Itoa(open)},
			{Name: "service_level", Value: strconv.Itoa(int(s.core.OverloadLevel()))}}
	case "service":
		return s.core.OverloadStats()
	}
	return nil
}

// Address returns the address that clients connect to.
func (s *Server) Address() net.Addr { return s.doors[0].Addr() }

// BinaryAddress returns the address of binary clients' own listener, nil for none.
func (s *Server) BinaryAddress() net.Addr {
	if len(s.doors) < 2 {
		return nil
	}
	return s.doors[1].Addr()
}

// ReloadSources takes of a new configuration what the platform changes in service: the
// place of the list. What else differs is named in the log and waits for a
// restart. Calls of it and of Reload must not overlap.
func (s *Server) ReloadSources(next *Config) {
	if changed := s.config.ChangesNeedingRestart(next); len(changed) > 0 {
		s.log.Warn("reload: these wait for a restart", "changed", changed)
	}
	s.log.Info("reloaded", "discovery", next.ListSources[0].String())
	in := *s.config
	in.ListSources = next.ListSources
	s.put(&in)
}

// ErrNeedsRestart is the error of a reload that would change what can't change in service.
var ErrNeedsRestart = errors.New("these cannot change in service")

// Reload puts a new configuration into force: all of it, or nothing and the
// error says why. A request that was taken before ends under the rules that it
// was taken with.
func (s *Server) Reload(next *Config) error {
	now := s.config
	var fixed []string
	for _, x := range []struct {
		name     string
		now, new any
	}{
		{"name", now.Name, next.Name},
		{"listen", now.Listen, next.Listen},
		{"binary.listen", now.binaryListen(), next.binaryListen()},
		{"binary.nodes", strings.Join(now.BinaryNodes.Names, ","), strings.Join(next.BinaryNodes.Names, ",")},
		{"binary.types", strings.Join(now.BinaryNodes.Types, ","), strings.Join(next.BinaryNodes.Types, ",")},
		{"limits.cores", now.Cores, next.Cores},
		{"limits.memory_mb", now.MemoryBytes >> 20, next.MemoryBytes >> 20},
		{"limits.sockets", now.MaxDescriptors, next.MaxDescriptors},
	} {
		if x.now != x.new {
			fixed = append(fixed, fmt.Sprintf("%s (in force %v, asked for %v)", x.name, x.now, x.new))
		}
	}
	if len(fixed) > 0 {
		return fmt.Errorf("%w: %s", ErrNeedsRestart, strings.Join(fixed, ", "))
	}
	if err := s.core.Reconfigure(&next.Config); err != nil {
		return err
	}
	s.mu.Lock()
	// Requests under the old rules may be open for as long as those allow.
	s.longest = max(s.longest, longestDeadline(&next.Policy))
	s.mu.Unlock()
	s.binary.SetRules(next.binaryRules())
	s.put(next)
	return nil
}

// put makes next the configuration in force, and follows its list.
func (s *Server) put(next *Config) {
	moved := !slices.Equal(next.ListSources, s.config.ListSources)
	s.config = next
	if moved {
		s.core.SetListSources(next.ListSources)
	}
}

// Serve works until ctx ends. Then it takes connections for a while yet,
// closes each between requests, and returns when all that was taken is answered.
func (s *Server) Serve(ctx context.Context) {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	tasks.Go(func() { s.core.Run(working) })
	tasks.Go(func() { s.sweep(working) })
	var accepting sync.WaitGroup
	for _, d := range s.doors {
		accepting.Go(func() { s.accept(d) })
	}
	<-ctx.Done()
	s.endAccepting()
	accepting.Wait()
	for _, d := range s.doors {
		if d.shared {
			d.Close() // what the backlog holds is for the other process
		} else {
			s.closeDoor(d)
		}
	}
	s.drain()
	stop()
	tasks.Wait()
}

// endAccepting bounds the time in which connections are taken. Where another
// process holds the listener too, what comes later is for that one.
func (s *Server) endAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.told = true, time.Now()
	// Accept returns what the backlog holds before it heeds a deadline to come.
	for _, d := range s.doors {
		until := time.Now().Add(acceptTime)
		if d.shared || s.hurried {
			until = time.Now()
		}
		d.SetDeadline(until)
	}
	s.full = time.AfterFunc(acceptTime, s.stopWaiting)
	if s.hurried {
		s.full.Reset(0)
	}
}

// stopWaiting ends the wait for room: where all places are taken the drain itself has to begin,
// or there never will be any.
func (s *Server) stopWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = true
	s.changed.Broadcast()
}

// closeDoor takes what the backlog still holds and closes at once: what comes up
// in between is reset with its request, so there must be nothing in between. Some
// microseconds are left; a listener that the service manager holds leaves none.
func (s *Server) closeDoor(d *door) {
	raw, err := d.SyscallConn()
	if err == nil {
		for more := true; more; {
			raw.Control(func(fd uintptr) { more = s.acceptFrom(d, int(fd)) })
		}
	}
	d.Close()
}

// acceptFrom takes a connection from a door's descriptor without waiting for
// one, and tells whether there was one.
func (s *Server) acceptFrom(d *door, fd int) bool {
	accepted, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
	}
	file := os.NewFile(uintptr(accepted), "")
	defer file.Close()
	if socket, err := net.FileConn(file); err == nil {
		s.admit(d, socket.(*net.TCPConn))
	}
	return true
}

// ShortenDrain shortens a drain: no more is taken, and Serve returns when the deadline of
// what is open now has passed, at the latest.
func (s *Server) ShortenDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hurried {
		return
	}
	s.hurried = true
	if s.draining {
		for _, d := range s.doors {
			d.SetDeadline(time.Now())
		}
		s.full.Reset(0)
	}
	for c := range s.clients {
		c.DrainNow()
	}
	if s.late != nil {
		s.late.Reset(s.core.LongestRemaining() + endTime)
	}
}

func (s *Server) accept(d *door) {
	d.empty = s.core.Now()
	for s.makeRoom() {
		socket, err := d.take(s.core.Now)
		switch {
		case err == nil:
			<-s.core.Resumed() // for as long as sends are held, which is bounded
			s.admit(d, socket)
		case endsAccepting(err):
			return
		default: // short of descriptors or buffers: what waits stays in the backlog
			s.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// admit takes a client's connection. It ends with the client, or with drain.
func (s *Server) admit(d *door, socket *net.TCPConn) {
	c := frontend.New(d.host, socket, d.empty)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.Serve()
		s.mu.Lock()
		delete(s.clients, c)
		s.changed.Broadcast()
		s.mu.Unlock()
	}()
}

// endsAccepting tells whether an accept failed because the listener is closed or its deadline has passed. Nothing else does,
// not even a system call's own time-out: Linux hands pending errors of the network out with new connections.
func endsAccepting(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// makeRoom closes the client that has idled longest when descriptors run
// short, and waits while there are none left, but not into a drain; it tells whether there is room: whoever is in the backlog has
// been taken, and must not be accepted only to be dropped. Nor must one that was
// just accepted, whose request may not have been read yet.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) >= s.most-headroom {
		var oldest *frontend.Conn
		since := time.Now().Add(-idleLeast)
		for c := range s.clients {
			if at, idle := c.IdleSince(); idle && at.Before(since) {
				oldest, since = c, at
			}
		}
		if oldest != nil {
			oldest.CloseIdle()
		}
		if len(s.clients) < s.most {
			return true
		}
		if s.accepted {
			return false
		}
		s.changed.Wait()
	}
	return true
}

// sweep closes clients that hold a place for nothing, time and again.
func (s *Server) sweep(ctx context.Context) {
	tick, samples := time.NewTicker(sweepTime), time.NewTicker(core.OverloadSampleInterval)
	defer tick.Stop()
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.core.CheckClocks()
			for _, c := range s.tidy(now) {
				c.Disconnected()
			}
		case <-samples.C:
			s.sample()
		}
	}
}

// sample gives the core the signals that it can't see.
func (s *Server) sample() {
	held := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(held)
	memory := float64(held[0].Value.Uint64()-held[1].Value.Uint64()) / float64(s.memory)
	s.mu.Lock()
	clients := len(s.clients)
	s.mu.Unlock()
	s.core.SampleOverload(memory, float64(clients)/float64(s.most))
}

// tidy closes clients that have idled for long, and gives up those that have
// taken nothing of an answer for longer than any may be waited for. Of those that
// idle for less it keeps a few, the latest: clients that open a connection for each
// request and then hold it would fill the places of all, here or at their own
// end, and makeRoom frees only as many as come. It should cover fronts and
// pools with a limit of their own as well. It costs a connection anew where more
// clients than that come back within frontend.IdleTimeout.
//
// Where handovers go first, half as many idle: a place that is free takes one at once.
//
// It returns those whose readers would not notice that they leave.
func (s *Server) tidy(now time.Time) (stalled []*frontend.Conn) {
	kept := s.most / idlePart
	if s.core.OverloadLevel() >= overload.Handovers {
		kept /= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	type idler struct {
		client *frontend.Conn
		since  time.Time
	}
	var idlers []idler
	woke := s.core.WallTime(s.core.LastPause().End) // nobody was stuck in a stop of ours
	for c := range s.clients {
		if c.ReaderBlocked() {
			stalled = append(stalled, c)
		}
		if at := c.WriteBlockedSince(); !at.IsZero() && now.Sub(woke) > s.longest && now.Sub(at) > s.longest {
			c.Close("takes no answer")
		} else if at, idle := c.IdleSince(); idle && now.Sub(at) > frontend.IdleTimeout {
			c.CloseIdle()
		} else if idle {
			idlers = append(idlers, idler{c, at})
		}
	}
	slices.SortFunc(idlers, func(x, y idler) int { return x.since.Compare(y.since) })
	for i := 0; i < len(idlers)-kept && now.Sub(idlers[i].since) >= idleLeast; i++ {
		idlers[i].client.CloseIdle()
	}
	s.changed.Broadcast() // an idle client may have come up for closing
	return stalled
}

// drainTime is how long what is open is waited for in a drain. The process is killed no sooner than the longest
// deadline and 0.7 s after it was told; where it is held up time and again, both the word and the end of the
// wait may come late by as much. What is taken last has a little less than its time.
func (s *Server) drainTime() time.Duration {
	return time.Until(s.told.Add(acceptTime+s.longest)) - 2*s.core.WorstStall()
}

// drain closes all clients between requests, and waits for those at work.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.Drain(); s.hurried {
			c.DrainNow()
		}
	}
	wait := s.drainTime()
	if s.hurried {
		wait = s.core.LongestRemaining() + endTime
	}
	// What can't be finished by then is answered all the same, and a moment is left to write that.
	cut := time.AfterFunc(time.Hour, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			c.Close("end of the drain")
		}
	})
	defer cut.Stop()
	s.late = time.AfterFunc(wait, func() {
		s.core.AbortAll()
		cut.Reset(endTime)
	})
	defer s.late.Stop()
	for len(s.clients) > 0 {
		s.changed.Wait()
	}
}
