package proxy

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/unresponsive"
	"mulleinpier/internal/testutil"
)

// These tests guard what is owed, or not, to clients that leave while their requests wait: nothing of
// those goes out any more, whatever they waited for and whatever their class.

// classes are requests of each effect, by the id; the effect is the class's, whatever the verb.
var classes = map[string]func(id string) string{
	"safe":       func(id string) string { return fmt.Sprintf("mg k%s v O%s Pc=read,t=shops,d=1900\r\n", id, id) },
	"safe write": func(id string) string { return fmt.Sprintf("ms k%s 2 O%s Pc=read,t=shops,d=1900\r\nhi\r\n", id, id) },
	"keyed": func(id string) string {
		return fmt.Sprintf("ms k%s 2 O%s Pc=put,t=shops,d=1900,k=%s\r\nhi\r\n", id, id, id)
	},
	"unsafe":      func(id string) string { return fmt.Sprintf("ms k%s 2 O%s Pc=once,t=shops,d=1900\r\nhi\r\n", id, id) },
	"unsafe read": func(id string) string { return fmt.Sprintf("mg k%s v O%s Pc=once,t=shops,d=1900\r\n", id, id) },
	"safe with k": func(id string) string { return fmt.Sprintf("mg k%s v O%s Pc=read,t=shops,d=1900,k=%s\r\n", id, id, id) },
}

// once adds an unsafe class, and has connections come up whenever they do.
func once(settings map[string]any) {
	settings["Services"] = append(settings["Services"].([]any), map[string]any{"Name": "once", "Effect": "unsafe", "DedupScope": "all", "Aim": 500,
		"HardLimit": 2000, "Importance": 2, "LateShare": 0.3, "Window": 0})
	settings["Limits"].(map[string]any)["ConnectTimeout"] = 30000
}

// leavings are the ways in which clients go.
var leavings = map[string]func(net.Conn){
	"close":      func(c net.Conn) { c.Close() },
	"half close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
}

// everyCase runs a test for each of some classes and each way of leaving.
func everyCase(t *testing.T, some []string, test func(t *testing.T, request func(id string) string, leave func(net.Conn))) {
	for _, class := range some {
		request := classes[class]
		for way, leave := range leavings {
			t.Run(class+", "+way, func(t *testing.T) {
				t.Parallel()
				test(t, request, leave)
			})
		}
	}
}

// recorder notes the ids that reach a node.
type recorder struct {
	mu  sync.Mutex
	ids []string
}

func (r *recorder) note(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// idle waits until nothing is open at the proxy and all budgets are whole.
func (f *fleet) idle(t *testing.T, bodies int) {
	t.Helper()
	testutil.WaitUntil(t, "nothing to be open", func() bool { return f.server.core.InFlight() == 0 })
	testutil.WaitUntil(t, "the bytes of bodies to be free", func() bool { return f.server.listeners[0].host.BodyBudget.Available() == bodies })
}

// ended passes the server's end on as a value.
func (f *fleet) ended() <-chan bool {
	out := make(chan bool, 1)
	go func() {
		<-f.served
		out <- true
	}()
	return out
}

// TestPipelinedBehindWhoLeft: the reader waits for a place among too many commands of its client's, and does not come to the end of
// the connection behind those unread. What is unread must not follow its client's leaving.
func TestPipelinedBehindWhoLeft(t *testing.T) {
	everyCase(t, slices.Collect(maps.Keys(classes)), func(t *testing.T, request func(string) string, leave func(net.Conn)) {
		const sent, taken = 60, 32
		var came recorder
		arrived, goOn := make(chan struct{}, 2*sent), make(chan struct{})
		f := startFleetWith(t, 256, once, startNode(t, func(c command) {
			came.note(c.id)
			arrived <- struct{}{}
			<-goOn
			c.serve()
		}))
		bodies := f.server.listeners[0].host.BodyBudget.Available()
		u := f.connect()
		var text strings.Builder
		for i := range sent {
			text.WriteString(request(fmt.Sprint("x", i)))
		}
		u.send("%s", text.String())
		testutil.WaitUntil(t, "as many as may be at work to be", func() bool {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			for c := range f.server.clients {
				return c.ReaderBlocked()
			}
			return false
		})
		testutil.Receive(t, "the first", arrived)
		leave(u.socket)
		testutil.WaitUntil(t, "the proxy to let go of it", func() bool { clients, _ := f.server.Load(); return clients == 0 })
		close(goOn)
		f.idle(t, bodies)
		for _, id := range came.all() {
			var n int
			if fmt.Sscanf(id, "x%d", &n); n >= taken {
				t.Errorf("%s was sent on, which nobody waited for", id)
			}
		}
		other := f.connect() // gates may be shut for what hung
		for i := 0; ; i++ {
			if other.read(fmt.Sprint("other", i)); strings.HasPrefix(other.line(), "VA ") {
				break
			}
		}
	})
}

// written tells what is written to a node's connections.
func written(t *testing.T, d *unresponsive.Node) <-chan string {
	wrote := make(chan string, 100)
	go func() {
		for {
			c, err := d.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for in := bufio.NewReader(c); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					wrote <- line
				}
			}()
		}
	}()
	return wrote
}

// TestLateConnectionOfWhoLeft: a connection comes up late, in a drain too, when the client of what waited for it has gone.
func TestLateConnectionOfWhoLeft(t *testing.T) {
	for _, drain := range []bool{false, true} {
		t.Run(fmt.Sprint("in a drain ", drain), func(t *testing.T) {
			everyCase(t, []string{"safe", "keyed", "unsafe"}, func(t *testing.T, request func(string) string, leave func(net.Conn)) {
				d, err := unresponsive.Start()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(d.Close)
				f := startFleetWith(t, 256, once, d.Address())
				bodies := f.server.listeners[0].host.BodyBudget.Available()
				u := f.connect()
				u.send("%s", request("x"))
				testutil.WaitUntil(t, "the request to wait", func() bool { return f.server.core.InFlight() == 1 })
				if drain {
					f.stop()
					f.late()
				}
				leave(u.socket)
				testutil.WaitUntil(t, "the proxy to let go of it", func() bool { clients, _ := f.server.Load(); return clients == 0 })
				f.idle(t, bodies)
				wrote := written(t, d)
				if drain {
					testutil.Receive(t, "the server's end", f.ended())
					d.Close()
				} else {
					other := f.connect()
					other.read("other")
					if got := testutil.Receive(t, "the other's request", wrote); !strings.Contains(got, "Oother") {
						t.Errorf("the node got %q", got)
					}
				}
				for len(wrote) > 0 {
					if got := <-wrote; strings.Contains(got, "Ox") {
						t.Errorf("the node got %q", got)
					}
				}
			})
		})
	}
}

// TestBurstsLeaveNothingBehind: clients by hundreds send much at once, of every kind, and go at once. Nobody else's request suffers, and
// places, bytes and descriptors come back to where they were.
func TestBurstsLeaveNothingBehind(t *testing.T) {
	f := startFleetWith(t, 1024, once, startNode(t, func(c command) {
		if !strings.HasPrefix(c.id, "burst") {
			c.serve()
		}
	}))
	bodies, answers := f.server.listeners[0].host.BodyBudget.Available(), f.server.listeners[0].host.AnswerBudget.Available()
	usual := f.connect()
	usual.read("warm")
	usual.expectValue("warm")
	descriptors := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := descriptors()
	kinds := []func(i int) string{
		func(int) string { return strings.Repeat("noise\r\n", 2000) },
		func(int) string { return strings.Repeat("x", 60000) },
		func(i int) string {
			return fmt.Sprintf("ms kb%d 60000 Oburst%d Pc=put,t=shops,k=1\r\n%s", i, i, strings.Repeat("v", 30000))
		},
		func(i int) string { return fmt.Sprintf("ms kb%d 2 Oburst%d Pc=put,t=shops,k=1\r\nhello\r\n", i, i) },
		func(i int) string { return fmt.Sprintf("mg kb%d v Oburst%d Pc=no,t=shops\r\nmg", i, i) },
		func(i int) string {
			var b strings.Builder
			for n := range 100 {
				b.WriteString(classes["safe"](fmt.Sprintf("burst%d-%d", i, n)))
			}
			return b.String()
		},
		func(i int) string { return classes["keyed"](fmt.Sprint("burst", i)) },
		func(i int) string { return classes["unsafe"](fmt.Sprint("burst", i)) },
	}
	const clients = 400
	var burst []net.Conn
	var all sync.WaitGroup
	for i := range clients {
		u := f.connect()
		burst = append(burst, u.socket)
		all.Go(func() { u.send("%s", kinds[i%len(kinds)](i)) })
	}
	all.Wait()
	for i, c := range burst {
		[]func(net.Conn){leavings["close"], leavings["reset"]}[i%2](c)
	}
	for served := false; !served; { // it may be refused, but is answered
		usual.read(fmt.Sprint("usual", time.Now().UnixNano()))
		got := usual.line()
		if served = strings.HasPrefix(got, "VA "); served {
			usual.line()
		} else if !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Fatalf("the usual client was answered %q", got)
		}
	}
	testutil.WaitUntil(t, "the places to be free", func() bool { n, _ := f.server.Load(); return n <= 1 })
	f.idle(t, bodies)
	testutil.WaitUntil(t, "the bytes of answers to be free", func() bool { return f.server.listeners[0].host.AnswerBudget.Available() == answers })
	// Connections to the node come and go by themselves; there are no more than it takes of one proxy.
	testutil.WaitUntil(t, "the descriptors to be free", func() bool { return descriptors() <= before+2*f.server.config.Upstream.MaxPerNode })
}
