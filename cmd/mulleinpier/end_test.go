package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// TestEndAtEachStepOfARequest ends the program, as the platform has it, with requests of every effect at every step, nodes
// that hang, and clients that send on to the end: each request that was taken has one answer, none of an unsafe class
// comes to nodes twice, and the program ends well.
func TestEndAtEachStepOfARequest(t *testing.T) {
	nodes, err := scriptednode.Start(scriptednode.Meta, 3, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		kind, _, _ := strings.Cut(a.Key, ":")
		return scriptednode.Reaction(kind)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	const deadline = 700 // milliseconds, the longest of all
	cmd, lines := platformProgram(t, nodes, 3, deadline)
	_, address, _ := strings.Cut(waitLine(t, lines, "listener opened"), "address=")
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testutil.Timeout))
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	request := func(effect, do, id string) string {
		if effect == "safe" {
			return fmt.Sprintf("mg %s:%s v O%s Pc=safe,t=shops,d=%d\r\n", do, id, id, deadline)
		}
		return fmt.Sprintf("ms %s:%s 2 O%s Pc=%s,t=shops,d=%d,k=%s\r\nhi\r\n", do, id, id, effect, deadline, id)
	}
	// answer reads one, and tells what it is.
	answer := func(in *bufio.Reader) (string, error) {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "VA ") && err == nil {
			_, err = in.ReadString('\n')
		}
		return strings.TrimSpace(line), err
	}
	warm, in := dial()
	testutil.WaitUntil(t, "the nodes to be known", func() bool {
		fmt.Fprint(warm, request("safe", "serve", fmt.Sprint("w", time.Now().UnixNano())))
		got, err := answer(in)
		return err == nil && strings.HasPrefix(got, "VA ")
	})
	for i := range 500 { // or gates would shut for what hangs
		fmt.Fprint(warm, request("safe", "serve", fmt.Sprint("warm", i)))
		answer(in)
	}
	var waiting, senders sync.WaitGroup
	hung, answered := 0, make(chan bool, 100)
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		for _, do := range []scriptednode.Reaction{scriptednode.Hang, scriptednode.Slow, scriptednode.TruncatedAnswer, scriptednode.Reset, scriptednode.Garbage, scriptednode.Busy, scriptednode.EndlessValue} {
			c, in := dial()
			id := fmt.Sprintf("%s-%s", effect, do)
			fmt.Fprint(c, request(effect, string(do), id))
			if do == scriptednode.Hang {
				hung++
			}
			waiting.Go(func() {
				defer func() { answered <- true }()
				if got, err := answer(in); err != nil || !strings.HasPrefix(got, "SERVER_ERROR") && !strings.Contains(got, "O"+id) {
					t.Errorf("%s: answered %q, %v", id, got, err)
				}
				if got, err := answer(in); err == nil {
					t.Errorf("%s: a second answer, %q", id, got)
				}
			})
		}
		half, hin := dial()
		whole := request(effect, "serve", effect+"-half")
		fmt.Fprint(half, whole[:len(whole)-3])
		waiting.Go(func() { // told, or closed; never served
			if got, err := answer(hin); err == nil && !strings.HasPrefix(got, "CLIENT_ERROR") {
				t.Errorf("half a command: answered %q", got)
			}
		})
		silent, sin := dial()
		waiting.Go(func() {
			defer silent.Close()
			if got, err := answer(sin); err == nil {
				t.Errorf("a silent client was told %q", got)
			}
		})
		for i := range 3 {
			c, in := dial()
			do := []string{"serve", "slow", "hang"}[i]
			senders.Go(func() {
				for n := 0; ; n++ {
					id := fmt.Sprintf("%s-s%d-%d", effect, i, n)
					if _, err := fmt.Fprint(c, request(effect, do, id)); err != nil {
						return
					}
					got, err := answer(in)
					if err != nil {
						return // it crossed the close
					}
					if !strings.HasPrefix(got, "SERVER_ERROR") && !strings.Contains(got, "O"+id) {
						t.Errorf("%s: answered %q", id, got)
					}
				}
			})
		}
	}
	testutil.WaitUntil(t, "what hangs to be at nodes", func() bool {
		n := 0
		for _, a := range nodes.Requests() {
			if strings.HasSuffix(a.ID, "-hang") {
				n++
			}
		}
		return n >= hung || len(answered) >= hung // which have had their time, on a busy machine
	})
	told := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := testutil.Receive(t, "the program's end", ended); err != nil {
		t.Errorf("the program ended with %v", err)
	}
	took := time.Since(told)
	waiting.Wait()
	senders.Wait()
	// It would be killed so long after it was told at the least; a busy machine is given as much again.
	if due := (deadline + 700) * time.Millisecond; took > 2*due {
		t.Errorf("the end took %v, and it is killed after %v", took, due)
	}
	times := make(map[string]int)
	for _, a := range nodes.Requests() {
		if a.Class == "unsafe" {
			times[a.ID]++
		}
	}
	for id, n := range times {
		if n > 1 && !strings.Contains(id, "-busy") { // a node that turns away has not run it
			t.Errorf("%s came to nodes %d times", id, n)
		}
	}
	t.Logf("ended after %v, %d requests at nodes", took, len(nodes.Requests()))
}
