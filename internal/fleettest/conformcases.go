package fleettest

import (
	"fmt"
	"slices"
	"strings"

	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
)

// step is one command of a client. Times between steps are up to the case.
type step struct {
	key, value string
	effect     rawclient.WriteClass // of a write; "" for a read
	want       string               // an answer, as [rawclient.Answer.String] has it
	unlike     string               // the same where nodes speak binary, if it differs
}

// conformCase is one case. Its steps are sent together, and answered in order.
type conformCase struct {
	name  string
	react []scriptednode.Reaction          // to the requests in their order over all nodes; then Serve
	by    map[string]scriptednode.Reaction // to requests by key, before react
	dead  bool                             // no node but the last listens
	turns bool                             // a step is sent once the one before is answered
	// warm: it has served for a while, as a fresh proxy rejects some of many requests at once.
	warm  bool
	drain bool // the first node drains before the steps
	steps []step
	sent  int  // requests to nodes at least; -1 for any number
	most  int  // and at most; 0 for no more than sent
	none  bool // where nodes speak binary, nothing is sent to them
	same  bool // all requests have one idempotency key, where the dialect has room for it
	quick bool // it is answered long before the deadline
}

func read(key, want string) step { return step{key: key, want: want} }

func write(effect rawclient.WriteClass, key, want string) step {
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

// reactions are those of nodes, in the order of requests; reactionByKey those to some keys.
type (
	reactions     = []scriptednode.Reaction
	reactionByKey = map[string]scriptednode.Reaction
)

// largest is the answer to a read of the largest value.
var largest = fmt.Sprintf("value %d bytes", meta.MaxValue)

var conformCases = []conformCase{
	{name: "read", steps: []step{read("k", "value v:k")}, sent: 1},
	{name: "read of the largest value", steps: []step{read("big", largest)}, sent: 1},
	{
		name:  "read of no such key",
		react: reactions{scriptednode.Miss},
		steps: []step{read("k", "missing")},
		sent:  1,
	},
	{
		name:  "read turned away",
		react: reactions{scriptednode.Busy},
		steps: []step{read("k", "busy")},
		sent:  1,
		quick: true,
	},
	{
		name:  "read that failed",
		react: reactions{scriptednode.Fail},
		steps: []step{read("k", "busy")},
		sent:  1,
		quick: true,
	},
	{name: "read reset", react: reactions{scriptednode.Reset}, steps: []step{read("k", "value v:k")}, sent: 2},
	{
		name:  "read ended within its answer",
		react: reactions{scriptednode.TruncatedAnswer},
		steps: []step{read("k", "value v:k")},
		sent:  2,
	},
	{
		name:  "read answered by noise",
		react: reactions{scriptednode.Garbage},
		steps: []step{read("k", "value v:k")},
		sent:  2,
	},
	{
		name:  "read answered by another's",
		react: reactions{scriptednode.OtherAnswer},
		steps: []step{read("k", "value v:k")},
		sent:  2,
	},
	{
		name:  "read answered by 3 GB",
		react: reactions{scriptednode.EndlessValue},
		steps: []step{read("k", "value v:k")},
		sent:  2,
	},
	{
		name:  "read answered twice",
		react: reactions{scriptednode.DuplicateAnswer},
		steps: []step{read("k", "value v:k")},
		sent:  1,
	},
	{
		name:  "read after one answered twice",
		react: reactions{scriptednode.DuplicateAnswer},
		turns: true,
		sent:  2,
		steps: []step{read("k", "value v:k"), read("k", "value v:k")},
	},
	{
		name:  "read at a node that hangs",
		react: reactions{scriptednode.Hang},
		steps: []step{read("k", "busy")},
		sent:  1,
		most:  4,
	},
	{
		name:  "read where all nodes hang",
		react: slices.Repeat(reactions{scriptednode.Hang}, 20),
		steps: []step{read("k", "busy")},
		sent:  1,
		most:  4,
	},
	{name: "read where one node listens", dead: true, steps: []step{read("k", "value v:k")}, sent: 1},
	{name: "read where a node drains", drain: true, steps: reads(8), sent: 8},
	{
		name:  "pipeline of reads, some slow",
		steps: reads(30),
		sent:  30,
		warm:  true,
		by:    reactionByKey{"k0": scriptednode.Slow, "k7": scriptednode.Slow, "k12": scriptednode.Slow},
	},
	{
		name:  "pipeline of reads, some spoilt",
		steps: reads(20),
		sent:  20,
		most:  60,
		warm:  true,
		react: reactions{
			scriptednode.Serve,
			scriptednode.OtherAnswer,
			scriptednode.Serve,
			scriptednode.TruncatedAnswer,
			scriptednode.Garbage,
			scriptednode.Serve,
			scriptednode.Reset,
		},
	},
	{
		name: "pipeline of all kinds",
		sent: -1,
		by:   reactionByKey{"none": scriptednode.Miss, "full": scriptednode.Busy},
		steps: []step{
			read("a", "value v:a"),
			read("none", "missing"),
			write(rawclient.NonIdempotent, "b", "stored 7"),
			read("full", "busy"),
			read("c", "value v:c"),
			{key: "\x7f", want: "bad"},
			read("big", largest),
			read("none", "missing"),
			read("d", "value v:d"),
		},
	},
	{name: "unsafe write", steps: []step{write(rawclient.NonIdempotent, "k", "stored 7")}, sent: 1},
	{
		name:  "unsafe write turned away",
		react: reactions{scriptednode.Busy},
		steps: []step{write(rawclient.NonIdempotent, "k", "busy")},
		sent:  1,
		quick: true,
	},
	{
		name:  "unsafe write that failed",
		react: reactions{scriptednode.Fail},
		steps: []step{write(rawclient.NonIdempotent, "k", "failed")},
		sent:  1,
		quick: true,
	},
	{
		name:  "unsafe write reset",
		react: reactions{scriptednode.Reset},
		steps: []step{write(rawclient.NonIdempotent, "k", "failed")},
		sent:  1,
		quick: true,
	},
	{
		name:  "unsafe write answered by noise",
		react: reactions{scriptednode.Garbage},
		steps: []step{write(rawclient.NonIdempotent, "k", "failed")},
		sent:  1,
		quick: true,
	},
	{
		name:  "unsafe write answered by another's",
		react: reactions{scriptednode.OtherAnswer},
		steps: []step{write(rawclient.NonIdempotent, "k", "failed")},
		sent:  1,
		quick: true,
	},
	{
		name:  "unsafe write at a node that hangs",
		react: reactions{scriptednode.Hang},
		steps: []step{write(rawclient.NonIdempotent, "k", "failed")},
		sent:  1,
	},
	{
		name:  "unsafe write where one node listens",
		dead:  true,
		steps: []step{write(rawclient.NonIdempotent, "k", "stored 7")},
		sent:  1,
	},
	{
		name: "unsafe write of the largest value",
		steps: []step{{
			key: "k", value: strings.Repeat("v", meta.MaxValue), effect: rawclient.NonIdempotent, want: "stored 7",
		}},
		sent: 1,
	},
	{
		name: "unsafe write of a value too large",
		steps: []step{{
			key: "k", value: strings.Repeat("v", meta.MaxValue+1), effect: rawclient.NonIdempotent, want: "bad",
		}},
	},
	{name: "keyed write", steps: []step{keyed("k", "stored 7")}, sent: 1, none: true, quick: true},
	{
		name:  "keyed write turned away",
		react: reactions{scriptednode.Busy},
		steps: []step{keyed("k", "busy")},
		sent:  1,
		none:  true,
		quick: true,
	},
	{
		name:  "keyed write reset",
		react: reactions{scriptednode.Reset},
		steps: []step{keyed("k", "stored 7")},
		sent:  2,
		none:  true,
		same:  true,
	},
	{
		name:  "keyed write answered by noise",
		react: reactions{scriptednode.Garbage},
		steps: []step{keyed("k", "stored 7")},
		sent:  2,
		none:  true,
		same:  true,
	},
	{
		name:  "keyed write answered by another's",
		react: reactions{scriptednode.OtherAnswer},
		steps: []step{keyed("k", "stored 7")},
		sent:  2,
		none:  true,
		same:  true,
	},
	{
		name:  "keyed write where a node drains",
		drain: true,
		steps: []step{keyed("k", "stored 7")},
		sent:  1,
		none:  true,
	},
}
