package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// command is a command as a cache node receives it.
type command struct {
	verb, key, id, class, dedup string
	value                       []byte
	line                        string
}

// readCommand reads one command, with its value.
func readCommand(in *bufio.Reader) (c command, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return c, err
	}
	c.line = strings.TrimRight(line, "\r\n")
	fields := strings.Fields(c.line)
	if len(fields) == 0 {
		return c, fmt.Errorf("empty line")
	}
	c.verb = fields[0]
	if len(fields) > 1 {
		c.key = fields[1]
	}
	for _, flag := range fields[1:] {
		switch flag[0] {
		case 'O':
			c.id = flag[1:]
		case 'P':
			for _, param := range strings.Split(flag[1:], ",") {
				name, value, _ := strings.Cut(param, "=")
				switch name {
				case "c":
					c.class = value
				case "k":
					c.dedup = value
				}
			}
		}
	}
	if c.verb != "ms" {
		return c, nil
	}
	size, err := strconv.Atoi(fields[2])
	if err != nil {
		return c, err
	}
	c.value = make([]byte, size+2)
	_, err = io.ReadFull(in, c.value)
	return c, err
}

// node is a stand-in for one cache node. A command is begun when its last byte has come, several at a time; answers
// come in the order of the commands.
type node struct {
	name     string
	rec      *record
	listener net.Listener
	// answer does the work of a command and returns the answer, "" for none. It is called when the command is begun.
	answer func(n *node, c command) string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startNode(rec *record, name string, answer func(n *node, c command) string) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, rec: rec, listener: l, answer: answer, conns: make(map[net.Conn]bool)}
	go n.accept()
	return n, nil
}

func (n *node) address() string { return n.listener.Addr().String() }

func (n *node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		go n.serve(c)
	}
}

func (n *node) serve(c net.Conn) {
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	previous := make(chan struct{})
	close(previous)
	for {
		cmd, err := readCommand(in)
		if err != nil {
			return
		}
		before, done := previous, make(chan struct{})
		previous = done
		go func() {
			text := n.answer(n, cmd)
			<-before
			if text != "" {
				io.WriteString(c, text)
			}
			close(done)
		}()
	}
}

// crash ends the node as the death of its process does: its connections are reset and new ones are refused.
func (n *node) crash() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// stop ends the node at the end of the case.
func (n *node) stop() { n.crash() }

// value is the answer to a read.
func (n *node) value(c command) string {
	text := "v:" + c.key
	return fmt.Sprintf("VA %d O%s h1 Lqps=40,inflight=2,x1=0\r\n%s\r\n", len(text), c.id, text)
}

// work is how long a cache node takes for a usual request.
const work = 120 * time.Millisecond

// startNodes starts cache nodes, and returns their entries in the list.
func startNodes(rec *record, count int, answer func(n *node, c command) string) (list []endpoint, stop func(), err error) {
	var nodes []*node
	stop = func() {
		for _, n := range nodes {
			n.stop()
		}
	}
	for i := range count {
		n, err := startNode(rec, fmt.Sprintf("s-%d", i), answer)
		if err != nil {
			return nil, stop, err
		}
		nodes = append(nodes, n)
		list = append(list, endpoint{Name: n.name, Address: n.address(), Zone: "budapest", Type: "gyors", Group: 1,
			Status: "up", Weight: 1})
	}
	return list, stop, nil
}
