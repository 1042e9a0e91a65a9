package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"mulleinpier/internal/core"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/socket"
)

// source reads a client's socket, and knows how old what it brings may be. It belongs to the
// connection's reader.
type source struct {
	conn  *Conn
	core  *core.Core
	read  pause.Read    // the latest call that brought something
	clean time.Duration // when all that had come was taken last, zero for never
	// A time in which nothing was read, as too many commands were at work or the connection waited to be accepted.
	pause pause.Gap
}

// begin takes a connection that may have waited to be accepted since a time.
func (s *source) begin(c *Conn, since time.Duration) {
	s.conn, s.core = c, c.host.Core
	now := s.core.Now()
	s.paused(since)
	s.clean = pause.CleanAtAccept(now, s.pause, s.core.Gap(), s.core.Pause())
}

// paused notes that nothing was read since a time.
func (s *source) paused(from time.Duration) {
	if to := s.core.Now(); to-from >= pause.LeastPause {
		s.pause = pause.Gap{From: from, To: to}
	}
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	for {
		began := s.core.Now()
		n, err := s.conn.socket.Read(p)
		ended := s.core.Now()
		if n == 0 && isTimeout(err) && s.conn.stoodWithin() {
			continue
		}
		if n > 0 {
			s.read = pause.Read{Clean: s.clean, Began: began, Ended: ended}
			s.clean = s.read.CleanAfter(n < len(p), s.core.Gap(), s.core.Pause())
		}
		return n, err
	}
}

// Age is when the last byte of the command just read may have come. It is for sessions, before
// the next is read.
func (c *Conn) Age() pause.Age {
	s := &c.source
	age := s.core.Age(s.read, c.kernel)
	if s.pause.To > s.read.Clean {
		paused := pause.AgeOf(s.read, s.pause, c.kernel())
		age.Oldest, age.Latest = min(age.Oldest, paused.Oldest), min(age.Latest, paused.Latest)
	}
	return age
}

// kernel asks what the kernel knows of the connection.
func (c *Conn) kernel() (k pause.Kernel) {
	info, ok := c.info()
	if !ok {
		return k
	}
	return pause.Kernel{Known: true, Age: time.Duration(info.Last_data_recv) * time.Millisecond,
		Alone: c.In.Buffered() == 0 && !socket.Pending(c.socket)}
}

func (c *Conn) info() (info *unix.TCPInfo, ok bool) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, err == nil && info != nil && info.State > 0
}

// stoodWithin gives the command under way its time anew if a stop of the process took it, and
// tells whether.
func (c *Conn) stoodWithin() bool {
	gap := c.host.Core.Gap()
	if gap.To == 0 {
		return false
	}
	woke := c.host.Core.At(gap.To)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit.IsZero() || c.ending || !woke.After(c.limit.Add(-commandTime)) || !c.limit.Before(woke.Add(commandTime)) ||
		time.Since(woke) >= commandTime {
		return false
	}
	c.limit = woke.Add(commandTime)
	c.socket.SetReadDeadline(c.limit)
	return true
}
