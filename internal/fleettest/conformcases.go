package fleettest

import (
	"fmt"
	"slices"
	"strings"

	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
)

// step is one command of a client. Steps are sent together, or one after the other if the case is sequential.
type step struct {
	key, value string
	class      rawclient.WriteClass // of a write; "" for a read
	want       string               // expected answer, as [rawclient.Answer.String] formats it
	wantBinary string               // expected answer with binary nodes, if it is a different one
}

// conformCase is one case of the suite. Its steps use one connection, and are answered in order.
type conformCase struct {
	name            string
	reactions       []scriptednode.Reaction          // to the first requests of all nodes, in order; Serve to others
	reactionByKey   map[string]scriptednode.Reaction // to requests for these keys, instead of one of reactions
	onlyLastListens bool                             // the listeners of the other nodes are closed
	sequential      bool                             // each step is sent after the answer to the one before
	// warm is set if the proxy serves many reads before the steps: a new proxy rejects some of many requests that
	// arrive together.
	warm               bool
	drain              bool // the first node starts to drain before the steps
	steps              []step
	minSent            int  // minimum of requests to nodes; -1 for any number
	maxSent            int  // maximum of requests to nodes; 0 for minSent
	noneToBinary       bool // with binary nodes, no request is sent to them
	sameIdempotencyKey bool // all requests have the same idempotency key; binary has no field for it, see noneToBinary
	// quick: the answers come within two thirds of the deadline, and busy ones have a Retry-After, which is not checked
	// for steps with wantBinary.
	quick bool
}

func read(key, want string) step { return step{key: key, want: want} }

func write(class rawclient.WriteClass, key, want string) step {
	return step{key: key, value: "delivered", class: class, want: want}
}

// keyed returns a keyed write, which binary nodes cannot carry out.
func keyed(key, want string) step {
	s := write(rawclient.Keyed, key, want)
	s.wantBinary = "busy"
	return s
}

func reads(n int) (steps []step) {
	for i := range n {
		key := fmt.Sprintf("k%d", i)
		steps = append(steps, read(key, "value "+scriptednode.Value(key)))
	}
	return steps
}

// reactions apply to requests in order of arrival, reactionByKey to requests for particular keys.
type (
	reactions     = []scriptednode.Reaction
	reactionByKey = map[string]scriptednode.Reaction
)

// largestAnswer is the answer to a read of a value of the maximum size.
var largestAnswer = fmt.Sprintf("value %d bytes", meta.MaxValue)

var conformCases = []conformCase{
	{name: "read", steps: []step{read("k", "value v:k")}, minSent: 1},
	{name: "read of the largest value", steps: []step{read("big", largestAnswer)}, minSent: 1},
	{
		name:      "read of no such key",
		reactions: reactions{scriptednode.Miss},
		steps:     []step{read("k", "missing")},
		minSent:   1,
	},
	{
		name:      "read turned away",
		reactions: reactions{scriptednode.Busy},
		steps:     []step{read("k", "busy")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "read that failed",
		reactions: reactions{scriptednode.Fail},
		steps:     []step{read("k", "busy")},
		minSent:   1,
		quick:     true,
	},
	{name: "read reset", reactions: reactions{scriptednode.Reset}, steps: []step{read("k", "value v:k")}, minSent: 2},
	{
		name:      "read ended within its answer",
		reactions: reactions{scriptednode.TruncatedAnswer},
		steps:     []step{read("k", "value v:k")},
		minSent:   2,
	},
	{
		name:      "read answered by noise",
		reactions: reactions{scriptednode.Garbage},
		steps:     []step{read("k", "value v:k")},
		minSent:   2,
	},
	{
		name:      "read answered by another's",
		reactions: reactions{scriptednode.OtherAnswer},
		steps:     []step{read("k", "value v:k")},
		minSent:   2,
	},
	{
		name:      "read answered by 3 GB",
		reactions: reactions{scriptednode.EndlessValue},
		steps:     []step{read("k", "value v:k")},
		minSent:   2,
	},
	{
		name:      "read answered twice",
		reactions: reactions{scriptednode.DuplicateAnswer},
		steps:     []step{read("k", "value v:k")},
		minSent:   1,
	},
	{
		name:       "read after one answered twice",
		reactions:  reactions{scriptednode.DuplicateAnswer},
		sequential: true,
		minSent:    2,
		steps:      []step{read("k", "value v:k"), read("k", "value v:k")},
	},
	{
		name:      "read at a node that hangs",
		reactions: reactions{scriptednode.Hang},
		steps:     []step{read("k", "busy")},
		minSent:   1,
		maxSent:   4,
	},
	{
		name:      "read where all nodes hang",
		reactions: slices.Repeat(reactions{scriptednode.Hang}, 20),
		steps:     []step{read("k", "busy")},
		minSent:   1,
		maxSent:   4,
	},
	{name: "read where one node listens", onlyLastListens: true, steps: []step{read("k", "value v:k")}, minSent: 1},
	{name: "read where a node drains", drain: true, steps: reads(8), minSent: 8},
	{
		name:          "pipeline of reads, some slow",
		steps:         reads(30),
		minSent:       30,
		warm:          true,
		reactionByKey: reactionByKey{"k0": scriptednode.Slow, "k7": scriptednode.Slow, "k12": scriptednode.Slow},
	},
	{
		name:    "pipeline of reads, some spoilt",
		steps:   reads(20),
		minSent: 20,
		maxSent: 60,
		warm:    true,
		reactions: reactions{
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
		name:          "pipeline of all kinds",
		minSent:       -1,
		reactionByKey: reactionByKey{"none": scriptednode.Miss, "full": scriptednode.Busy},
		steps: []step{
			read("a", "value v:a"),
			read("none", "missing"),
			write(rawclient.NonIdempotent, "b", "stored 7"),
			read("full", "busy"),
			read("c", "value v:c"),
			{key: "\x7f", want: "bad"},
			read("big", largestAnswer),
			read("none", "missing"),
			read("d", "value v:d"),
		},
	},
	{name: "unsafe write", steps: []step{write(rawclient.NonIdempotent, "k", "stored 7")}, minSent: 1},
	{
		name:      "unsafe write turned away",
		reactions: reactions{scriptednode.Busy},
		steps:     []step{write(rawclient.NonIdempotent, "k", "busy")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "unsafe write that failed",
		reactions: reactions{scriptednode.Fail},
		steps:     []step{write(rawclient.NonIdempotent, "k", "failed")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "unsafe write reset",
		reactions: reactions{scriptednode.Reset},
		steps:     []step{write(rawclient.NonIdempotent, "k", "failed")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "unsafe write answered by noise",
		reactions: reactions{scriptednode.Garbage},
		steps:     []step{write(rawclient.NonIdempotent, "k", "failed")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "unsafe write answered by another's",
		reactions: reactions{scriptednode.OtherAnswer},
		steps:     []step{write(rawclient.NonIdempotent, "k", "failed")},
		minSent:   1,
		quick:     true,
	},
	{
		name:      "unsafe write at a node that hangs",
		reactions: reactions{scriptednode.Hang},
		steps:     []step{write(rawclient.NonIdempotent, "k", "failed")},
		minSent:   1,
	},
	{
		name:            "unsafe write where one node listens",
		onlyLastListens: true,
		steps:           []step{write(rawclient.NonIdempotent, "k", "stored 7")},
		minSent:         1,
	},
	{
		name: "unsafe write of the largest value",
		steps: []step{{
			key: "k", value: strings.Repeat("v", meta.MaxValue), class: rawclient.NonIdempotent, want: "stored 7",
		}},
		minSent: 1,
	},
	{
		name: "unsafe write of a value too large",
		steps: []step{{
			key: "k", value: strings.Repeat("v", meta.MaxValue+1), class: rawclient.NonIdempotent, want: "bad",
		}},
	},
	{name: "keyed write", steps: []step{keyed("k", "stored 7")}, minSent: 1, noneToBinary: true, quick: true},
	{
		name:         "keyed write turned away",
		reactions:    reactions{scriptednode.Busy},
		steps:        []step{keyed("k", "busy")},
		minSent:      1,
		noneToBinary: true,
		quick:        true,
	},
	{
		name:               "keyed write reset",
		reactions:          reactions{scriptednode.Reset},
		steps:              []step{keyed("k", "stored 7")},
		minSent:            2,
		noneToBinary:       true,
		sameIdempotencyKey: true,
	},
	{
		name:               "keyed write answered by noise",
		reactions:          reactions{scriptednode.Garbage},
		steps:              []step{keyed("k", "stored 7")},
		minSent:            2,
		noneToBinary:       true,
		sameIdempotencyKey: true,
	},
	{
		name:               "keyed write answered by another's",
		reactions:          reactions{scriptednode.OtherAnswer},
		steps:              []step{keyed("k", "stored 7")},
		minSent:            2,
		noneToBinary:       true,
		sameIdempotencyKey: true,
	},
	{
		name:         "keyed write where a node drains",
		drain:        true,
		steps:        []step{keyed("k", "stored 7")},
		minSent:      1,
		noneToBinary: true,
	},
}
