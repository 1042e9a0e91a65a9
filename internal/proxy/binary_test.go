package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/testutil"
)

// startScriptedNodes starts nodes that serve all requests.
func startScriptedNodes(t *testing.T, dialect scriptednode.Dialect, count int) *scriptednode.Nodes {
	t.Helper()
	nodes, err := scriptednode.Start(dialect, count, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
		return scriptednode.Serve
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	return nodes
}

// TestStalledReaderIsClosed checks that a client that sends a pipeline of large reads and reads no response is
// disconnected, which frees its place and the memory reserved for its responses.
func TestStalledReaderIsClosed(t *testing.T) {
	nodes := startScriptedNodes(t, scriptednode.Binary, 2)
	addresses := fmt.Sprintf("%q, %q", nodes.Address(0), nodes.Address(1))
	p := startProxy(t, addresses, fmt.Sprintf(
		"[binary]\nnodes = [%s]\n[[class]]\nname = \"read\"\naim = \"300ms\"\ndeadline = \"500ms\"\n", addresses))
	c := p.dial()
	var pipeline []byte
	for i := range uint32(400) { // 26 MB of responses
		pipeline = rawclient.AppendKeyOnly(pipeline, codec.GetKQ, fmt.Sprint("big", i%8), i)
	}
	c.Socket.SetWriteDeadline(time.Now().Add(testutil.Timeout))
	go c.Socket.Write(pipeline)
	testutil.WaitUntil(t, "the pipeline to be under way", func() bool { return len(nodes.Requests()) > 10 })
	testutil.WaitUntil(t, "the stalled reader to be closed", func() bool {
		clients, open := p.server.Load()
		return clients == 0 && open == 0
	})
	// The requests of the stalled reader count as late for a moment, so a read may still be rejected.
	other := p.dial()
	testutil.WaitUntil(t, "another client to be served", func() bool {
		other.send(getCommand("k", 1))
		r, err := rawclient.ReadResponse(other.Reader)
		if err != nil {
			t.Fatal(err)
		}
		return r.Status == codec.OK && r.Opaque == 1
	})
}

// TestDrainWaitsForQuietCommands checks that a drain that starts between a quiet get that missed and its Noop does not
// close the connection before the Noop: the client has no response to the get yet.
func TestDrainWaitsForQuietCommands(t *testing.T) {
	f := startNodes(t)
	p := startProxy(t, f.addresses, "[binary]\n")
	waiting, idle := p.dial(), p.dial()
	idle.send(emptyCommand(codec.Noop, 1))
	idle.next(codec.OK, 1)
	waiting.send(getCommand("k", 1), rawclient.AppendKeyOnly(nil, codec.GetQ, "none", 2))
	waiting.next(codec.OK, 1)
	testutil.WaitUntil(t, "the miss to be complete", func() bool {
		_, open := p.server.Load()
		return open == 0 && f.origin.Stats().Fetches >= 2
	})
	p.stop()
	idle.expectEnd() // the drain has started and closes connections that wait for no response
	// LingerTimeout is longer than any other connection may keep sending in a drain.
	time.Sleep(frontend.LingerTimeout)
	waiting.send(emptyCommand(codec.Noop, 3))
	waiting.next(codec.OK, 3)
	waiting.expectEnd()
}

// TestWholeBinaryPipelineIsAnsweredInDrain guards against lost commands of binary clients, as
// TestWholePipelineIsAnsweredInDrain does for clients that speak meta.
func TestWholeBinaryPipelineIsAnsweredInDrain(t *testing.T) {
	const commands = 500
	release := make(chan struct{})
	nodes, err := scriptednode.Start(scriptednode.Binary, 1,
		func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
			<-release
			return scriptednode.Serve
		})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	address := fmt.Sprintf("%q", nodes.Address(0))
	p := startProxy(t, address, fmt.Sprintf("[binary]\nnodes = [%s]\n", address))
	c := p.dial()
	var pipeline []byte
	for i := range uint32(commands) {
		pipeline = append(pipeline, getCommand(fmt.Sprint("k", i), i)...)
	}
	c.send(pipeline)
	testutil.WaitUntil(t, "the first commands to be in flight", func() bool { _, n := p.server.Load(); return n > 0 })
	idle := p.dial()
	p.stop()
	idle.expectEnd()                   // the drain has started
	time.Sleep(frontend.LingerTimeout) // the connection accepts no more commands
	close(release)
	for i := range uint32(commands) {
		if r, err := rawclient.ReadResponse(c.Reader); err != nil || r.Opaque != i {
			t.Fatalf("command %d of %d got %+v, %v", i, commands, r, err)
		}
	}
	c.expectEnd()
}

// TestSlowBinaryCommandInDrainLosesNothing guards against lost commands of binary clients, as
// TestSlowCommandInDrainLosesNothing does for clients that speak meta.
func TestSlowBinaryCommandInDrainLosesNothing(t *testing.T) {
	release := make(chan struct{})
	nodes, err := scriptednode.Start(scriptednode.Binary, 1,
		func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
			<-release
			return scriptednode.Serve
		})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	address := fmt.Sprintf("%q", nodes.Address(0))
	p := startProxy(t, address, fmt.Sprintf("[binary]\nnodes = [%s]\n", address))
	c := p.dial()
	slow := getCommand("slow", 2)
	c.send(getCommand("first", 1), slow[:len(slow)/2])
	testutil.WaitUntil(t, "the request to be in flight", func() bool { _, n := p.server.Load(); return n > 0 })
	idle := p.dial()
	p.stop()
	idle.expectEnd()                   // the drain has started
	time.Sleep(frontend.LingerTimeout) // the connection accepts no more commands
	c.send(slow[len(slow)/2:], getCommand("behind", 3), emptyCommand(codec.Noop, 4))
	close(release)
	for opaque := uint32(1); opaque <= 4; opaque++ {
		if r, err := rawclient.ReadResponse(c.Reader); err != nil || r.Opaque != opaque {
			t.Fatalf("command %d got %+v, %v", opaque, r, err)
		}
	}
	c.expectEnd()
}

// TestBinaryListenerServesBinaryClients checks that a listener for binary clients only serves them and no meta clients,
// and that the main listener then serves no binary clients.
func TestBinaryListenerServesBinaryClients(t *testing.T) {
	f := startNodes(t)
	p := startProxy(t, f.addresses,
		"[binary]\nlisten = \"127.0.0.1:0\"\n[[route]]\nlistener = \"binary\"\nclass = \"read\"\n")
	c := dialBinary(t, p.server.BinaryAddress())
	c.send(getCommand("k", 1))
	c.next(codec.OK, 1)
	meta := dialBinary(t, p.server.BinaryAddress())
	meta.send([]byte("mn\r\n"))
	meta.expectEnd()
	main := dialBinary(t, p.server.Address())
	main.send(emptyCommand(codec.Noop, 1))
	if line, err := main.Reader.ReadString('\n'); !strings.HasPrefix(line, "CLIENT_ERROR") {
		t.Errorf("the main listener answered %q, %v", line, err)
	}
	main = dialBinary(t, p.server.Address())
	io.WriteString(main.Socket, "mn\r\n")
	if line, _ := main.Reader.ReadString('\n'); line != "MN\r\n" {
		t.Errorf("a meta client got %q", line)
	}
	p.stop()
	c.expectEnd()
}

// TestMemoryExhaustionIsReportedInBinary checks that binary clients get binary error responses when values for clients
// that read no responses exhaust the memory for responses. An error response in another dialect would break the
// framing.
func TestMemoryExhaustionIsReportedInBinary(t *testing.T) {
	const clientCount, gets, valueSize = 12, 100, 60000
	f := startNodesWithValueSize(t, valueSize)
	p := startProxy(t, f.addresses, "[binary]\n[limits]\nmemory_mb = 32\n")
	var clients []binaryClient
	for range clientCount {
		c := p.dial()
		c.Socket.(*net.TCPConn).SetReadBuffer(64 << 10)
		clients = append(clients, c)
		go func() {
			for i := range gets {
				c.send(rawclient.AppendKeyOnly(nil, codec.Get, "k", uint32(i)))
			}
		}()
	}
	waitUntilSteady(f.requestCount, 300*time.Millisecond)
	exhausted := 0
	for _, c := range clients {
		exhausted += countOutOfMemory(c, gets)
	}
	if exhausted == 0 {
		t.Error("the response budget was never exhausted, so nothing was tested")
	}
}

// waitUntilSteady waits until count has returned the same value for the duration steady.
func waitUntilSteady(count func() int, steady time.Duration) {
	last, since := -1, time.Now()
	for time.Since(since) < steady {
		if now := count(); now != last {
			last, since = now, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// countOutOfMemory reads responses in order, and counts those with status OutOfMemory.
func countOutOfMemory(c binaryClient, responses int) (count int) {
	c.t.Helper()
	for i := range responses {
		r, err := rawclient.ReadResponse(c.Reader)
		if err != nil || r.Opaque != uint32(i) {
			c.t.Fatalf("response %d: opaque %d, error %v", i, r.Opaque, err)
		}
		switch r.Status {
		case codec.OK, codec.Busy:
		case codec.OutOfMemory:
			count++
		default:
			c.t.Fatalf("response %d has status %#x", i, r.Status)
		}
	}
	return count
}
