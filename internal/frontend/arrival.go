package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"mulleinpier/internal/core"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/socket"
)

// timedReader reads a client's socket, and records the times needed to estimate when the bytes arrived. Only the
// connection's reader goroutine uses it. Times are by the core's clock.
type timedReader struct {
	conn          *Conn
	core          *core.Core
	lastRead      pause.ReadTiming // of the latest Read that returned bytes
	bufferEmptyAt time.Duration    // when the receive buffer was last known to be empty, zero for never
	// unreadInterval is the latest interval in which nothing was read because too many commands were in flight, or
	// because the connection waited to be accepted.
	unreadInterval pause.Interval
}

// init prepares the reader for a connection that may have waited to be accepted since waitedSince.
func (r *timedReader) init(c *Conn, waitedSince time.Duration) {
	r.conn, r.core = c, c.host.Core
	now := r.core.Now()
	r.noteUnread(waitedSince)
	r.bufferEmptyAt = pause.DrainedAtAccept(now, r.unreadInterval, r.core.LastPause(), r.core.LastStall())
}

// noteUnread records that nothing was read from start until now, unless that is shorter than a stall.
func (r *timedReader) noteUnread(start time.Duration) {
	if end := r.core.Now(); end-start >= pause.MinStall {
		r.unreadInterval = pause.Interval{Start: start, End: end}
	}
}

// Read implements io.Reader. If it times out because the process was paused, it extends the command's deadline and
// continues. After [Conn.EndReading] it returns errReadingEnded.
func (r *timedReader) Read(p []byte) (int, error) {
	for {
		started := r.core.Now()
		n, err := r.conn.socket.Read(p)
		ended := r.core.Now()
		if n == 0 && socket.IsTimeout(err) {
			switch {
			case r.conn.hasReadingEnded():
				return 0, errReadingEnded
			case r.conn.extendAfterPause():
				continue
			}
		}
		if n > 0 {
			r.lastRead = pause.ReadTiming{DrainedAt: r.bufferEmptyAt, Started: started, Ended: ended}
			r.bufferEmptyAt = r.lastRead.DrainedAfter(n < len(p), r.core.LastPause(), r.core.LastStall())
		}
		return n, err
	}
}

// CommandArrival estimates when the last byte of the command that was just read arrived. Sessions call it before they
// read the next command.
func (c *Conn) CommandArrival() pause.Arrival {
	r := &c.reader
	arrival := r.core.EstimateArrival(r.lastRead, c.kernelInfo)
	if r.unreadInterval.End > r.lastRead.DrainedAt {
		unread := pause.EstimateArrival(r.lastRead, r.unreadInterval, c.kernelInfo())
		arrival.Earliest = min(arrival.Earliest, unread.Earliest)
		arrival.Latest = min(arrival.Latest, unread.Latest)
	}
	return arrival
}

// kernelInfo returns the kernel's information on when bytes last arrived.
func (c *Conn) kernelInfo() pause.KernelInfo {
	info, ok := c.tcpInfo()
	if !ok {
		return pause.KernelInfo{}
	}
	return pause.KernelInfo{
		Known:         true,
		SinceLastByte: time.Duration(info.Last_data_recv) * time.Millisecond,
		SingleCommand: c.In.Buffered() == 0 && !socket.Readable(c.socket),
	}
}

func (c *Conn) tcpInfo() (info *unix.TCPInfo, ok bool) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && info != nil && info.State > 0
}

// extendAfterPause restarts commandTimeout for the command that is being read if the process resumed from a pause
// since the command began, and reports whether it did. It does not extend commands of draining connections.
func (c *Conn) extendAfterPause() bool {
	lastPause := c.host.Core.LastPause()
	if lastPause.End == 0 {
		return false
	}
	resumedAt := c.host.Core.WallTime(lastPause.End)
	extended := resumedAt.Add(commandTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.commandDeadline.IsZero() || c.draining {
		return false
	}
	commandStart := c.commandDeadline.Add(-commandTimeout)
	pausedWithin := resumedAt.After(commandStart) && c.commandDeadline.Before(extended)
	if !pausedWithin || time.Since(resumedAt) >= commandTimeout {
		return false
	}
	c.commandDeadline = extended
	c.socket.SetReadDeadline(extended)
	return true
}
