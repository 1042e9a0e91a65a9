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
	read  pause.ReadTiming // the latest call that brought something
	clean time.Duration    // when all that had come was taken last, zero for never
	// A time in which nothing was read, as too many commands were at work or the connection waited to be accepted.
	pause pause.Interval
}

// begin takes a connection that may have waited to be accepted since a time.
func (s *source) begin(c *Conn, since time.Duration) {
	s.conn, s.core = c, c.host.Core
	now := s.core.Now()
	s.paused(since)
	s.clean = pause.DrainedAtAccept(now, s.pause, s.core.LastPause(), s.core.LastStall())
}

// paused notes that nothing was read since a time.
func (s *source) paused(from time.Duration) {
	if to := s.core.Now(); to-from >= pause.MinStall {
		s.pause = pause.Interval{Start: from, End: to}
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
			s.read = pause.ReadTiming{DrainedAt: s.clean, Started: began, Ended: ended}
			s.clean = s.read.DrainedAfter(n < len(p), s.core.LastPause(), s.core.LastStall())
		}
		return n, err
	}
}

// CommandArrival is when the last byte of the command just read may have come. It is for sessions, before
// the next is read.
func (c *Conn) CommandArrival() pause.Arrival {
	s := &c.source
	age := s.core.EstimateArrival(s.read, c.kernel)
	if s.pause.End > s.read.DrainedAt {
		paused := pause.EstimateArrival(s.read, s.pause, c.kernel())
		age.Earliest, age.Latest = min(age.Earliest, paused.Earliest), min(age.Latest, paused.Latest)
	}
	return age
}

// kernel asks what the kernel knows of the connection.
func (c *Conn) kernel() (k pause.KernelInfo) {
	info, ok := c.info()
	if !ok {
		return k
	}
	return pause.KernelInfo{Known: true, SinceLastByte: time.Duration(info.Last_data_recv) * time.Millisecond,
		SingleCommand: c.In.Buffered() == 0 && !socket.Readable(c.socket)}
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
	gap := c.host.Core.LastPause()
	if gap.End == 0 {
		return false
	}
	woke := c.host.Core.WallTime(gap.End)
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
