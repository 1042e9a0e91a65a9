package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

var (
	effectSeeds     = flag.Int("effects.seeds", 4, "number of seeds that TestEffectsUnderFaults plays")
	firstEffectSeed = flag.Uint64("effects.first", 1, "first of the seeds")
)

const (
	effectDeadline = 600 * time.Millisecond // of all classes of this test
	effectDuration = 3 * time.Second        // of the load before the daemon is told to end
	// killDelay is the time from SIGTERM to SIGKILL: the longest deadline and the platform's margin.
	killDelay = effectDeadline + 700*time.Millisecond
	// effectAnswerTimeout is how long a client waits for an answer, which is due after effectDeadline. The rest is for
	// stops of the process and a busy machine.
	effectAnswerTimeout = effectDeadline + 2*time.Second
)

// effectClass is a class of the test. Requests of the class are sent with its command, whose arguments are a key and an
// id.
type effectClass struct {
	name, settings, command string
	mayRepeat               bool // it may be rejected after it was executed, and executed again
	isKeyed                 bool // nodes drop repeats
	isWrite                 bool
}

var effectClasses = []effectClass{
	{
		name:      "safe",
		command:   "mg %[1]s v O%[2]s Pc=safe,d=600\r\n",
		mayRepeat: true,
	},
	{
		name:     "read",
		settings: "effect = \"unsafe\"\n",
		command:  "mg %[1]s v O%[2]s Pc=read,d=600\r\n",
	},
	{
		name:     "write",
		settings: "effect = \"unsafe\"\n",
		command:  "ms %[1]s 2 O%[2]s Pc=write,d=600\r\nhi\r\n",
		isWrite:  true,
	},
	{
		name:     "keyed",
		settings: "effect = \"keyed\"\nwindow = \"1500ms\"\n",
		command:  "ms %[1]s 2 O%[2]s Pc=keyed,d=600,k=%[2]s\r\nhi\r\n",
		isKeyed:  true,
		isWrite:  true,
	},
}

// issuedRequest is a request of the test and what became of it.
type issuedRequest struct {
	class   *effectClass
	key, id string
	answer  string // first line of the answer, "" for none
}

// effectRun is one run of the daemon under load, with the faults and signals of one seed.
type effectRun struct {
	t      *testing.T
	daemon *testDaemon
	seed   uint64
	ending chan struct{} // closed right before the daemon is told to end

	mu       sync.Mutex
	executed map[string]int // by id: how often nodes have executed a request
	requests []*issuedRequest
}

// TestEffectsUnderFaults checks the rule on duplicates for classes of each effect, while nodes reject, fail, answer
// twice, late and malformed, and the daemon is stopped, reloaded and told to end under load: a request that a node has
// executed is neither rejected nor executed again unless its class allows it, and no client gets another's answer. It
// also checks that each request is answered until the daemon is told to end.
func TestEffectsUnderFaults(t *testing.T) {
	for seed := *firstEffectSeed; seed < *firstEffectSeed+uint64(*effectSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run := newEffectRun(t, seed)
			run.play()
			run.check()
		})
	}
}

// newEffectRun starts nodes and a daemon with settings drawn from the seed.
func newEffectRun(t *testing.T, seed uint64) *effectRun {
	run := &effectRun{t: t, seed: seed, ending: make(chan struct{}), executed: make(map[string]int)}
	rng := run.random("settings")
	config := node.Config{
		ServiceTime: time.Duration(2+rng.IntN(15)) * time.Millisecond,
		Slots:       2 + rng.IntN(6),
		Queue:       1 + rng.IntN(16),
		OnExecuted: func(_, id string) {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.executed[id]++
		},
	}
	run.daemon = newTestDaemonWith(t, 2+rng.IntN(4), config)
	var settings strings.Builder
	fmt.Fprintf(&settings, "limits.connections_per_node = %d\n", 1+rng.IntN(4))
	fmt.Fprintf(&settings, "limits.second_copies = %v\n", rng.IntN(2) == 0)
	for _, class := range effectClasses {
		fmt.Fprintf(&settings, "[[class]]\nname = %q\naim = \"300ms\"\ndeadline = %q\n%s",
			class.name, effectDeadline.String(), class.settings)
	}
	run.daemon.configure(settings.String())
	run.daemon.start()
	run.daemon.awaitNotified("READY=1")
	return run
}

// random returns a generator of random numbers for one part of the run.
func (run *effectRun) random(part string) *rand.Rand {
	var stream uint64
	for _, c := range part {
		stream = stream*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(run.seed, stream))
}

// play runs clients, faults and signals, ends the daemon under load, and kills it at the earliest moment allowed.
func (run *effectRun) play() {
	var tasks sync.WaitGroup
	rng := run.random("clients")
	for i := range 8 + rng.IntN(40) {
		tasks.Go(func() { run.runClient(i) })
	}
	tasks.Go(run.injectFaults)
	tasks.Go(run.sendSignals)
	if rng.IntN(3) == 0 {
		for range 100 { // a crowd of idle clients
			run.daemon.connect()
		}
	}
	time.Sleep(effectDuration)
	close(run.ending)
	run.daemon.signal(syscall.SIGTERM)
	select {
	case <-run.daemon.exited:
	case <-time.After(killDelay):
		run.daemon.process.Process.Kill()
	}
	tasks.Wait()
}

// isEnding reports whether the daemon is being told to end.
func (run *effectRun) isEnding() bool {
	select {
	case <-run.ending:
		return true
	default:
		return false
	}
}

// check compares what clients were told with what nodes have executed.
func (run *effectRun) check() {
	for _, n := range run.daemon.nodes {
		n.SetFault(node.Fault{})
	}
	testutil.WaitUntil(run.t, "nodes to finish their work", run.isIdle)
	run.mu.Lock()
	defer run.mu.Unlock()
	answers := make(map[string]int)
	for _, r := range run.requests {
		kind, _, _ := strings.Cut(r.answer, " O")
		kind, _, _ = strings.Cut(strings.TrimPrefix(kind, "SERVER_ERROR "), " ")
		answers[kind]++
		if defect := run.defect(r); defect != "" {
			run.t.Errorf("%s %s was answered %q and executed %d times: %s",
				r.class.name, r.id, r.answer, run.executed[r.id], defect)
		}
	}
	run.t.Logf("%d requests, by answer: %v", len(run.requests), answers)
}

// isIdle reports whether no node has executed anything within a time that is longer than any service time.
func (run *effectRun) isIdle() bool {
	count := func() int {
		run.mu.Lock()
		defer run.mu.Unlock()
		total := 0
		for _, n := range run.executed {
			total += n
		}
		return total
	}
	before := count()
	time.Sleep(200 * time.Millisecond)
	return count() == before
}

// defect returns what is wrong with the end of a request, "" if nothing is. run.mu is held.
func (run *effectRun) defect(r *issuedRequest) string {
	executed := run.executed[r.id]
	isServed := strings.HasPrefix(r.answer, "VA ") || strings.HasPrefix(r.answer, "HD ")
	switch {
	case isServed && !strings.Contains(r.answer+" ", " O"+r.id+" "):
		return "the answer is another's"
	case isServed && executed == 0:
		return "no node has executed it"
	case r.answer == "EN":
		return "the key exists"
	case r.class.mayRepeat:
		return ""
	case strings.HasPrefix(r.answer, "SERVER_ERROR busy") && executed > 0:
		return "it was rejected"
	case r.class.isKeyed && run.daemon.origin.EffectCount(r.key, r.id) > 1:
		return "it took effect twice"
	case !r.class.isKeyed && executed > 1:
		return "it was executed again"
	}
	return ""
}
