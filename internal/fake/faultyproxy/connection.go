package faultyproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	upstreamDialTimeout = time.Second
	minUpstreamTimeout  = 100 * time.Millisecond // for a request whose timeout is shorter
)

// serve answers the requests of a client connection.
func (p *Proxy) serve(socket net.Conn) {
	nodes := make(nodeConnections)
	defer func() {
		socket.Close()
		p.mu.Lock()
		delete(p.connections, socket)
		p.mu.Unlock()
		nodes.close()
	}()
	in := bufio.NewReader(socket)
	for p.serveRequest(socket, in, nodes) {
	}
}

// serveRequest answers one request, and reports whether the connection continues.
func (p *Proxy) serveRequest(socket net.Conn, in *bufio.Reader, nodes nodeConnections) bool {
	if _, err := in.Peek(1); err != nil {
		return false
	}
	p.markBusy(socket)
	command, body, err := readRequest(in)
	if err != nil {
		return false
	}
	var answer string
	switch {
	case command.Stats: // the fault test itself sends this request, so the fault does not affect it
		answer = "END\r\n"
	case command.Noop:
		answer = p.applyFault("MN\r\n", &command, body)
	default:
		answer = nodes.exchange(p.chooseNode(command.Key), &command, body)
		answer = p.applyFault(answer, &command, body)
	}
	io.WriteString(socket, answer)
	return p.markIdle(socket)
}

func readRequest(in *bufio.Reader) (command meta.Command, body []byte, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return command, nil, err
	}
	command, err = meta.ParseCommand(strings.TrimSuffix(line, "\r\n"))
	if err != nil || command.Verb != request.Set {
		return command, nil, err
	}
	body = make([]byte, command.ValueLen+len("\r\n"))
	_, err = io.ReadFull(in, body)
	return command, body, err
}

// applyFault returns the answer to send, or "" for none. For DuplicateWrite, it starts to send the write again later.
func (p *Proxy) applyFault(answer string, command *meta.Command, body []byte) string {
	isStored := command.Verb == request.Set && strings.HasPrefix(answer, "HD")
	switch {
	case p.config.Fault == LoseAnswer && p.isDue():
		p.injected.Add(1)
		return ""
	case p.config.Fault == DuplicateWrite && isStored && p.isDue():
		p.injected.Add(1)
		p.tasks.Go(func() { p.repeatAfterWindow(command, body) })
	}
	return answer
}

// repeatAfterWindow sends a write again after the deduplication window has passed: the nodes execute it once more.
func (p *Proxy) repeatAfterWindow(command *meta.Command, body []byte) {
	time.Sleep(p.config.Window + p.config.Window/5)
	nodes := make(nodeConnections)
	defer nodes.close()
	nodes.exchange(p.chooseNode(command.Key), command, body)
}

func (p *Proxy) markBusy(socket net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections[socket] = true
}

// markIdle marks a connection as idle, and returns false if it is to be closed.
func (p *Proxy) markIdle(socket net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections[socket] = false
	return !p.closing
}

// nodeConnections are the connections to nodes, by address, for one client connection.
type nodeConnections map[string]*nodeConnection

type nodeConnection struct {
	socket net.Conn
	in     *bufio.Reader
}

func (n nodeConnections) close() {
	for _, connection := range n {
		connection.socket.Close()
	}
}

// exchange sends a request to a node and returns the answer for the client. A read that fails on a reused connection is
// sent again on a new connection.
func (n nodeConnections) exchange(address string, command *meta.Command, body []byte) string {
	for {
		connection, reused := n[address]
		if !reused {
			socket, err := net.DialTimeout("tcp", address, upstreamDialTimeout)
			if err != nil {
				return "SERVER_ERROR busy\r\n" // the request was not executed
			}
			connection = &nodeConnection{socket, bufio.NewReader(socket)}
			n[address] = connection
		}
		answer, err := connection.exchange(command, body)
		if err == nil {
			return answer
		}
		connection.socket.Close()
		delete(n, address)
		if !reused || command.Verb == request.Set {
			return "SERVER_ERROR failed\r\n"
		}
	}
}

func (c *nodeConnection) exchange(command *meta.Command, body []byte) (answer string, err error) {
	c.socket.SetDeadline(time.Now().Add(max(command.Timeout, minUpstreamTimeout)))
	c.socket.Write(append(meta.NodeDialect{}.AppendHead(nil, &command.Request, command.Timeout), body...))
	answer, err = c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "VA ") {
		return answer, err
	}
	size := 0
	fmt.Sscanf(answer, "VA %d", &size)
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(c.in, value); err != nil {
		return "", err
	}
	return answer + string(value), nil
}
