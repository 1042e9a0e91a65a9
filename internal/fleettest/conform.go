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

// This file runs the conformance suite: a table of cases, each run with every combination of client and node dialect,
// against a real proxy process in front of scripted nodes. The cases do not depend on the dialects.

const (
	// conformDeadline is the deadline of every class in the suite.
	conformDeadline = 900 * time.Millisecond
	// conformTolerance is the time after the deadline within which the last answer may arrive, because the machine may
	// be busy. The proxy itself must not answer after the deadline.
	conformTolerance = 2 * time.Second
	// maxConcurrentRuns limits the cases that run at the same time, each with its own proxy and nodes.
	maxConcurrentRuns = 6
	conformNodes      = 3
	// warmKeyPrefix starts the keys that are read to warm up the proxy before the steps of a case.
	warmKeyPrefix = "warm"
	warmReads     = 300
	warmKeys      = 30
)

// ConformanceRow is the result of one case. Failures describes the failed runs by client and node dialect, such as
// "meta/binary"; a run that passed has no entry.
type ConformanceRow struct {
	Case     string            `json:"case"`
	Failures map[string]string `json:"wrong"`
}

// ConformanceReport is the result of the suite. CasesRun counts every combination of a case.
type ConformanceReport struct {
	CasesRun int              `json:"played"`
	Rows     []ConformanceRow `json:"rows"`
}

// combination is the dialect of the client and that of the nodes.
type combination struct{ client, nodes scriptednode.Dialect }

// String returns the name of the combination in reports, client first.
func (c combination) String() string { return string(c.client) + "/" + string(c.nodes) }

var combinations = []combination{
	{scriptednode.Meta, scriptednode.Meta},
	{scriptednode.Meta, scriptednode.Binary},
	{scriptednode.Binary, scriptednode.Meta},
	{scriptednode.Binary, scriptednode.Binary},
}

// RunConformance runs every case with every combination of dialects. It returns an error if a case could not be run;
// failures of cases are in the report.
func RunConformance(ctx context.Context, o Options) (*ConformanceReport, error) {
	report := &ConformanceReport{}
	var mu sync.Mutex
	var errs []error
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRuns)
	for i := range conformCases {
		test := &conformCases[i]
		row := ConformanceRow{Case: test.name, Failures: make(map[string]string)}
		for _, c := range combinations {
			slots <- struct{}{}
			if ctx.Err() != nil {
				<-slots
				continue
			}
			tasks.Go(func() {
				defer func() { <-slots }()
				path := filepath.Join(o.Folder, fmt.Sprintf("conform-%d-%s-%s", i, c.client, c.nodes))
				problem, err := test.run(o, c, path)
				mu.Lock()
				defer mu.Unlock()
				report.CasesRun++
				if err != nil {
					errs = append(errs, fmt.Errorf("%s, %s: %w", test.name, c, err))
				}
				if problem != "" {
					row.Failures[c.String()] = problem
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

// run runs the case with one combination of dialects, and returns a description of the first problem, "" for none.
func (test *conformCase) run(o Options, c combination, path string) (problem string, err error) {
	nodes, err := scriptednode.Start(c.nodes, conformNodes, test.reactFunc())
	if err != nil {
		return "", err
	}
	defer nodes.Close()
	entries := test.entries(nodes, c.nodes)
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
	if test.drain {
		if drained, err = drainFirst(list, entries[0]); err != nil {
			return "", err
		}
	}
	conn, err := rawclient.Dial(c.client, address, processTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Socket.Close()
	if test.warm {
		if err := warmUpProxy(conn); err != nil {
			return "", err
		}
	}
	if problem := test.runStepsInTime(conn, c.nodes); problem != "" {
		return problem, nil
	}
	return test.checkRequests(nodes.Requests(), c.nodes, drained), nil
}

// reactFunc returns the function that decides how the nodes react to each request.
func (test *conformCase) reactFunc() func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
	var mu sync.Mutex
	remaining := slices.Clone(test.reactions)
	return func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(r.Key, warmKeyPrefix) {
			return scriptednode.Serve
		}
		if reaction, ok := test.reactionByKey[r.Key]; ok {
			return reaction
		}
		if len(remaining) == 0 {
			return scriptednode.Serve
		}
		reaction := remaining[0]
		remaining = remaining[1:]
		return reaction
	}
}

// entries returns the nodes' entries for the endpoint list. If onlyLastListens is set, it closes the listeners of the
// other nodes.
func (test *conformCase) entries(nodes *scriptednode.Nodes, dialect scriptednode.Dialect) (list []endpointlist.Entry) {
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
		if test.onlyLastListens && i < conformNodes-1 {
			nodes.CloseListener(i)
		}
	}
	return list
}

// startConformProxy starts a proxy that takes its nodes from list, and returns its address.
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

// warmUpProxy reads a few keys many times, one read at a time.
func warmUpProxy(c *rawclient.Client) error {
	for i := range warmReads {
		if err := c.Read(fmt.Sprint(warmKeyPrefix, i%warmKeys)); err != nil {
			return err
		}
		if _, err := c.Next(); err != nil {
			return err
		}
	}
	return nil
}

// drainFirst reports a node as draining, waits until the proxy must no longer send requests to the node, and returns
// the time at the end of this wait.
func drainFirst(list *endpointlist.Service, e endpointlist.Entry) (time.Time, error) {
	e.Status = "draining"
	list.Set(e)
	for until := time.Now().Add(processTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if notified, ok := list.DrainNotifiedAt(0, e.Name); ok {
			time.Sleep(time.Until(notified.Add(drainGrace)))
			return notified.Add(drainGrace), nil
		}
	}
	return time.Time{}, fmt.Errorf("the proxy was not notified of the drain within %v", processTimeout)
}

// runStepsInTime runs the steps, and describes the first wrong answer or how late the answers were; "" if all is well.
func (test *conformCase) runStepsInTime(c *rawclient.Client, nodes scriptednode.Dialect) string {
	start := time.Now()
	if problem := test.runSteps(c, nodes); problem != "" {
		return problem
	}
	took := time.Since(start)
	if took > conformDeadline+conformTolerance && !test.sequential {
		return fmt.Sprintf("answered after %v, long after the deadline of %v", took, conformDeadline)
	}
	if test.quick && took > conformDeadline*2/3 {
		return fmt.Sprintf("answered after %v, later than two thirds of the deadline of %v", took, conformDeadline)
	}
	return ""
}

// runSteps runs the steps, and describes the first answer that is not the expected one.
func (test *conformCase) runSteps(c *rawclient.Client, nodes scriptednode.Dialect) string {
	for i := range test.steps {
		if test.sequential {
			break
		}
		if err := test.send(c, i); err != nil {
			return fmt.Sprintf("sending step %d: %v", i, err)
		}
	}
	for i := range test.steps {
		if test.sequential {
			if err := test.send(c, i); err != nil {
				return fmt.Sprintf("sending step %d: %v", i, err)
			}
		}
		if problem := test.checkAnswer(c, i, nodes); problem != "" {
			return problem
		}
	}
	return ""
}

// send sends a step without waiting for its answer.
func (test *conformCase) send(c *rawclient.Client, i int) error {
	s := test.steps[i]
	if s.class != "" {
		return c.Write(s.key, s.value, s.class, fmt.Sprint("w", i))
	}
	return c.Read(s.key)
}

// checkAnswer reads the answer to a step, and describes what is wrong with it.
func (test *conformCase) checkAnswer(c *rawclient.Client, i int, nodes scriptednode.Dialect) string {
	s := test.steps[i]
	want := s.want
	if s.wantBinary != "" && nodes == scriptednode.Binary {
		want = s.wantBinary
	}
	got, err := c.Next()
	if err != nil {
		return fmt.Sprintf("answer %d: %v, want %s", i, err, want)
	}
	if got.String() != want {
		return fmt.Sprintf("answer %d is %q, want %q", i, got, want)
	}
	if got.Kind == request.Busy && got.RetryAfter <= 0 && test.quick && s.wantBinary == "" {
		return fmt.Sprintf("answer %d is busy without a Retry-After", i)
	}
	return ""
}

// checkRequests describes what is wrong with the requests that the nodes received.
func (test *conformCase) checkRequests(
	requests []scriptednode.ReceivedRequest, nodes scriptednode.Dialect, drained time.Time,
) string {
	requests = slices.DeleteFunc(requests, func(r scriptednode.ReceivedRequest) bool {
		return strings.HasPrefix(r.Key, warmKeyPrefix)
	})
	lowest, highest := test.minSent, max(test.minSent, test.maxSent)
	if test.noneToBinary && nodes == scriptednode.Binary {
		lowest, highest = 0, 0
	}
	if n := len(requests); test.minSent >= 0 && (n < lowest || n > highest) {
		return fmt.Sprintf("%d requests sent to nodes, want %d to %d", n, lowest, highest)
	}
	for _, r := range requests {
		if !drained.IsZero() && r.Node == 0 && r.ReceivedAt.After(drained) {
			return fmt.Sprintf("%s was sent to a draining node", r.Key)
		}
		if test.sameIdempotencyKey && (r.IdempotencyKey == "" || r.IdempotencyKey != requests[0].IdempotencyKey) {
			return fmt.Sprintf("a request has idempotency key %q, want %q",
				r.IdempotencyKey, requests[0].IdempotencyKey)
		}
	}
	return ""
}

// OK reports whether all cases were run with all combinations, and none failed.
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
			verdict := "ok"
			if row.Failures[c.String()] != "" {
				verdict = "WRONG"
			}
			fmt.Fprint(w, "\t", verdict)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	for _, row := range r.Rows {
		for c, problem := range row.Failures {
			fmt.Fprintf(out, "%s, %s: %s\n", row.Case, c, problem)
		}
	}
	verdict := "ok"
	if !r.OK() {
		verdict = "WRONG"
	}
	fmt.Fprintf(out, "verdict: %s, %d played\n", verdict, r.CasesRun)
}
