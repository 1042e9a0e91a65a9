package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
)

const (
	floodTime = 4 * time.Second
	// maxFloodAnswers is how many answers the flooding client may get while another client waits for one: 32 turns of
	// its reader. Unlike a time, it does not depend on the load of the machine.
	maxFloodAnswers = 32 * 64
)

// floods are the commands that a client sends at full speed, by their number.
var floods = map[string]func(n int) string{
	"no-ops":           func(int) string { return "mn\r\n" },
	"unsound requests": func(int) string { return "mg k v\r\nmn\r\n" },
	"ever new names": func(n int) string {
		return fmt.Sprintf("mg k%d v Ox%d Pc=c%d,t=t%d\r\nmn\r\n", n, n, n, n)
	},
	"requests without time": func(n int) string { return fmt.Sprintf("mg k%d v Ox%d Pc=read,d=0\r\n", n, n) },
}

// TestFloodingClientDelaysNobody guards against a client that sends small or unsound requests at full speed, also under
// ever new names, and keeps the answers of other clients waiting.
func TestFloodingClientDelaysNobody(t *testing.T) {
	for name, command := range floods {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t, node.Config{})
			d.configure("")
			d.start()
			d.awaitNotified("READY=1")
			var flood sync.WaitGroup
			defer flood.Wait()
			end := time.Now().Add(floodTime)
			var answers lineCounter
			flood.Go(func() { d.flood(end, command, &answers) })
			c := d.connect()
			var counts []int
			for n := 0; time.Now().Before(end); n++ {
				before := answers.lines.Load()
				c.send("mg k%d v Op%d Pc=read,d=1000\r\n", n%20, n)
				c.expect("VA ")
				counts = append(counts, int(answers.lines.Load()-before))
				time.Sleep(10 * time.Millisecond)
			}
			slices.Sort(counts)
			p90, worst := counts[len(counts)*9/10], counts[len(counts)-1]
			t.Logf("answers to the flooding client during one of %d requests: 90%% at most %d, worst %d, in all %d",
				len(counts), p90, worst, answers.lines.Load())
			if p90 > maxFloodAnswers || answers.lines.Load() < maxFloodAnswers {
				t.Errorf("90%% of the requests waited for %d answers to the flooding client, want at most %d",
					p90, maxFloodAnswers)
			}
		})
	}
}

// lineCounter is a writer that counts the lines written to it.
type lineCounter struct{ lines atomic.Int64 }

// Write implements io.Writer.
func (c *lineCounter) Write(p []byte) (int, error) {
	c.lines.Add(int64(bytes.Count(p, []byte("\n"))))
	return len(p), nil
}

// flood sends commands at full speed until a time, on a new connection when one ends, and counts the answers.
func (d *testDaemon) flood(end time.Time, command func(n int) string, answers *lineCounter) {
	const batch = 200
	for n := 0; time.Now().Before(end); {
		socket, err := net.Dial("tcp", d.address)
		if err != nil {
			continue
		}
		socket.SetDeadline(end)
		go io.Copy(answers, socket)
		for err == nil {
			var text strings.Builder
			for range batch {
				text.WriteString(command(n))
				n++
			}
			_, err = io.WriteString(socket, text.String())
		}
		socket.Close()
	}
}
