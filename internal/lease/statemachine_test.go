package lease

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

func acquireCommand(task, holder string, nonce uint64, wait bool) Command {
	return Command{Kind: Acquire, Task: task, Holder: holder, Nonce: nonce, Duration: 1000 * ms, Wait: wait}
}

func TestCommandResults(t *testing.T) {
	m := NewStateMachine()
	type want struct {
		own     uint64 // token of the sender's grant
		created bool
		granted []uint64
		err     error
	}
	for i, s := range []struct {
		c    Command
		want want
	}{
		{acquireCommand("a", "x", 1, false), want{1, true, []uint64{1}, nil}},
		{acquireCommand("a", "x", 1, false), want{1, false, nil, nil}}, // a duplicate gets no second grant
		{acquireCommand("a", "x", 2, false), want{err: ErrHeld}},       // another acquisition of x
		{acquireCommand("a", "y", 3, true), want{}},
		{acquireCommand("a", "y", 3, true), want{}}, // a duplicate is not queued again
		{acquireCommand("a", "z", 4, true), want{}},
		{acquireCommand("b", "z", 5, false), want{2, true, []uint64{2}, nil}}, // tokens rise across all tasks
		{Command{Kind: Release, Task: "a", Token: 7}, want{err: ErrUnknownGrant}},
		{Command{Kind: Transfer, Task: "a", Token: 1, To: "z"}, want{granted: []uint64{3}}}, // z, ahead of y
		{Command{Kind: Transfer, Task: "a", Token: 3, To: "q"}, want{err: ErrUnknownGrant}}, // q does not wait
		{Command{Kind: Release, Task: "a", Token: 1}, want{err: ErrUnknownGrant}},           // already ended
		{Command{Kind: Revoke, Task: "a", Token: 3}, want{}},
		{acquireCommand("a", "z", 4, true), want{3, false, nil, nil}}, // z holds the revoked grant until it expires
		{Command{Kind: Expire, Task: "a", Token: 3}, want{granted: []uint64{4}}},
		{Command{Kind: SetLimit, Task: "a", MaxHolders: 3}, want{}},
		{acquireCommand("a", "u", 6, false), want{5, true, []uint64{5}, nil}},
		{acquireCommand("a", "v", 7, false), want{6, true, []uint64{6}, nil}},
		{Command{Kind: SetLimit, Task: "a", MaxHolders: 1}, want{}}, // below the number of grants: none ends
		{acquireCommand("a", "w", 8, true), want{}},
		{Command{Kind: Release, Task: "a", Token: 4}, want{}},
		{Command{Kind: Release, Task: "a", Token: 5}, want{}},
		{Command{Kind: Release, Task: "a", Token: 6}, want{granted: []uint64{7}}},
		{acquireCommand("a", "m", 9, true), want{}},
		{Command{Kind: Release, Task: "a", Holder: "m", Nonce: 9}, want{}}, // m leaves the queue
		{Command{Kind: Release, Task: "a", Holder: "m", Nonce: 9}, want{err: ErrUnknownGrant}},
		{Command{Kind: Release, Task: "none", Token: 1}, want{err: ErrUnknownGrant}},
	} {
		r := m.Apply(&s.c)
		got := want{own: r.Grant.Token, created: r.Created, err: r.Err}
		for _, g := range r.NewGrants {
			got.granted = append(got.granted, g.Token)
		}
		if !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d, %+v: %+v, want %+v", i, s.c, got, s.want)
		}
	}
}

// TestStateMachineKeepsLimitsAndTokenOrder checks that random commands, some of which change the limits, never grant a
// task beyond its limit, and that fencing tokens only rise (guarantees 1 and 2, for the state machine alone).
func TestStateMachineKeepsLimitsAndTokenOrder(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := NewStateMachine()
		last := uint64(0)
		for range 500 {
			c := Command{
				Kind:       CommandKind(1 + r.IntN(6)),
				Task:       string(rune('a' + r.IntN(2))),
				Holder:     string(rune('p' + r.IntN(5))),
				Nonce:      1 + r.Uint64N(60),
				Duration:   time.Second,
				Wait:       r.IntN(2) == 0,
				Token:      r.Uint64N(m.LastToken + 2),
				To:         string(rune('p' + r.IntN(5))),
				MaxHolders: 1 + r.IntN(3),
			}
			before := 0
			if task := m.Tasks[c.Task]; task != nil {
				before = len(task.Grants)
			}
			result := m.Apply(&c)
			task := m.Tasks[c.Task]
			if task != nil && len(task.Grants) > max(task.MaxHolders, before) {
				t.Fatalf("seed %d: %d held of %d after %+v", seed, len(task.Grants), task.MaxHolders, c)
			}
			for _, g := range result.NewGrants {
				if g.Token <= last {
					t.Fatalf("seed %d: %d after %d", seed, g.Token, last)
				}
				last = g.Token
			}
		}
	}
}

func TestClientCommandsAreChecked(t *testing.T) {
	good := acquireCommand("a", "x", 1, false)
	if err := DefaultParameters.CheckCommand(&good); err != nil {
		t.Error(err)
	}
	for _, c := range []Command{
		{},
		{Kind: Acquire, Task: "a"},
		{Kind: Acquire, Task: "a", Holder: "x", Nonce: 1, Duration: time.Millisecond},
		{Kind: Acquire, Task: "a", Holder: "x", Duration: time.Second},
		{Kind: Expire, Task: "a", Token: 1},
		{Kind: Release, Task: "a"},
		{Kind: SetLimit, Task: "a"},
		{Kind: Transfer, Task: "a", Token: 1},
		{Kind: Revoke, Token: 1},
		{Kind: CommandKind(99), Task: "a"},
		acquireCommand(string(make([]byte, MaxNameBytes+1)), "x", 1, false),
	} {
		if err := DefaultParameters.CheckCommand(&c); !errors.Is(err, ErrInvalidCommand) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
