package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// Connections go on coming for some tenths of a second after SIGTERM.
	acceptTime = 500 * time.Millisecond
	// Connections closed ahead of need: they count until the client closes too.
	headroom = 16
	// Idle and stuck clients are looked for so often.
	sweepTime = 50 * time.Millisecond
	// A connection that has idled for less is not closed to make room.
	idleLeast = 100 * time.Millisecond
	// One part in so many of all places is kept for clients that idle.
	idlePart = 8
)

// Server is a proxy at work.
type Server struct {
	core    *Core
	config  *Config // in force; written by Reload only
	log     *slog.Logger
	most    int     // clients
	bodies  *budget // of writes being read or held
	answers *budget // of values that clients have yet to take

	listener *net.TCPListener
	longest  time.Duration // deadline

	mu      sync.Mutex
	changed sync.Cond
	clients map[*client]struct{}
}

// Listen returns a Server that has its address; Serve puts it to work.
func Listen(config *Config, log *slog.Logger) (*Server, error) {
	core, err := newCore(config, log)
	if err != nil {
		return nil, err
	}
	s := &Server{core: core, config: config, log: log, most: config.Clients, bodies: newBudget(config.BodyBytes),
		answers: newBudget(config.AnswerBytes), clients: make(map[*client]struct{})}
	s.changed.L = &s.mu
	for _, class := range config.Policy.Classes {
		s.longest = max(s.longest, class.Deadline)
	}
	lc := net.ListenConfig{KeepAlive: -1}
	listener, err := lc.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.listener = listener.(*net.TCPListener)
	return s, nil
}

// Address returns the address that clients connect to.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Reload puts a new configuration into force as far as that goes in service:
// discovery's address. What else differs is named in the log and waits for a
// restart. Calls must not overlap.
func (s *Server) Reload(next *Config) {
	if changed := s.config.fixed(next); len(changed) > 0 {
		s.log.Warn("reload: these wait for a restart", "changed", changed)
	}
	s.log.Info("reloaded", "discovery", next.Discovery)
	if next.Discovery != s.config.Discovery {
		in := *s.config
		in.Discovery = next.Discovery
		s.config = &in
		s.core.move(in.Discovery)
	}
}

// Serve works until ctx ends. Then it takes connections for a while yet,
// closes each between requests, and returns when all that was taken is answered.
func (s *Server) Serve(ctx context.Context) {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	tasks.Go(func() { s.core.run(working) })
	tasks.Go(func() { s.sweep(working) })
	var accepting sync.WaitGroup
	accepting.Go(func() { s.accept() })
	<-ctx.Done()
	// Accept returns what the backlog holds before it heeds a deadline to come.
	s.listener.SetDeadline(time.Now().Add(acceptTime))
	accepting.Wait()
	s.listener.Close()
	s.drain()
	stop()
	tasks.Wait()
}

func (s *Server) accept() {
	for {
		s.makeRoom()
		socket, err := s.listener.AcceptTCP()
		switch {
		case err == nil:
			c := newClient(s, socket)
			s.mu.Lock()
			s.clients[c] = struct{}{}
			s.mu.Unlock()
			go func() {
				c.serve()
				s.mu.Lock()
				delete(s.clients, c)
				s.changed.Broadcast()
				s.mu.Unlock()
			}()
		case errors.Is(err, net.ErrClosed) || isTimeout(err):
			return
		default: // short of descriptors or buffers: what waits stays in the backlog
			s.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// makeRoom closes the client that has idled longest when descriptors run
// short, and waits while there are none left: whoever is in the backlog has
// been taken, and must not be accepted only to be dropped. Nor must one that was
// just accepted, whose request may not have been read yet.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) >= s.most-headroom {
		var oldest *client
		since := time.Now().Add(-idleLeast)
		for c := range s.clients {
			if at, idle := c.idleSince(); idle && at.Before(since) {
				oldest, since = c, at
			}
		}
		if oldest != nil {
			oldest.closeIdle()
		}
		if len(s.clients) < s.most {
			return
		}
		s.changed.Wait()
	}
}

// sweep closes clients that hold a place for nothing, time and again.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.tidy(now)
		}
	}
}

// tidy closes clients that have idled for long, and gives up those that have
// taken nothing of an answer for longer than any may be waited for. Of those that
// idle for less it keeps a few, the latest: clients that open a connection for each
// request and then hold it would fill the places of all, here or at their own
// end, and makeRoom frees only as many as come. It should cover fronts and
// pools with a limit of their own as well. It costs a connection anew where more
// clients than that come back within idleTime.
func (s *Server) tidy(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type idler struct {
		client *client
		since  time.Time
	}
	var idlers []idler
	for c := range s.clients {
		if at := c.stuckSince(); !at.IsZero() && now.Sub(at) > s.longest {
			c.socket.Close()
		} else if at, idle := c.idleSince(); idle && now.Sub(at) > idleTime {
			c.closeIdle()
		} else if idle {
			idlers = append(idlers, idler{c, at})
		}
	}
	slices.SortFunc(idlers, func(x, y idler) int { return x.since.Compare(y.since) })
	for i := 0; i < len(idlers)-s.most/idlePart && now.Sub(idlers[i].since) >= idleLeast; i++ {
		idlers[i].client.closeIdle()
	}
	s.changed.Broadcast() // an idle client may have come up for closing
}

// drain closes all clients between requests, and waits for those at work.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.end()
	}
	late := time.AfterFunc(s.longest+lingerTime/3, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			c.socket.Close()
		}
	})
	defer late.Stop()
	for len(s.clients) > 0 {
		s.changed.Wait()
	}
}
