package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	pipelined  = 80                      // commands that the client sends at once
	beforeTerm = 50 * time.Millisecond   // from then to SIGTERM
	slowRead   = 900 * time.Millisecond  // how long the cache node takes for the first of them
	clientHas  = 1100 * time.Millisecond // how long the client waits for each answer (d): 55% of the class's limit of 2 s
	// killAfter is how long the platform waits at least after SIGTERM: the longest deadline and 0.7 s.
	killAfter = 3200 * time.Millisecond
	// grace is how long after its time a request may still get its answer.
	grace = 500 * time.Millisecond
	// crossing is the longest time that a command may be on its way when the close of its connection is sent: one that
	// was written longer before the close was seen can't have crossed it on loopback.
	crossing = 250 * time.Millisecond
)

func init() { scenarios["pipeline"] = pipeline }

// pipeline: a client sends many commands at once, then the proxy is restarted as planned. Each command that had reached
// the proxy's machine has to get a whole answer.
func pipeline(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	var endpoints []endpoint
	for i := range 5 {
		n, err := startNode(rec, fmt.Sprintf("s-%d", i), func(n *node, c command) string {
			if c.key == "slow" {
				time.Sleep(slowRead)
			} else {
				time.Sleep(work)
			}
			if c.verb == "ms" {
				return fmt.Sprintf("HD O%s cr%s\r\n", c.id, c.id)
			}
			return n.value(c)
		})
		if err != nil {
			return false, err
		}
		defer n.stop()
		endpoints = append(endpoints, endpoint{Name: n.name, Address: n.address(), Zone: "budapest", Type: "gyors",
			Group: 1, Status: "up", Weight: 1})
	}
	discovery, stopDiscovery, err := serveDiscovery(endpoints)
	if err != nil {
		return false, err
	}
	defer stopDiscovery()
	proxy, address, err := platformProxy(rec, folder, discovery, siteWindow)
	if err != nil {
		return false, err
	}
	defer proxy.kill()
	time.Sleep(4 * time.Second) // the proxy has asked for the list by then
	if err := ctx.Err(); err != nil {
		return false, err
	}
	return sendPipeline(rec, proxy, address, trouble)
}

// sendPipeline sends the commands on one connection, has the proxy end, and checks what is answered.
func sendPipeline(rec *record, proxy *process, address string, trouble bool) (isBroken bool, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	var text strings.Builder
	for i := range pipelined {
		text.WriteString(pipelinedCommand(i))
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return false, err
	}
	sentAt := time.Now()
	rec.note("client: sent %d commands (q0 to q%d) at once on one connection, %d bytes", pipelined, pipelined-1, text.Len())
	if trouble {
		time.Sleep(beforeTerm)
		proxy.signal(syscall.SIGTERM)
	}
	c.SetReadDeadline(sentAt.Add(clientHas + slowRead + grace))
	in := bufio.NewReader(c)
	answers := make(map[string]int)
	answered := 0
	var end error
	for answered < pipelined && end == nil {
		var kind string
		if kind, end = readAnswer(in); end == nil {
			counted := kind
			switch {
			case strings.HasPrefix(kind, "SERVER_ERROR busy"):
				counted = "SERVER_ERROR busy"
			case strings.HasPrefix(kind, "HD "):
				counted = "HD"
			}
			answers[counted]++
			rec.note("client: answer to q%d: %s", answered, kind)
			answered++
		}
	}
	ended := time.Now()
	handovers := 0
	for i := answered; i < pipelined; i++ {
		if isHandover(i) {
			handovers++
		}
	}
	rec.note("client: answers by kind %v, without an answer %d, of these handovers %d", answers, pipelined-answered,
		handovers)
	if trouble {
		select {
		case <-proxy.ended:
		case <-time.After(killAfter):
			proxy.signal(syscall.SIGKILL)
		}
	}
	if answered == pipelined {
		return false, nil
	}
	how := "closed by the proxy, no reset: it had read all that was sent"
	switch {
	case errors.Is(end, syscall.ECONNRESET):
		how = "reset by the proxy"
	case errors.Is(end, os.ErrDeadlineExceeded):
		how = "still open"
	}
	rec.note("client: q%d to q%d had reached the proxy's machine %v before the connection was %s (%v)",
		answered, pipelined-1, ended.Sub(sentAt).Round(time.Millisecond), how, end)
	return ended.Sub(sentAt) > crossing, nil
}

// isHandover says which of the commands are handovers: one in twenty, as at the site.
func isHandover(i int) bool { return i%20 == 11 }

// pipelinedCommand returns one of the commands: the first is a slow read.
func pipelinedCommand(i int) string {
	key := fmt.Sprintf("order-%d", i)
	if i == 0 {
		key = "slow"
	}
	if isHandover(i) {
		return fmt.Sprintf("ms %s 6 Oq%d Pc=kezbesites-rogzites,t=fovarosi-boltok,d=%d,k=k%d\r\nsigned\r\n", key, i,
			clientHas.Milliseconds(), i)
	}
	return fmt.Sprintf("mg %s v Oq%d Pc=rendeles-olvasas,t=fovarosi-boltok,d=%d\r\n", key, i, clientHas.Milliseconds())
}

// readAnswer reads one answer of the proxy, and returns its first word or words.
func readAnswer(in *bufio.Reader) (kind string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "VA ") {
		return line, nil
	}
	var size int
	fmt.Sscanf(line, "VA %d", &size)
	_, err = io.CopyN(io.Discard, in, int64(size+2))
	return "VA", err
}
