package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/fake/node"
)

// effectFaults are the faults of single requests and of whole nodes that TestEffectsUnderFaults draws from.
var effectFaults = []node.FaultKind{
	node.NoFault, node.Reset, node.Late, node.Busy, node.Garbage,
	node.SecondBusy, node.SecondBusy, node.SecondFailed, node.SecondAbsent, node.SecondCopy, node.ProcessDown,
}

// injectFaults replaces the fault of one node after another until the daemon is told to end.
func (run *effectRun) injectFaults() {
	rng := run.random("faults")
	nodes := run.daemon.nodes
	for !run.isEnding() {
		fault := node.Fault{
			Kind:  effectFaults[rng.IntN(len(effectFaults))],
			OneIn: 1 + rng.IntN(6),
			Delay: time.Duration(rng.IntN(300)) * time.Millisecond,
		}
		if err := nodes[rng.IntN(len(nodes))].SetFault(fault); err != nil {
			run.t.Error(err)
		}
		time.Sleep(time.Duration(20+rng.IntN(150)) * time.Millisecond)
	}
}

// sendSignals reloads the daemon in series of SIGHUP, and stops its process for a while.
func (run *effectRun) sendSignals() {
	rng := run.random("signals")
	for {
		select {
		case <-run.ending:
			return
		case <-time.After(time.Duration(200+rng.IntN(600)) * time.Millisecond):
		}
		if rng.IntN(2) == 0 {
			for range 1 + rng.IntN(3) {
				run.daemon.signal(syscall.SIGHUP)
			}
			continue
		}
		run.daemon.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(10+rng.IntN(140)) * time.Millisecond)
		run.daemon.signal(syscall.SIGCONT)
	}
}

// runClient sends requests, mostly one at a time and at times several at once, until no connection can be opened after
// the daemon was told to end.
func (run *effectRun) runClient(number int) {
	rng := run.random(fmt.Sprint("client ", number))
	for serial := 0; ; {
		socket, err := net.Dial("tcp", run.daemon.address)
		if err != nil {
			if !run.isEnding() {
				run.t.Errorf("client %d can't connect: %v", number, err)
			}
			return
		}
		serial = run.useConnection(socket, rng, number, serial)
		socket.Close()
	}
}

// useConnection sends requests on a connection until it ends or some time has passed. It returns the next serial number
// of the client.
func (run *effectRun) useConnection(socket net.Conn, rng *rand.Rand, number, serial int) int {
	in := bufio.NewReader(socket)
	for end := time.Now().Add(time.Duration(500+rng.IntN(2000)) * time.Millisecond); time.Now().Before(end); {
		count := 1
		if rng.IntN(5) == 0 {
			count += rng.IntN(4)
		}
		batch := run.newBatch(rng, number, serial, count)
		serial += count
		if !run.exchange(socket, in, batch) {
			return serial
		}
		if rng.IntN(4) == 0 {
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
	}
	return serial
}

// newBatch returns requests with new ids, and registers them.
func (run *effectRun) newBatch(rng *rand.Rand, number, serial, count int) (batch []*issuedRequest) {
	for i := range count {
		r := &issuedRequest{
			class: &effectClasses[rng.IntN(len(effectClasses))],
			key:   fmt.Sprint("key", rng.IntN(40)),
			id:    fmt.Sprintf("c%dn%d", number, serial+i),
		}
		if r.class.isWrite {
			r.key = "key-" + r.id
		}
		batch = append(batch, r)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.requests = append(run.requests, batch...)
	return batch
}

// exchange sends requests together and reads their answers. It returns false once the connection has ended.
func (run *effectRun) exchange(socket net.Conn, in *bufio.Reader, batch []*issuedRequest) bool {
	var text strings.Builder
	for _, r := range batch {
		fmt.Fprintf(&text, r.class.command, r.key, r.id)
	}
	ending := run.isEnding()
	if _, err := io.WriteString(socket, text.String()); err != nil {
		return false
	}
	for _, r := range batch {
		socket.SetReadDeadline(time.Now().Add(effectAnswerTimeout))
		line, err := in.ReadString('\n')
		if err != nil {
			if !ending && !run.isEnding() {
				run.t.Errorf("%s %s got no answer: %v", r.class.name, r.id, err)
			}
			return false
		}
		run.mu.Lock()
		r.answer = strings.TrimSuffix(line, "\r\n")
		run.mu.Unlock()
		var size int
		if n, _ := fmt.Sscanf(line, "VA %d ", &size); n == 1 {
			in.Discard(size + len("\r\n"))
		}
	}
	return true
}
