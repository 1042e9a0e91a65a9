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
	"mulleinpier/internal/request"
)

// This file runs the conformance suite: a table of cases, each played with both dialects of clients and of nodes, by a
// real process of the proxy between scripted nodes. What a case wants is described in terms of neither dialect.

const (
	// conformDeadline is the deadline of every class in the suite.
	conformDeadline = 900 * time.Millisecond
	// conformTolerance is for a busy machine: nothing is answered after the deadline otherwise.
	conformTolerance = 2 * time.Second
	// conformAtOnce bounds the fleets of the suite at a time.
	conformAtOnce = 6
	conformNodes  = 3
	// warmKey starts the keys that are read before the steps of a case.
	warmKey   = "warm"
	warmReads = 300
	warmKeys  = 30
)

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

// combination is the dialects of client and nodes.
type combination struct{ client, nodes scriptednode.Dialect }

// String is the name of a combination in reports.
func (c combination) String() string { return string(c.client) + "/" + string(c.nodes) }

var combinations = []combination{
	{scriptednode.Meta, scriptednode.Meta},
	{scriptednode.Meta, scriptednode.Binary},
	{scriptednode.Binary, scriptednode.Meta},
	{scriptednode.Binary, scriptednode.Binary},
}

// RunConformance runs the suite.
func RunConformance(ctx context.Context, o Options) (*ConformanceReport, error) {
	report := &ConformanceReport{}
	var mu sync.Mutex
	var errs []error
	var tasks sync.WaitGroup
	slots := make(chan struct{}, conformAtOnce)
	for i := range conformCases {
		k := &conformCases[i]
		row := ConformanceRow{Case: k.name, Failures: make(map[string]string)}
		for _, c := range combinations {
			slots <- struct{}{}
			if ctx.Err() != nil {
				<-slots
				continue
			}
			tasks.Go(func() {
				defer func() { <-slots }()
				path := filepath.Join(o.Folder, fmt.Sprintf("conform-%d-%s-%s", i, c.client, c.nodes))
				wrong, err := k.play(o, c, path)
				mu.Lock()
				defer mu.Unlock()
				report.CasesRun++
				if err != nil {
					errs = append(errs, fmt.Errorf("%s, %s: %w", k.name, c, err))
				}
				if wrong != "" {
					row.Failures[c.String()] = wrong
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
func (k *conformCase) play(o Options, c combination, path string) (wrong string, err error) {
	nodes, err := scriptednode.Start(c.nodes, conformNodes, k.reaction())
	if err != nil {
		return "", err
	}
	defer nodes.Close()
	entries := k.entries(nodes, c.nodes)
	list := endpointlist.New(entries)
	defer list.Close()
	process, address, err := startConformProxy(o, list, path)
	if err != nil {
		return "", err
	}
	defer process.end(syscall.SIGKILL)
	if err := process.awaitReady(); err != nil {
		return "", err
	}
	var drained time.Time
	if k.drain {
		if drained, err = drainFirst(list, entries[0]); err != nil {
			return "", err
		}
	}
	conn, err := rawclient.Dial(c.client, address, processTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Socket.Close()
	if k.warm {
		if err := warmUpProxy(conn); err != nil {
			return "", err
		}
	}
	if wrong := k.askInTime(conn, c.nodes); wrong != "" {
		return wrong, nil
	}
	return k.judge(nodes.Requests(), c.nodes, drained), nil
}

// reaction is what nodes do with requests.
func (k *conformCase) reaction() func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
	var mu sync.Mutex
	left := slices.Clone(k.react)
	return func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(r.Key, warmKey) {
			return scriptednode.Serve
		}
		if reaction, ok := k.by[r.Key]; ok {
			return reaction
		}
		if len(left) == 0 {
			return scriptednode.Serve
		}
		reaction := left[0]
		left = left[1:]
		return reaction
	}
}

// entries are the nodes' entries in the list. All nodes but the last close their listeners if the case says so.
func (k *conformCase) entries(nodes *scriptednode.Nodes, dialect scriptednode.Dialect) (list []endpointlist.Entry) {
	nodeType := "m1"
	if dialect == scriptednode.Binary {
		nodeType = "b1"
	}
	for i := range conformNodes {
		list = append(list, endpointlist.Entry{
			Name:    fmt.Sprintf("n%d", i),
			Address: nodes.Address(i),
			Type:    nodeType,
			Status:  "up",
			Weight:  1,
		})
		if k.dead && i < conformNodes-1 {
			nodes.CloseListener(i)
		}
	}
	return list
}

// startConformProxy starts a proxy that follows a list, and returns its address.
func startConformProxy(o Options, list *endpointlist.Service, path string) (p *process, address string, err error) {
	listAddress, err := list.Open(0)
	if err != nil {
		return nil, "", err
	}
	if address, err = freeAddress(); err != nil {
		return nil, "", err
	}
	const format = "listen = %q\ntypes = [\"m1\", \"b1\"]\n[nodes]\ndiscovery = %q\n" +
		"[limits]\nmemory_mb = 32\n[binary]\ntypes = [\"b1\"]\n"
	text := fmt.Sprintf(format, address, listAddress)
	for _, class := range []string{
		"name = \"read\"\n",
		"name = \"write\"\neffect = \"keyed\"\nwindow = \"1500ms\"\n",
		"name = \"plain\"\neffect = \"unsafe\"\n",
	} {
		text += fmt.Sprintf("[[class]]\n%saim = \"300ms\"\ndeadline = %q\n", class, conformDeadline)
	}
	if err := os.WriteFile(path+".toml", []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	p, err = startProcess(append(slices.Clone(o.ProxyCommand), path+".toml"), nil, path+".log")
	return p, address, err
}

// warmUpProxy reads some keys many times.
func warmUpProxy(c *rawclient.Client) error {
	for i := range warmReads {
		if err := c.Read(fmt.Sprint(warmKey, i%warmKeys)); err != nil {
			return err
		}
		if _, err := c.Next(); err != nil {
			return err
		}
	}
	return nil
}

// drainFirst has the list report that a node drains, and returns when the proxy has to act on it.
func drainFirst(list *endpointlist.Service, e endpointlist.Entry) (time.Time, error) {
	e.Status = "draining"
	list.Set(e)
	for until := time.Now().Add(processTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if notified, ok := list.DrainNotifiedAt(0, e.Name); ok {
			time.Sleep(time.Until(notified.Add(drainGrace)))
			return notified.Add(drainGrace), nil
		}
	}
	return time.Time{}, fmt.Errorf("the proxy was not notified of the drain in %v", processTimeout)
}

// askInTime runs the steps, and describes what was wrong, or took too long.
func (k *conformCase) askInTime(c *rawclient.Client, nodes scriptednode.Dialect) string {
	start := time.Now()
	if wrong := k.ask(c, nodes); wrong != "" {
		return wrong
	}
	took := time.Since(start)
	if took > conformDeadline+conformTolerance && !k.turns {
		return fmt.Sprintf("answered after %v of %v", took, conformDeadline)
	}
	if k.quick && took > conformDeadline*2/3 {
		return fmt.Sprintf("given up after %v of %v", took, conformDeadline)
	}
	return ""
}

// ask runs the steps, and describes what was not answered as wanted.
func (k *conformCase) ask(c *rawclient.Client, nodes scriptednode.Dialect) string {
	for i := range k.steps {
		if k.turns {
			break
		}
		if err := k.send(c, i); err != nil {
			return fmt.Sprintf("sending step %d: %v", i, err)
		}
	}
	for i := range k.steps {
		if k.turns {
			if err := k.send(c, i); err != nil {
				return fmt.Sprintf("sending step %d: %v", i, err)
			}
		}
		if wrong := k.checkAnswer(c, i, nodes); wrong != "" {
			return wrong
		}
	}
	return ""
}

// send sends a step.
func (k *conformCase) send(c *rawclient.Client, i int) error {
	s := k.steps[i]
	if s.effect != "" {
		return c.Write(s.key, s.value, s.effect, fmt.Sprint("w", i))
	}
	return c.Read(s.key)
}

// checkAnswer reads the answer to a step, and describes what was wrong with it.
func (k *conformCase) checkAnswer(c *rawclient.Client, i int, nodes scriptednode.Dialect) string {
	s := k.steps[i]
	want := s.want
	if s.unlike != "" && nodes == scriptednode.Binary {
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
	return ""
}

// judge describes what was sent to nodes and must not have been, or was not sent.
func (k *conformCase) judge(
	requests []scriptednode.ReceivedRequest, nodes scriptednode.Dialect, drained time.Time,
) string {
	requests = slices.DeleteFunc(requests, func(r scriptednode.ReceivedRequest) bool {
		return strings.HasPrefix(r.Key, warmKey)
	})
	lowest, highest := k.sent, max(k.sent, k.most)
	if k.none && nodes == scriptednode.Binary {
		lowest, highest = 0, 0
	}
	if n := len(requests); k.sent >= 0 && (n < lowest || n > highest) {
		return fmt.Sprintf("%d requests sent to nodes, want %d to %d", n, lowest, highest)
	}
	for _, r := range requests {
		if !drained.IsZero() && r.Node == 0 && r.ReceivedAt.After(drained) {
			return fmt.Sprintf("%s was sent to a node that drains", r.Key)
		}
		if k.same && (r.IdempotencyKey == "" || r.IdempotencyKey != requests[0].IdempotencyKey) {
			return fmt.Sprintf("a repeat was sent under %q after %q", r.IdempotencyKey, requests[0].IdempotencyKey)
		}
	}
	return ""
}

// OK reports whether every case was as wanted.
func (r *ConformanceReport) OK() bool {
	for _, row := range r.Rows {
		if len(row.Failures) > 0 {
			return false
		}
	}
	return r.CasesRun == len(conformCases)*len(combinations)
}

// Print writes the report as a table.
func (r *ConformanceReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "client/node")
	for _, c := range combinations {
		fmt.Fprint(w, "\t", c)
	}
	fmt.Fprintln(w)
	for _, row := range r.Rows {
		fmt.Fprint(w, row.Case)
		for _, c := range combinations {
			word := "ok"
			if row.Failures[c.String()] != "" {
				word = "WRONG"
			}
			fmt.Fprint(w, "\t", word)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	for _, row := range r.Rows {
		for c, wrong := range row.Failures {
			fmt.Fprintf(out, "%s, %s: %s\n", row.Case, c, wrong)
		}
	}
	word := "ok"
	if !r.OK() {
		word = "WRONG"
	}
	fmt.Fprintf(out, "verdict: %s, %d played\n", word, r.CasesRun)
}
