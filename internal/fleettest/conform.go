package fleettest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// This file holds the conformance suite: a table of cases, each played with both dialects of clients and of nodes, by a
// real process of the proxy between scripted nodes. What a case wants is described in terms of neither dialect.

// conformDeadline is the deadline of every class in the suite.
const conformDeadline = 900 * time.Millisecond

// step is one command of a client. Times between steps are up to the case.
type step struct {
	key, value string
	effect     rawclient.Effect // of a write; "" for a read
	want       string           // an answer, as [rawclient.Answer.String] has it
	unlike     string           // the same where nodes speak binary, if it differs
}

// conformCase is one case. Its steps are sent together, and answered in order.
type conformCase struct {
	name  string
	react []scriptednode.Reaction          // to the requests in their order over all nodes; then Serve
	by    map[string]scriptednode.Reaction // to requests by key, before react
	dead  bool                             // no node but the last listens
	turns bool                             // a step is sent once the one before is answered
	warm  bool                             // it has served for a while: a fresh proxy rejects some of many requests at once
	drain bool                             // the first node drains before the steps
	steps []step
	sent  int  // requests to nodes at least; -1 for any number
	most  int  // and at most; 0 for no more than sent
	none  bool // where nodes speak binary, nothing is sent to them
	same  bool // all requests have one idempotency key, where the dialect has room for it
	quick bool // it is answered long before the deadline
}

func read(key, want string) step { return step{key: key, want: want} }

func write(effect rawclient.Effect, key, want string) step {
	return step{key: key, value: "delivered", effect: effect, want: want}
}

// keyed is a step of a keyed write, which binary nodes can't carry out.
func keyed(key, want string) step {
	s := write(rawclient.Keyed, key, want)
	s.unlike = "busy"
	return s
}

func reads(n int) (steps []step) {
	for i := range n {
		key := fmt.Sprintf("k%d", i)
		steps = append(steps, read(key, "value "+scriptednode.Value(key)))
	}
	return steps
}

var largest = fmt.Sprintf("value %d bytes", meta.MaxValue)

var conformCases = []conformCase{
	{name: "read", steps: []step{read("k", "value v:k")}, sent: 1},
	{name: "read of the largest value", steps: []step{read("big", largest)}, sent: 1},
	{name: "read of no such key", react: []scriptednode.Reaction{scriptednode.Miss}, steps: []step{read("k", "missing")}, sent: 1},
	{name: "read turned away", react: []scriptednode.Reaction{scriptednode.Busy}, steps: []step{read("k", "busy")}, sent: 1, quick: true},
	{name: "read that failed", react: []scriptednode.Reaction{scriptednode.Fail}, steps: []step{read("k", "busy")}, sent: 1, quick: true},
	{name: "read reset", react: []scriptednode.Reaction{scriptednode.Reset}, steps: []step{read("k", "value v:k")}, sent: 2},
	{name: "read ended within its answer", react: []scriptednode.Reaction{scriptednode.TruncatedAnswer}, steps: []step{read("k", "value v:k")}, sent: 2},
	{name: "read answered by noise", react: []scriptednode.Reaction{scriptednode.Garbage}, steps: []step{read("k", "value v:k")}, sent: 2},
	{name: "read answered by another's", react: []scriptednode.Reaction{scriptednode.OtherAnswer}, steps: []step{read("k", "value v:k")}, sent: 2},
	{name: "read answered by 3 GB", react: []scriptednode.Reaction{scriptednode.EndlessValue}, steps: []step{read("k", "value v:k")}, sent: 2},
	{name: "read answered twice", react: []scriptednode.Reaction{scriptednode.DuplicateAnswer}, steps: []step{read("k", "value v:k")}, sent: 1},
	{name: "read after one answered twice", react: []scriptednode.Reaction{scriptednode.DuplicateAnswer}, turns: true, sent: 2,
		steps: []step{read("k", "value v:k"), read("k", "value v:k")}},
	{name: "read at a node that hangs", react: []scriptednode.Reaction{scriptednode.Hang}, steps: []step{read("k", "busy")}, sent: 1, most: 4},
	{name: "read where all nodes hang", react: slices.Repeat([]scriptednode.Reaction{scriptednode.Hang}, 20), steps: []step{read("k", "busy")},
		sent: 1, most: 4},
	{name: "read where one node listens", dead: true, steps: []step{read("k", "value v:k")}, sent: 1},
	{name: "read where a node drains", drain: true, steps: reads(8), sent: 8},
	{name: "pipeline of reads, some slow", steps: reads(30), sent: 30, warm: true,
		by: map[string]scriptednode.Reaction{"k0": scriptednode.Slow, "k7": scriptednode.Slow, "k12": scriptednode.Slow}},
	{name: "pipeline of reads, some spoilt", steps: reads(20), sent: 20, most: 60, warm: true,
		react: []scriptednode.Reaction{scriptednode.Serve, scriptednode.OtherAnswer, scriptednode.Serve, scriptednode.TruncatedAnswer, scriptednode.Garbage, scriptednode.Serve, scriptednode.Reset}},
	{name: "pipeline of all kinds", sent: -1, by: map[string]scriptednode.Reaction{"none": scriptednode.Miss, "full": scriptednode.Busy},
		steps: []step{read("a", "value v:a"), read("none", "missing"), write(rawclient.Unsafe, "b", "stored 7"), read("full", "busy"),
			read("c", "value v:c"), {key: "\x7f", want: "bad"}, read("big", largest), read("none", "missing"), read("d", "value v:d")}},
	{name: "unsafe write", steps: []step{write(rawclient.Unsafe, "k", "stored 7")}, sent: 1},
	{name: "unsafe write turned away", react: []scriptednode.Reaction{scriptednode.Busy}, steps: []step{write(rawclient.Unsafe, "k", "busy")}, sent: 1, quick: true},
	{name: "unsafe write that failed", react: []scriptednode.Reaction{scriptednode.Fail}, steps: []step{write(rawclient.Unsafe, "k", "failed")}, sent: 1, quick: true},
	{name: "unsafe write reset", react: []scriptednode.Reaction{scriptednode.Reset}, steps: []step{write(rawclient.Unsafe, "k", "failed")}, sent: 1, quick: true},
	{name: "unsafe write answered by noise", react: []scriptednode.Reaction{scriptednode.Garbage}, steps: []step{write(rawclient.Unsafe, "k", "failed")}, sent: 1, quick: true},
	{name: "unsafe write answered by another's", react: []scriptednode.Reaction{scriptednode.OtherAnswer}, steps: []step{write(rawclient.Unsafe, "k", "failed")}, sent: 1, quick: true},
	{name: "unsafe write at a node that hangs", react: []scriptednode.Reaction{scriptednode.Hang}, steps: []step{write(rawclient.Unsafe, "k", "failed")}, sent: 1},
	{name: "unsafe write where one node listens", dead: true, steps: []step{write(rawclient.Unsafe, "k", "stored 7")}, sent: 1},
	{name: "unsafe write of the largest value", steps: []step{{key: "k", value: strings.Repeat("v", meta.MaxValue), effect: rawclient.Unsafe, want: "stored 7"}}, sent: 1},
	{name: "unsafe write of a value too large", steps: []step{{key: "k", value: strings.Repeat("v", meta.MaxValue+1), effect: rawclient.Unsafe, want: "bad"}}},
	{name: "keyed write", steps: []step{keyed("k", "stored 7")}, sent: 1, none: true, quick: true},
	{name: "keyed write turned away", react: []scriptednode.Reaction{scriptednode.Busy}, steps: []step{keyed("k", "busy")}, sent: 1, none: true, quick: true},
	{name: "keyed write reset", react: []scriptednode.Reaction{scriptednode.Reset}, steps: []step{keyed("k", "stored 7")}, sent: 2, none: true, same: true},
	{name: "keyed write answered by noise", react: []scriptednode.Reaction{scriptednode.Garbage}, steps: []step{keyed("k", "stored 7")}, sent: 2, none: true, same: true},
	{name: "keyed write answered by another's", react: []scriptednode.Reaction{scriptednode.OtherAnswer}, steps: []step{keyed("k", "stored 7")}, sent: 2, none: true, same: true},
	{name: "keyed write where a node drains", drain: true, steps: []step{keyed("k", "stored 7")}, sent: 1, none: true},
}

// ConformanceRow is the result of one case: what was wrong, by dialects of client and node; "" where nothing was.
type ConformanceRow struct {
	Case     string            `json:"case"`
	Failures map[string]string `json:"wrong"`
}

// ConformanceReport is the result of the suite.
type ConformanceReport struct {
	CasesRun int              `json:"played"`
	Rows     []ConformanceRow `json:"rows"`
}

// combinations are client and node.
var combinations = [][2]scriptednode.Dialect{{scriptednode.Meta, scriptednode.Meta}, {scriptednode.Meta, scriptednode.Binary}, {scriptednode.Binary, scriptednode.Meta},
	{scriptednode.Binary, scriptednode.Binary}}

func combination(c [2]scriptednode.Dialect) string { return string(c[0]) + "/" + string(c[1]) }

// warmKey starts the keys that are read before the steps of a case.
const warmKey = "warm"

// conformAtOnce bounds the fleets of the suite at a time.
const conformAtOnce = 6

// RunConformance runs the suite.
func RunConformance(ctx context.Context, o Options) (*ConformanceReport, error) {
	report := &ConformanceReport{}
	var mu sync.Mutex
	var errs []error
	var tasks sync.WaitGroup
	places := make(chan struct{}, conformAtOnce)
	for i := range conformCases {
		k := &conformCases[i]
		row := ConformanceRow{Case: k.name, Failures: make(map[string]string)}
		for _, c := range combinations {
			places <- struct{}{}
			if ctx.Err() != nil {
				<-places
				continue
			}
			tasks.Go(func() {
				defer func() { <-places }()
				wrong, err := k.play(o, c[0], c[1], filepath.Join(o.Folder, fmt.Sprintf("conform-%d-%s-%s", i, c[0], c[1])))
				mu.Lock()
				defer mu.Unlock()
				report.CasesRun++
				if err != nil {
					errs = append(errs, fmt.Errorf("%s, %s: %w", k.name, combination(c), err))
				}
				if wrong != "" {
					row.Failures[combination(c)] = wrong
				}
			})
		}
		report.Rows = append(report.Rows, row)
	}
	tasks.Wait()
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return report, ctx.Err()
}

// play runs the case once, and describes what was wrong.
func (k *conformCase) play(o Options, client, dialect scriptednode.Dialect, path string) (wrong string, err error) {
	var mu sync.Mutex
	left := slices.Clone(k.react)
	nodes, err := scriptednode.Start(dialect, 3, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(a.Key, warmKey) {
			return scriptednode.Serve
		}
		if do, ok := k.by[a.Key]; ok {
			return do
		}
		if len(left) == 0 {
			return scriptednode.Serve
		}
		do := left[0]
		left = left[1:]
		return do
	})
	if err != nil {
		return "", err
	}
	defer nodes.Close()
	var entries []endpointlist.Entry
	for i := range 3 {
		e := endpointlist.Entry{Name: fmt.Sprintf("n%d", i), Address: nodes.Address(i), Type: "m1", Status: "up", Weight: 1}
		if dialect == scriptednode.Binary {
			e.Type = "b1"
		}
		entries = append(entries, e)
		if k.dead && i < 2 {
			nodes.CloseListener(i)
		}
	}
	service := endpointlist.New(entries)
	defer service.Close()
	listAt, err := service.Open(0)
	if err != nil {
		return "", err
	}
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("listen = %q\ntypes = [\"m1\", \"b1\"]\n[nodes]\ndiscovery = %q\n[limits]\nmemory_mb = 32\n[binary]\ntypes = [\"b1\"]\n", address, listAt)
	for _, class := range []string{"name = \"read\"\n", "name = \"write\"\neffect = \"keyed\"\nwindow = \"1500ms\"\n", "name = \"plain\"\neffect = \"unsafe\"\n"} {
		text += fmt.Sprintf("[[class]]\n%saim = \"300ms\"\ndeadline = %q\n", class, conformDeadline)
	}
	if err := os.WriteFile(path+".toml", []byte(text), 0o600); err != nil {
		return "", err
	}
	p, err := startProcess(append(slices.Clone(o.ProxyCommand), path+".toml"), nil, path+".log")
	if err != nil {
		return "", err
	}
	defer p.end(syscall.SIGKILL)
	if err := p.awaitReady(); err != nil {
		return "", err
	}
	var drained time.Time
	if k.drain {
		if drained, err = drainFirst(service, entries[0]); err != nil {
			return "", err
		}
	}
	c, err := rawclient.Dial(client, address, processTimeout)
	if err != nil {
		return "", err
	}
	defer c.Socket.Close()
	if k.warm {
		for i := range 300 {
			if err := c.Read(fmt.Sprint(warmKey, i%30)); err != nil {
				return "", err
			}
			if _, err := c.Next(); err != nil {
				return "", err
			}
		}
	}
	begun := time.Now()
	if wrong = k.ask(c, dialect); wrong != "" {
		return wrong, nil
	}
	// Nobody is answered after the deadline; the rest is for a busy machine.
	if took := time.Since(begun); took > conformDeadline+2*time.Second && !k.turns {
		return fmt.Sprintf("answered after %v of %v", took, conformDeadline), nil
	}
	// Given up at once: not held until near the deadline.
	if took := time.Since(begun); k.quick && took > conformDeadline*2/3 {
		return fmt.Sprintf("given up after %v of %v", took, conformDeadline), nil
	}
	asked := slices.DeleteFunc(nodes.Requests(), func(a scriptednode.ReceivedRequest) bool { return strings.HasPrefix(a.Key, warmKey) })
	return k.judge(asked, dialect, drained), nil
}

// drainFirst has the list report that a node drains, and returns when the proxy has to act on it.
func drainFirst(service *endpointlist.Service, e endpointlist.Entry) (time.Time, error) {
	e.Status = "draining"
	service.Set(e)
	for until := time.Now().Add(processTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if told, ok := service.DrainNotifiedAt(0, e.Name); ok {
			time.Sleep(time.Until(told.Add(drainGrace)))
			return told.Add(drainGrace), nil
		}
	}
	return time.Time{}, fmt.Errorf("the drain was not told in %v", processTimeout)
}

// ask runs the steps, and describes what was not answered as wanted.
func (k *conformCase) ask(c *rawclient.Client, dialect scriptednode.Dialect) string {
	send := func(i int) error {
		if s := k.steps[i]; s.effect != "" {
			return c.Write(s.key, s.value, s.effect, fmt.Sprint("w", i))
		}
		return c.Read(k.steps[i].key)
	}
	for i := 0; i < len(k.steps) && !k.turns; i++ {
		if err := send(i); err != nil {
			return fmt.Sprintf("sending step %d: %v", i, err)
		}
	}
	for i, s := range k.steps {
		if k.turns {
			if err := send(i); err != nil {
				return fmt.Sprintf("sending step %d: %v", i, err)
			}
		}
		want := s.want
		if s.unlike != "" && dialect == scriptednode.Binary {
			want = s.unlike
		}
		got, err := c.Next()
		if err != nil {
			return fmt.Sprintf("answer %d: %v, want %s", i, err, want)
		}
		if got.String() != want {
			return fmt.Sprintf("answer %d is %q, want %q", i, got, want)
		}
		if got.Kind == request.Busy && got.RetryAfter <= 0 && k.quick && s.unlike == "" {
			return fmt.Sprintf("answer %d is busy without advice", i)
		}
	}
	return ""
}

// judge describes what was sent to nodes and must not have been, or was not sent.
func (k *conformCase) judge(asked []scriptednode.ReceivedRequest, dialect scriptednode.Dialect, drained time.Time) string {
	least, most := k.sent, max(k.sent, k.most)
	if k.none && dialect == scriptednode.Binary {
		least, most = 0, 0
	}
	if n := len(asked); k.sent >= 0 && (n < least || n > most) {
		return fmt.Sprintf("%d requests sent to nodes, want %d to %d", n, least, most)
	}
	for _, a := range asked {
		if !drained.IsZero() && a.Node == 0 && a.At.After(drained) {
			return fmt.Sprintf("%s was sent to a node that drains", a.Key)
		}
		if k.same && (a.Idempotency == "" || a.Idempotency != asked[0].Idempotency) {
			return fmt.Sprintf("a repeat went out under %q after %q", a.Idempotency, asked[0].Idempotency)
		}
	}
	return ""
}

// OK reports whether every case was as wanted.
func (r *ConformanceReport) OK() bool {
	return !slices.ContainsFunc(r.Rows, func(row ConformanceRow) bool { return len(row.Failures) > 0 }) &&
		r.CasesRun == len(conformCases)*len(combinations)
}

// Print writes the report as a table.
func (r *ConformanceReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "client/node")
	for _, c := range combinations {
		fmt.Fprint(w, "\t", combination(c))
	}
	fmt.Fprintln(w)
	for _, row := range r.Rows {
		fmt.Fprint(w, row.Case)
		for _, c := range combinations {
			if row.Failures[combination(c)] == "" {
				fmt.Fprint(w, "\tok")
			} else {
				fmt.Fprint(w, "\tWRONG")
			}
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	for _, row := range r.Rows {
		for c, wrong := range row.Failures {
			fmt.Fprintf(out, "%s, %s: %s\n", row.Case, c, wrong)
		}
	}
	fmt.Fprintf(out, "verdict: %s, %d played\n", map[bool]string{true: "ok", false: "WRONG"}[r.OK()], r.CasesRun)
}
