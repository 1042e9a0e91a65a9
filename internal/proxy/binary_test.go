package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/config"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sasl"
	"mulleinpier/internal/testutil"
)

// window is the stand-in nodes', and that of the class write.
const window = 1500 * time.Millisecond

// fleet is stand-in nodes and what they share.
type fleet struct {
	t      *testing.T
	origin *origin.Origin
	nodes  []*node.Node
	list   string // their addresses as a configuration has them
}

func startNodes(t *testing.T) *fleet {
	t.Helper()
	return startNodesOf(t, 0)
}

// startNodesOf starts nodes whose values have a size in bytes, 0 for the usual.
func startNodesOf(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, origin: origin.New(origin.Config{Slots: 64, Queue: 1024})}
	t.Cleanup(f.origin.Close)
	group := node.NewGroup(window)
	var names []string
	for i := range 2 {
		n, err := node.Start(node.Config{Name: fmt.Sprint("n", i), Origin: f.origin, Group: group, LedgerByValue: true, MissingKeyPrefix: "none", Slots: 64, Queue: 1024, ValueSize: size})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		f.nodes, names = append(f.nodes, n), append(names, fmt.Sprintf("%q", n.Address()))
	}
	f.list = strings.Join(names, ", ")
	return f
}

// gateway is a proxy of this process.
type gateway struct {
	t      *testing.T
	server *proxy.Server
	path   string
	nodes  string
	stop   func()
}

// config reads a configuration that says where the nodes are, and more.
func (g *gateway) config(more string) *config.Config {
	g.t.Helper()
	if err := os.WriteFile(g.path, []byte("listen = \"127.0.0.1:0\"\n"+more), 0o600); err != nil {
		g.t.Fatal(err)
	}
	c, err := config.Read(g.path)
	if err != nil {
		g.t.Fatal(err)
	}
	return c
}

// read reads one of the nodes that the proxy was started with, and more.
func (g *gateway) read(more string) *config.Config {
	g.t.Helper()
	return g.config(g.nodes + more)
}

func startProxy(t *testing.T, nodes, more string) *gateway {
	t.Helper()
	return startIn(t, &gateway{t: t, path: filepath.Join(t.TempDir(), "proxy.toml"), nodes: "nodes.addresses = [" + nodes + "]\n"}, more)
}

func startWith(t *testing.T, text string) *gateway {
	t.Helper()
	return startIn(t, &gateway{t: t, path: filepath.Join(t.TempDir(), "proxy.toml")}, text)
}

func startIn(t *testing.T, g *gateway, more string) *gateway {
	t.Helper()
	server, err := proxy.Listen(g.read(more).Proxy, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	g.server = server
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx)
	}()
	g.stop = stop
	t.Cleanup(func() {
		stop()
		<-served
	})
	return g
}

// till is a binary client that speaks byte by byte.
type till struct {
	t *testing.T
	*rawclient.Client
}

func (g *gateway) dial() till { return dialAt(g.t, g.server.Address()) }

func dialAt(t *testing.T, address net.Addr) till {
	t.Helper()
	c, err := rawclient.Dial(scriptednode.Binary, address.String(), testutil.Timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Socket.Close() })
	return till{t, c}
}

func (l till) send(texts ...[]byte) {
	for _, text := range texts {
		l.Socket.Write(text) // an end that comes early shows in the answers
	}
}

// next returns the next response, and expects a status and an opaque.
func (l till) next(status codec.Status, opaque uint32) rawclient.Response {
	l.t.Helper()
	r, err := rawclient.ReadResponse(l.Reader)
	if err != nil {
		l.t.Fatalf("opaque %d: %v", opaque, err)
	}
	if r.Status != status || r.Opaque != opaque {
		l.t.Fatalf("answered %#x %q with opaque %d, want %#x with %d", r.Status, r.Value, r.Opaque, status, opaque)
	}
	return r
}

func (l till) ended() {
	l.t.Helper()
	if b, err := l.Reader.ReadByte(); err == nil {
		l.t.Fatalf("byte %#x came, want the connection's end", b)
	} else if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		l.t.Fatal("neither an answer nor an end")
	}
}

func get(key string, opaque uint32) []byte {
	return rawclient.AppendKeyOnly(nil, codec.Get, key, opaque)
}
func bare(op codec.Opcode, opaque uint32) []byte {
	return rawclient.AppendKeyOnly(nil, op, "", opaque)
}

// read returns the ticket that a read brings.
func (l till) read(key string) (ticket uint64) {
	l.t.Helper()
	// A gate may turn a read away for a moment, by chance, after a client that left.
	testutil.WaitUntil(l.t, "a read of "+key, func() bool {
		l.send(get(key, 1))
		r, err := rawclient.ReadResponse(l.Reader)
		if err != nil || r.Opaque != 1 || r.Status != codec.OK && r.Status != codec.Busy {
			l.t.Fatalf("answered %#x with opaque %d: %v", r.Status, r.Opaque, err)
		}
		ticket = r.CAS
		return r.Status == codec.OK
	})
	return ticket
}

func set(key, value string, cas uint64) []byte {
	return rawclient.AppendSet(nil, codec.Set, key, value, 2, cas)
}

// TestRepeatedHandoverIsHadOnce plays tills whose handover's answer is lost with its
// connection or answered by a failure, and who ask another proxy with the same
// ticket: within the window and long after it, in the order of the design note's table.
func TestRepeatedHandoverIsHadOnce(t *testing.T) {
	f := startNodes(t)
	a, b := startProxy(t, f.list, "[binary]\n"), startProxy(t, f.list, "[binary]\n")
	fault := func(kind node.FaultKind) {
		for _, n := range f.nodes {
			if err := n.SetFault(node.Fault{Kind: kind}); err != nil {
				t.Fatal(err)
			}
		}
	}
	times := func(want int, key, value string) {
		t.Helper()
		testutil.WaitUntil(t, fmt.Sprintf("%s to have been had %d times", value, want), func() bool { return f.origin.EffectCount(key, value) == want })
	}
	first, second := a.dial(), b.dial()
	// The client's connection ends with the handover out.
	ticket := first.read("order1")
	first.send(set("order1", "cut", ticket))
	first.Socket.Close()
	second.send(set("order1", "cut", ticket))
	second.next(codec.OK, 2)
	times(1, "order1", "cut")
	// All nodes carry it out and reset: the proxy tries others, and fails; so the till asks
	// the other proxy.
	first = a.dial()
	ticket = first.read("order2")
	fault(node.Reset)
	first.send(set("order2", "reset", ticket))
	if r, err := rawclient.ReadResponse(first.Reader); err != nil || r.Status == codec.OK || r.Status == codec.Busy {
		t.Fatalf("%+v, %v: want a failure, as it may have run", r, err)
	}
	fault(node.NoFault)
	second.send(set("order2", "reset", ticket))
	second.next(codec.OK, 2)
	times(1, "order2", "reset")
	// Long after: no node drops it any more, so it must not reach one.
	testutil.WaitUntil(t, "the ticket to be refused", func() bool {
		second.send(set("order2", "reset", ticket))
		r, err := rawclient.ReadResponse(second.Reader)
		return err == nil && r.Status == codec.Exists
	})
	time.Sleep(window)
	second.send(set("order2", "reset", ticket))
	second.next(codec.Exists, 2)
	if n := f.origin.EffectCount("order2", "reset"); n != 1 {
		t.Fatalf("had %d times", n)
	}
	// Two that differ are both had: by value, and by ticket.
	first, second = a.dial(), b.dial() // the old ones have idled for long
	ticket = first.read("order3")
	first.send(set("order3", "left at door", ticket))
	first.next(codec.OK, 2)
	second.send(set("order3", "handed over", ticket))
	second.next(codec.OK, 2)
	again := second.read("order3")
	second.send(set("order3", "left at door", again))
	second.next(codec.OK, 2)
	times(2, "order3", "left at door")
	times(1, "order3", "handed over")
	// What is no ticket, or another server's CAS, reaches no node.
	for _, cas := range []uint64{1, 12345, 1<<64 - 1} {
		first.send(set("order4", "made up", cas))
		first.next(codec.Exists, 2)
	}
	times(0, "order4", "made up")
}

// TestQuietPipeline sends 200 quiet commands at once: hits, misses, refusals, errors and
// what is not supported, and a NOOP in the middle and at the end. All that speaks does so
// in order, and what is to be silent is.
func TestQuietPipeline(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "[binary]\n")
	l := g.dial()
	for i := range 200 { // a fresh proxy turns some of many at once away
		l.send(get(fmt.Sprint("k", i%20), 1))
		l.next(codec.OK, 1)
	}
	type told struct {
		opaque uint32
		status codec.Status
	}
	var text []byte
	var want []told
	for i := range uint32(200) {
		o := i + 1
		switch key := fmt.Sprint("k", i%20); {
		case i == 100:
			text, want = append(text, bare(codec.Noop, o)...), append(want, told{o, codec.OK})
		case i%10 == 3:
			text = rawclient.AppendKeyOnly(text, codec.GetQ, fmt.Sprint("none", i), o)
		case i%10 == 5:
			text, want = append(text, rawclient.AppendKeyOnly(nil, codec.GetQ, "", o)...), append(want, told{o, codec.InvalidArguments})
		case i%10 == 6:
			text, want = append(text, rawclient.AppendKeyOnly(nil, codec.DeleteQ, key, o)...), append(want, told{o, codec.NotSupported})
		case i%10 == 7:
			text, want = append(text, rawclient.AppendKeyOnly(nil, 0x77, key, o)...), append(want, told{o, codec.UnknownCommand})
		case i%10 == 8:
			text = rawclient.AppendSet(text, codec.SetQ, key, "x", o, 0)
		case i%10 == 9:
			text, want = append(text, rawclient.AppendSet(nil, codec.SetQ, key, "x", o, 99)...), append(want, told{o, codec.Exists})
		default:
			text, want = append(text, rawclient.AppendKeyOnly(nil, codec.GetKQ, key, o)...), append(want, told{o, codec.OK})
		}
	}
	text, want = append(text, bare(codec.Noop, 999)...), append(want, told{999, codec.OK})
	go l.send(text)
	for _, w := range want {
		r := l.next(w.status, w.opaque)
		if r.Opcode == codec.GetKQ && (r.KeyText == "" || !strings.HasPrefix(r.Value, r.KeyText+" ")) {
			t.Errorf("opaque %d: %q under %q", r.Opaque, r.Value, r.KeyText)
		}
	}
}

// TestEveryOpcodeIsAnswered walks all opcodes through one connection: each has its
// answer, and the next is understood.
func TestEveryOpcodeIsAnswered(t *testing.T) {
	f := startNodes(t)
	l := startProxy(t, f.list, "[binary]\n").dial()
	want := map[codec.Opcode]codec.Status{codec.Get: codec.OK, codec.GetK: codec.OK, codec.Set: codec.OK, codec.Noop: codec.OK,
		codec.Version: codec.OK, codec.SASLList: codec.OK, codec.SASLAuth: codec.AuthError, codec.SASLStep: codec.AuthError,
		codec.GetQ: codec.OK, codec.GetKQ: codec.OK}
	for i := range 256 {
		op := codec.Opcode(i)
		h := codec.Header{Opcode: op, Opaque: uint32(i)}
		body := ""
		switch op {
		case codec.Noop, codec.Version, codec.SASLList, codec.Flush, codec.FlushQ:
		case codec.Quit, codec.QuitQ, codec.Stat, codec.SetQ:
			continue
		default:
			body, h.KeyLen = "k", 1
		}
		switch op {
		case codec.Set, codec.Add, codec.AddQ, codec.Replace, codec.ReplaceQ:
			h.ExtrasLen = 8
		case codec.Increment, codec.IncrementQ, codec.Decrement, codec.DecrementQ:
			h.ExtrasLen = 20
		case codec.Touch, codec.GAT, codec.GATQ:
			h.ExtrasLen = 4
		}
		body = strings.Repeat("\x00", h.ExtrasLen) + body
		h.BodyLen = len(body)
		status, known := want[op]
		if !known {
			status = codec.UnknownCommand
			if op.Handling() == codec.Unsupported {
				status = codec.NotSupported
			}
		}
		l.send(append(h.Append(nil, codec.RequestMagic), body...))
		l.next(status, uint32(i))
	}
	l.send(bare(codec.Stat, 7))
	for {
		if r := l.next(codec.OK, 7); r.KeyText == "" {
			break
		}
	}
	l.send(bare(codec.Quit, 8))
	l.next(codec.OK, 8)
	l.ended()
}

// TestWhatCannotBeRead sends what is no command, or only part of one. Each is told so
// where there is an opaque to say it by, and ended; others are served meanwhile.
func TestWhatCannotBeRead(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "[binary]\n")
	huge := codec.Header{Opcode: codec.Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 1<<32 - 1, Opaque: 5}
	beyond := codec.Header{Opcode: codec.Get, KeyLen: 9, BodyLen: 3, Opaque: 5}
	for _, c := range []struct {
		name   string
		text   []byte
		status codec.Status
		opaque uint32
	}{
		{"a body of 4 GB", huge.Append(nil, codec.RequestMagic), codec.TooLarge, 5},
		{"a key beyond the body", beyond.Append(nil, codec.RequestMagic), codec.InvalidArguments, 5},
		{"text behind a command", append(bare(codec.Noop, 6), "mg k v O1 Pc=read\r\n"...), codec.OK, 6},
		{"half a header", bare(codec.Noop, 7)[:11], 0, 0},
		{"half a body", get("a key that goes on", 8)[:30], 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := dialAt(t, g.server.Address())
			l.send(c.text)
			if c.opaque != 0 {
				l.next(c.status, c.opaque)
			}
			l.ended()
		})
	}
	l := g.dial()
	l.send(get("k", 3), get("k", 3)) // the same opaque twice at once
	l.next(codec.OK, 3)
	l.next(codec.OK, 3)
}

// TestReaderThatStopsIsLetGo sends a pipeline of large reads and takes nothing: its place
// and what was held for it come back.
func TestReaderThatStopsIsLetGo(t *testing.T) {
	nodes, err := scriptednode.Start(scriptednode.Binary, 2, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Serve })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	list := fmt.Sprintf("%q, %q", nodes.Address(0), nodes.Address(1))
	g := startProxy(t, list, fmt.Sprintf("[binary]\nnodes = [%s]\n[[class]]\nname = \"read\"\naim = \"300ms\"\ndeadline = \"500ms\"\n", list))
	l := g.dial()
	var text []byte
	for i := range uint32(400) { // 26 MB of answers
		text = rawclient.AppendKeyOnly(text, codec.GetKQ, fmt.Sprint("big", i%8), i)
	}
	l.Socket.SetWriteDeadline(time.Now().Add(testutil.Timeout))
	go l.Socket.Write(text)
	testutil.WaitUntil(t, "the pipeline to be under way", func() bool { return len(nodes.Requests()) > 10 })
	testutil.WaitUntil(t, "the reader that stopped to be let go", func() bool {
		clients, open := g.server.Load()
		return clients == 0 && open == 0
	})
	// What the reader left behind counts as late for a moment, so a read may be turned away yet.
	other := g.dial()
	testutil.WaitUntil(t, "another client to be served", func() bool {
		other.send(get("k", 1))
		r, err := rawclient.ReadResponse(other.Reader)
		if err != nil {
			t.Fatal(err)
		}
		return r.Status == codec.OK && r.Opaque == 1
	})
}

// TestDrainWaitsForWhatSilenceOwes begins a drain between a quiet get that missed and its
// NOOP: a client that has been told nothing must not be left alone.
func TestDrainWaitsForWhatSilenceOwes(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "[binary]\n")
	owed, idle := g.dial(), g.dial()
	idle.send(bare(codec.Noop, 1))
	idle.next(codec.OK, 1)
	owed.send(get("k", 1), rawclient.AppendKeyOnly(nil, codec.GetQ, "none", 2))
	owed.next(codec.OK, 1)
	testutil.WaitUntil(t, "the miss to be had", func() bool {
		_, open := g.server.Load()
		return open == 0 && f.origin.Stats().Fetches >= 2
	})
	g.stop()
	idle.ended() // so the drain is under way, and connections without a debt are gone
	// Longer than any other connection may still send in a drain.
	time.Sleep(frontend.LingerTimeout)
	owed.send(bare(codec.Noop, 3))
	owed.next(codec.OK, 3)
	owed.ended()
}

// users writes a users' file beside a configuration.
func users(t *testing.T, path string, secrets map[string]string) {
	t.Helper()
	var text string
	for name, secret := range secrets {
		line, err := sasl.FormatUser(name, secret, 1000, [16]byte{1})
		if err != nil {
			t.Fatal(err)
		}
		text += line + "\n"
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const tillsOnly = `[binary]
users = "USERS"
[[route]]
user = "till"
class = "read"
`

func auth(user, secret string) []byte { return rawclient.AppendSASLPlain(nil, user, secret, 9) }

// TestReloadWithConnectionsOpen changes the routing table and a secret under connections
// that are open: routes count from the next command, and a session of the old secret
// must prove itself anew.
func TestReloadWithConnectionsOpen(t *testing.T) {
	f := startNodes(t)
	file := filepath.Join(t.TempDir(), "users")
	users(t, file, map[string]string{"till": "rose", "boss": "lily"})
	more := strings.Replace(tillsOnly, "USERS", file, 1)
	g := startProxy(t, f.list, more)
	l := g.dial()
	l.send(get("k", 1), bare(codec.Version, 2), bare(codec.SASLList, 3))
	l.next(codec.AuthError, 1) // nothing but these before a proof
	l.next(codec.OK, 2)
	l.next(codec.OK, 3)
	l.send(auth("till", "rose"), get("k", 4))
	l.next(codec.OK, 9)
	l.next(codec.OK, 4)
	boss := g.dial()
	boss.send(auth("boss", "lily"), get("k", 4))
	boss.next(codec.OK, 9)
	boss.next(codec.NotSupported, 4) // no route is for it
	reload := func(more string) {
		t.Helper()
		next := g.read(more).Proxy
		if err := g.server.Reload(next); err != nil {
			t.Fatal(err)
		}
	}
	reload(more + "[[route]]\nprefix = \"k\"\nuser = \"boss\"\nclass = \"read\"\n")
	boss.send(get("k", 5), get("other", 6))
	boss.next(codec.OK, 5)
	boss.next(codec.NotSupported, 6)
	users(t, file, map[string]string{"till": "aster", "boss": "lily"})
	reload(more)
	l.send(get("k", 7), auth("till", "rose"), auth("till", "aster"), get("k", 8))
	l.next(codec.AuthError, 7)
	l.next(codec.AuthError, 9)
	l.next(codec.OK, 9)
	l.next(codec.OK, 8)
	boss.send(get("k", 7)) // the same secret, and the table as it was
	boss.next(codec.NotSupported, 7)
}

// TestGuessesInALoop guesses from many connections. Each is closed after three, known and
// unknown users are told the same, and past the allowance even the right secret is not
// looked at, so guessing on is no use.
func TestGuessesInALoop(t *testing.T) {
	f := startNodes(t)
	file := filepath.Join(t.TempDir(), "users")
	users(t, file, map[string]string{"till": "rose"})
	g := startProxy(t, f.list, strings.Replace(tillsOnly, "USERS", file, 1))
	var said []string
	for i := range 12 {
		l := g.dial()
		for range 3 {
			l.send(auth([]string{"till", "nobody"}[i%2], "guess"))
			r := l.next(codec.AuthError, 9)
			said = append(said, r.Value)
		}
		l.ended()
	}
	for _, text := range said {
		if text != said[0] {
			t.Errorf("one guess was told %q, another %q", text, said[0])
		}
	}
	l := g.dial()
	l.send(auth("till", "rose"))
	l.next(codec.AuthError, 9)
	testutil.WaitUntil(t, "the allowance to come back", func() bool {
		l := g.dial()
		l.send(auth("till", "rose"))
		r, err := rawclient.ReadResponse(l.Reader)
		return err == nil && r.Status == codec.OK
	})
}

// TestListenerOfTheirOwn has binary clients come to an address that takes no others.
func TestListenerOfTheirOwn(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "[binary]\nlisten = \"127.0.0.1:0\"\n[[route]]\nlistener = \"binary\"\nclass = \"read\"\n")
	l := dialAt(t, g.server.BinaryAddress())
	l.send(get("k", 1))
	l.next(codec.OK, 1)
	text := dialAt(t, g.server.BinaryAddress())
	text.send([]byte("mn\r\n"))
	text.ended()
	main := dialAt(t, g.server.Address())
	main.send(bare(codec.Noop, 1))
	if line, err := main.Reader.ReadString('\n'); !strings.HasPrefix(line, "CLIENT_ERROR") {
		t.Errorf("the other listener answered %q, %v", line, err)
	}
	main = dialAt(t, g.server.Address())
	io.WriteString(main.Socket, "mn\r\n")
	if line, _ := main.Reader.ReadString('\n'); line != "MN\r\n" {
		t.Errorf("a meta client was answered %q", line)
	}
	g.stop()
	l.ended()
}

// TestNoRoomIsSaidInTheClientsWords guards against an answer in another dialect, which
// would break the framing, where values pile up behind tills that don't take theirs.
func TestNoRoomIsSaidInTheClientsWords(t *testing.T) {
	const tills, gets, size = 12, 100, 60000
	f := startNodesOf(t, size)
	g := startProxy(t, f.list, "[binary]\n[limits]\nmemory_mb = 32\n")
	var list []till
	for range tills {
		l := g.dial()
		l.Socket.(*net.TCPConn).SetReadBuffer(64 << 10)
		list = append(list, l)
		go func() {
			for i := range gets {
				l.send(rawclient.AppendKeyOnly(nil, codec.Get, "k", uint32(i)))
			}
		}()
	}
	asked := func() (n int) {
		for _, n1 := range f.nodes {
			n += n1.Stats().Requests
		}
		return n
	}
	for last, since := -1, time.Now(); time.Since(since) < 300*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if now := asked(); now != last {
			last, since = now, time.Now()
		}
	}
	told := 0
	for _, l := range list {
		for i := range gets {
			r, err := rawclient.ReadResponse(l.Reader)
			if err != nil || r.Opaque != uint32(i) {
				t.Fatalf("answer %d: opaque %d, error %v", i, r.Opaque, err)
			}
			switch r.Status {
			case codec.OK, codec.Busy:
			case codec.OutOfMemory:
				told++
			default:
				t.Fatalf("answer %d has status %#x", i, r.Status)
			}
		}
	}
	if told == 0 {
		t.Error("the budget was never spent: nothing was shown")
	}
}
