package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	tickMillis      = 20
	sessionSeconds  = 24
	sessionProxies  = 3
	millisPerSecond = 1000
	ticksPerSession = sessionSeconds * millisPerSecond / tickMillis
	faultTicks      = 100                     // duration of a node's fault
	restartTick     = ticksPerSession * 3 / 4 // tick at which one proxy restarts with other settings
	relistTicks     = 40                      // longest delay until a change of the list is announced
	writeAttribute  = 1 << 2                  // marks a request as a write
)

// fleet is a small simulated fleet at the other end of the simulator's wire: it answers what the balancers send, acts
// as clients and discovery, and draws faults, drains and restarts from a seed.
type fleet struct {
	rng     *rand.Rand
	tick    int
	nodes   []simNode
	version int
	pending map[int][]string // lines to send, by tick; each line begins with the index of its proxy
	open    map[uint64]*simRequest
	nextID  uint64
	rate    float64 // arrivals per tick and proxy
	input   bytes.Buffer
}

type simNode struct {
	address     string
	zone, kind  int
	mode        string
	started     int // tick of the last start; 0 if the node started before the session
	faultUntil  int
	faultResult string
	cached      map[string]bool
}

type simRequest struct {
	proxy    int
	key      string
	attempts []simAttempt
}

type simAttempt struct {
	node int
	done bool
}

// playSession runs the adapter against a fleet, and returns the input and the output of the adapter.
func playSession(t *testing.T, seed uint64) (input, output []byte) {
	t.Helper()
	f := newFleet(seed)
	adapterInput, toAdapter := io.Pipe()
	fromAdapter, adapterOutput := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(adapterInput, adapterOutput) }()
	replies := bufio.NewReader(fromAdapter)
	var written bytes.Buffer
	for f.tick = 1; f.tick <= ticksPerSession; f.tick++ {
		batch := f.batch(seed)
		f.input.WriteString(batch)
		if _, err := io.WriteString(toAdapter, batch); err != nil {
			t.Fatal(err)
		}
		for proxy := -1; ; {
			line, err := replies.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			written.WriteString(line)
			parts := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
			if parts[0] == "next" {
				break
			}
			if parts[0] == "context" {
				proxy = number(t, strings.TrimPrefix(parts[1], "proxy/"))
				continue
			}
			f.act(t, proxy, parts)
		}
	}
	toAdapter.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return f.input.Bytes(), written.Bytes()
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return int(n)
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), pending: map[int][]string{}, open: map[uint64]*simRequest{},
		nextID: 1 << 20, version: 1}
	f.rate = 0.5 + 2.5*f.rng.Float64()
	for i := range 4 + f.rng.IntN(12) {
		f.nodes = append(f.nodes, simNode{address: fmt.Sprintf("10.0.%d.%d:5000", seed, i), zone: i % 2, kind: i % 2,
			mode: "in_service", cached: map[string]bool{}})
	}
	return f
}

// settings returns the settings of an instance, drawn from a seed. The same seed gives all instances the same draws.
func (f *fleet) settings(seed uint64, proxy int) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	draw := func(choices ...string) string { return choices[rng.IntN(len(choices))] }
	object := map[string]any{
		"NInstances": sessionProxies, "Me": proxy, "MyZone": proxy % 2, "Dcs": []string{"east", "west"},
		"Skus": []string{"small", "large"}, "Quantum": tickMillis, "OverShareWorth": rng.Float64(),
		"RegistryMode": draw("pushed", "on_request"), "WeightKind": draw("none", "nominal"),
		"FamilyInfo": map[string]any{"Mode": "through", "OriginKind": -1},
		"Telemetry":  map[string]any{"How": draw("none", "answers")},
		"Services": []any{
			map[string]any{"Name": "read", "Effect": "safe", "Aim": 200 + 600*rng.Float64(), "HardLimit": 1500,
				"Importance": 1, "LateShare": 0.3},
			map[string]any{"Name": "write", "Effect": draw("keyed", "unsafe", "safe"),
				"DedupScope": draw("all", "zone", "cell"), "Aim": 400 + 500*rng.Float64(),
				"HardLimit": 2000, "Window": 800 + 1500*rng.Float64(), "Importance": 2,
				"LateShare": 0.3},
		},
		"Realms": []any{map[string]any{"Name": "shop", "QuotaRps": 20 + 200*rng.Float64()},
			map[string]any{"Name": "courier", "QuotaRps": 20 + 100*rng.Float64()}},
		"Limits": map[string]any{"MaxAttempts": 2 + rng.IntN(3), "MayDuplicate": rng.IntN(3) > 0,
			"Cancel": rng.IntN(4) > 0, "Probes": rng.IntN(2) > 0, "RetryAfter": rng.IntN(4) > 0, "MaxRetryAfter": 1200},
		"Charges": map[string]any{"Origin": 0.2 * rng.Float64(), "CrossZone": 0.1 * rng.Float64(), "Probe": 0.01,
			"Handshake": 0.05},
		"Obligations": map[string]any{"AnswerSlack": 20, "MustAskIn": 4000, "StopSendingWithin": 500,
			"StartCapacity": 0.3, "RampTime": 6000, "TipMultiple": 3, "Fall": 2000},
	}
	text, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// batch returns the batch of the current tick.
func (f *fleet) batch(seed uint64) string {
	f.drawFaults()
	lines := make([][]string, sessionProxies)
	for i := range lines {
		if f.tick == 1 {
			attach := fmt.Sprintf("attach\t%d\t%s", seed*10+uint64(i), f.settings(seed, i))
			lines[i] = append(lines[i], attach, f.census(), "update\t1\twarm_copy\t0")
		}
	}
	if f.tick == restartTick {
		i := sessionProxies - 1
		attach := fmt.Sprintf("attach\t%d\t%s", seed*10+9, f.settings(seed+1, i))
		lines[i] = append(lines[i], "down", attach, f.census(), "update\t1\ttotal\t0")
	}
	for _, line := range f.pending[f.tick] {
		who, text, _ := strings.Cut(line, "\t")
		i := int(who[0] - '0')
		lines[i] = append(lines[i], text)
	}
	delete(f.pending, f.tick)
	for i := range lines {
		lines[i] = append(lines[i], f.arrivals(i)...)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "batch\t%d\t%d\n", f.tick*tickMillis, f.tick)
	for i, text := range lines {
		if len(text) > 0 {
			fmt.Fprintf(&b, "about\tproxy/%d\n%s\n", i, strings.Join(text, "\n"))
		}
	}
	b.WriteString("end\n")
	return b.String()
}

// census returns the full list of nodes as page 0.
func (f *fleet) census() string {
	var b strings.Builder
	fmt.Fprintf(&b, "census\t0\t%d", len(f.nodes))
	for i, n := range f.nodes {
		started := "-"
		if n.started > 0 {
			started = strconv.Itoa(n.started * tickMillis)
		}
		weight := 1 + 0.5*float64(n.kind)
		fmt.Fprintf(&b, "\nrow\t%s\t%d\t%d\t%d\t%s\t%g\t%s", n.address, n.zone, n.kind, i%3, n.mode, weight, started)
	}
	return b.String()
}

// drawFaults draws faults, drains and restarts of nodes, and whether discovery reports each change or its loss of the
// list.
func (f *fleet) drawFaults() {
	if f.rng.IntN(120) == 0 {
		n := &f.nodes[f.rng.IntN(len(f.nodes))]
		n.faultUntil = f.tick + faultTicks
		n.faultResult = []string{"E", "F", "T", "C", "R", "X", "N"}[f.rng.IntN(7)]
	}
	if f.rng.IntN(150) == 0 {
		n := &f.nodes[f.rng.IntN(len(f.nodes))]
		switch n.mode {
		case "in_service":
			n.mode = []string{"terminating", "terminated"}[f.rng.IntN(2)]
		default:
			n.mode, n.started, n.cached = "in_service", f.tick, map[string]bool{}
		}
		f.version++
		for proxy := range sessionProxies {
			form := []string{"total", "total", "total", "lost"}[f.rng.IntN(4)]
			f.announce(proxy, 1+f.rng.IntN(relistTicks), form)
		}
	}
}

// announce schedules an update with the current list for a proxy, the given number of ticks from now.
func (f *fleet) announce(proxy, ticks int, form string) {
	f.later(proxy, ticks, fmt.Sprintf("%s\nupdate\t%d\t%s\t0", f.census(), f.version, form))
}

func (f *fleet) later(proxy, ticks int, text string) {
	f.pending[f.tick+max(ticks, 1)] = append(f.pending[f.tick+max(ticks, 1)], fmt.Sprintf("%d\t%s", proxy, text))
}

// arrivals draws new requests at a proxy, and which of their clients will disconnect. It returns the lines of the
// requests.
func (f *fleet) arrivals(proxy int) (lines []string) {
	rate := f.rate
	if f.tick > ticksPerSession/2 && f.tick < ticksPerSession*2/3 { // four times the rate during a burst
		rate *= 4
	}
	for ; rate > 0 && f.rng.Float64() < rate; rate-- {
		f.nextID++
		class, attributes, wait := 0, 0, 1500
		if f.rng.IntN(5) == 0 {
			class, attributes, wait = 1, writeAttribute, 2000
		}
		key := fmt.Sprintf("u:%d", int(120*f.rng.Float64()*f.rng.Float64()))
		f.open[f.nextID] = &simRequest{proxy: proxy, key: key}
		lines = append(lines, fmt.Sprintf("demand\t%d\t%d\t%d\t%s\t%d\t-\t-\t%d", f.nextID, class, f.rng.IntN(2), key,
			f.tick*tickMillis+wait, attributes))
		if f.rng.IntN(30) == 0 {
			f.later(proxy, 1+f.rng.IntN(40), fmt.Sprintf("client_left\t%d", f.nextID))
		}
	}
	return lines
}

// act carries out one action of a proxy.
func (f *fleet) act(t *testing.T, proxy int, parts []string) {
	t.Helper()
	switch parts[0] {
	case "dispatch":
		f.dispatch(proxy, uint64(number(t, parts[1])), parts[2])
	case "revoke":
		f.revoke(proxy, uint64(number(t, parts[1])), number(t, parts[2]))
	case "set_timer":
		f.later(proxy, (number(t, parts[2])+tickMillis-1)/tickMillis, "alarm\t"+parts[1])
	case "follow":
		f.announce(proxy, 1+f.rng.IntN(10), []string{"total", "total", "lost"}[f.rng.IntN(3)])
	case "die":
		t.Fatalf("proxy %d: %q", proxy, parts)
	}
}

func (f *fleet) dispatch(proxy int, id uint64, address string) {
	r := f.open[id]
	node := slices.IndexFunc(f.nodes, func(n simNode) bool { return n.address == address })
	n := &f.nodes[node]
	r.attempts = append(r.attempts, simAttempt{node: node})
	attempt := len(r.attempts) - 1
	took, result, detail := 4+30*f.rng.Float64()*f.rng.Float64(), "S", 1
	if !n.cached[r.key] {
		took, detail = took+60+300*f.rng.Float64()*f.rng.Float64(), 2+f.rng.IntN(2)
		n.cached[r.key] = true
	}
	switch {
	case n.mode == "terminated":
		took, result = 3, "C"
	case f.tick < n.faultUntil && f.rng.IntN(4) > 0:
		result, detail = n.faultResult, 0
		if result == "T" {
			took = 1200
		}
	case f.rng.IntN(80) == 0:
		result, detail = "R", 0
	}
	final := 0
	if result == "S" {
		final = 1
	}
	ticks := 1 + int(took)/tickMillis
	f.later(proxy, ticks, fmt.Sprintf("result\t%d\t%d\t%s\t%s\t%.2f\t%d\t%d\trps:%d,active:%d",
		id, attempt, address, result, took, final, detail, f.rng.IntN(200), f.rng.IntN(20)))
}

// revoke reports an attempt as cancelled at the next tick. A result that is already scheduled is sent as well.
func (f *fleet) revoke(proxy int, id uint64, attempt int) {
	a := &f.open[id].attempts[attempt]
	if a.done {
		return
	}
	a.done = true
	f.later(proxy, 1, fmt.Sprintf("result\t%d\t%d\t%s\tX\t%.2f\t0\t0\t-", id, attempt, f.nodes[a.node].address, 40.0))
}
