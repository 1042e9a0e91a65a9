package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"mulleinpier/internal/core"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/socket"
)

// timedReader reads a client's socket, and knows how old what it brings may be. It belongs to the
// connection's reader.
type timedReader struct {
	conn      *Conn
	core      *core.Core
	lastRead  pause.ReadTiming // the latest call that brought something
	drainedAt time.Duration    // when all that had come was taken last, zero for never
	// A time in which nothing was read, as too many commands were at work or the connection waited to be accepted.
	unreadInterval pause.Interval
}

// begin takes a connection that may have waited to be accepted since a time.
func (s *timedReader) begin(c *Conn, since time.Duration) {
	s.conn, s.core = c, c.host.Core
	now := s.core.Now()
	s.noteUnread(since)
	s.drainedAt = pause.DrainedAtAccept(now, s.unreadInterval, s.core.LastPause(), s.core.LastStall())
}

// noteUnread notes that nothing was read since a time.
func (s *timedReader) noteUnread(from time.Duration) {
	if to := s.core.Now(); to-from >= pause.MinStall {
		s.unreadInterval = pause.Interval{Start: from, End: to}
	}
}

// Read implements io.Reader.
func (s *timedReader) Read(p []byte) (int, error) {
	for {
		began := s.core.Now()
		n, err := s.conn.socket.Read(p)
		ended := s.core.Now()
		if n == 0 && isTimeout(err) && s.conn.extendAfterPause() {
			continue
		}
		if n > 0 {
			s.lastRead = pause.ReadTiming{DrainedAt: s.drainedAt, Started: began, Ended: ended}
			s.drainedAt = s.lastRead.DrainedAfter(n < len(p), s.core.LastPause(), s.core.LastStall())
		}
		return n, err
	}
}

// CommandArrival is when the last byte of the command just read may have come. It is for sessions, before
// the next is read.
func (c *Conn) CommandArrival() pause.Arrival {
	s := &c.reader
	age := s.core.EstimateArrival(s.lastRead, c.kernelInfo)
	if s.unreadInterval.End > s.lastRead.DrainedAt {
		paused := pause.EstimateArrival(s.lastRead, s.unreadInterval, c.kernelInfo())
		age.Earliest, age.Latest = min(age.Earliest, paused.Earliest), min(age.Latest, paused.Latest)
	}
	return age
}

// kernelInfo asks what the kernel knows of the connection.
func (c *Conn) kernelInfo() (k pause.KernelInfo) {
	info, ok := c.tcpInfo()
	if !ok {
		return k
	}
	return pause.KernelInfo{Known: true, SinceLastByte: time.Duration(info.Last_data_recv) * time.Millisecond,
		SingleCommand: c.In.Buffered() == 0 && !socket.Readable(c.socket)}
}

func (c *Conn) tcpInfo() (info *unix.TCPInfo, ok bool) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, err == nil && info != nil && info.State > 0
}

// extendAfterPause gives the command under way its time anew if a stop of the process took it, and
// tells whether.
func (c *Conn) extendAfterPause() bool {
	gap := c.host.Core.LastPause()
	if gap.End == 0 {
		return false
	}
	woke := c.host.Core.WallTime(gap.End)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.commandDeadline.IsZero() || c.draining || !woke.After(c.commandDeadline.Add(-commandTimeout)) || !c.commandDeadline.Before(woke.Add(commandTimeout)) ||
		time.Since(woke) >= commandTimeout {
		return false
	}
	c.commandDeadline = woke.Add(commandTimeout)
	c.socket.SetReadDeadline(c.commandDeadline)
	return true
}
