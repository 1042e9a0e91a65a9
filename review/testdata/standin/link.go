package main

import (
	"bytes"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// link is the network between the proxy and one cache node. While it is cut nothing passes in either direction and open
// connections stay open and silent. What was sent and not delivered is delivered when the link is back, as TCP does by
// sending it again, unless its sender has reset the connection by then, or the cut resets connections at its end.
type link struct {
	rec      *record
	node     *node
	listener net.Listener
	// inspect sees what the proxy sends, before it passes. It may cut the link.
	inspect func(l *link, data []byte)

	mu       sync.Mutex
	cutUntil time.Time
	resets   bool // connections that the present cut has held up are reset at its end
}

func startLink(rec *record, n *node, inspect func(l *link, data []byte)) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{rec: rec, node: n, listener: listener, inspect: inspect}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut makes the link silent for a time. With resets, open connections on which something was sent are reset when the
// link is back.
func (l *link) cut(d time.Duration, resets bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutUntil, l.resets = time.Now().Add(d), resets
	l.rec.note("network: the link to %s falls silent for %v, open connections are reset at its end: %v", l.node.name, d,
		resets)
}

// awaitBack waits until the link is not cut, and reports whether it was, and whether that cut resets connections.
func (l *link) awaitBack() (wasCut, resets bool) {
	for {
		l.mu.Lock()
		wait := time.Until(l.cutUntil)
		if wait > 0 {
			resets = l.resets
		}
		l.mu.Unlock()
		if wait <= 0 {
			return wasCut, resets
		}
		wasCut = true
		time.Sleep(wait)
	}
}

// carry carries one connection. A refused or reset one is reset on the other side too.
func (l *link) carry(client *net.TCPConn) {
	wasCut, _ := l.awaitBack()
	c, err := net.Dial("tcp", l.node.address())
	if wasCut || err != nil { // a connection that was begun during a cut does not come up
		client.SetLinger(0)
		client.Close()
		return
	}
	server := c.(*net.TCPConn)
	go func() {
		l.copy(client, server)
		client.SetLinger(0) // the node has ended the connection or is gone
		client.Close()
	}()
	l.copy(server, client)
	server.Close()
}

func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if l.inspect != nil && from.LocalAddr().String() == l.address() {
				l.inspect(l, bytes.Clone(buffer[:n]))
			}
			wasCut, resets := l.awaitBack()
			switch {
			case wasCut && resets:
				l.rec.note("network: the link to %s is back; an open connection is reset", l.node.name)
				from.SetLinger(0)
				to.SetLinger(0)
				return
			case wasCut && wasReset(from):
				l.rec.note("network: the link to %s is back; the sender had reset the connection, nothing is delivered",
					l.node.name)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.awaitBack() // the end of a connection does not pass either
			return
		}
	}
}

// wasReset reports whether the peer has reset a connection; one that the peer has only closed still delivers.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	const tcpClose = 7
	isReset := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err != nil || info.State == tcpClose
	})
	return isReset
}

// startLinkTo starts a link to an address.
func startLinkTo(rec *record, address string) (*link, error) {
	target, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return startLink(rec, &node{name: "the process at " + address, listener: addressOnly{addr: target}}, nil)
}

// addressOnly is a listener of another process.
type addressOnly struct {
	net.Listener
	addr net.Addr
}

// Addr implements net.Listener.
func (a addressOnly) Addr() net.Addr { return a.addr }
