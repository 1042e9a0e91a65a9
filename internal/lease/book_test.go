package lease

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

func take(task, holder string, nonce uint64, wait bool) Command {
	return Command{Kind: Acquire, Task: task, Holder: holder, Nonce: nonce, Duration: 1000 * ms, Wait: wait}
}

func TestBook(t *testing.T) {
	b := NewStateMachine()
	type want struct {
		mine  uint64
		fresh bool
		given []uint64
		err   error
	}
	for i, s := range []struct {
		c    Command
		want want
	}{
		{take("a", "x", 1, false), want{1, true, []uint64{1}, nil}},
		{take("a", "x", 1, false), want{1, false, nil, nil}}, // sent twice
		{take("a", "x", 2, false), want{err: ErrHeld}},       // another run of it
		{take("a", "y", 3, true), want{}},
		{take("a", "y", 3, true), want{}}, // waits once
		{take("a", "z", 4, true), want{}},
		{take("b", "z", 5, false), want{2, true, []uint64{2}, nil}}, // numbers rise over all tasks
		{Command{Kind: Release, Task: "a", Token: 7}, want{err: ErrUnknownGrant}},
		{Command{Kind: Transfer, Task: "a", Token: 1, To: "z"}, want{given: []uint64{3}}},   // past y
		{Command{Kind: Transfer, Task: "a", Token: 3, To: "q"}, want{err: ErrUnknownGrant}}, // nobody of that name waits
		{Command{Kind: Release, Task: "a", Token: 1}, want{err: ErrUnknownGrant}},           // over already
		{Command{Kind: Revoke, Task: "a", Token: 3}, want{}},
		{take("a", "z", 4, true), want{3, false, nil, nil}}, // it holds until it is waited out
		{Command{Kind: Expire, Task: "a", Token: 3}, want{given: []uint64{4}}},
		{Command{Kind: SetLimit, Task: "a", MaxHolders: 3}, want{}},
		{take("a", "u", 6, false), want{5, true, []uint64{5}, nil}},
		{take("a", "v", 7, false), want{6, true, []uint64{6}, nil}},
		{Command{Kind: SetLimit, Task: "a", MaxHolders: 1}, want{}}, // lowered while held
		{take("a", "w", 8, true), want{}},
		{Command{Kind: Release, Task: "a", Token: 4}, want{}},
		{Command{Kind: Release, Task: "a", Token: 5}, want{}},
		{Command{Kind: Release, Task: "a", Token: 6}, want{given: []uint64{7}}},
		{take("a", "m", 9, true), want{}},
		{Command{Kind: Release, Task: "a", Holder: "m", Nonce: 9}, want{}}, // out of the queue
		{Command{Kind: Release, Task: "a", Holder: "m", Nonce: 9}, want{err: ErrUnknownGrant}},
		{Command{Kind: Release, Task: "none", Token: 1}, want{err: ErrUnknownGrant}},
	} {
		r := b.Apply(&s.c)
		got := want{mine: r.Grant.Token, fresh: r.Created, err: r.Err}
		for _, g := range r.NewGrants {
			got.given = append(got.given, g.Token)
		}
		if !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d, %+v: %+v, want %+v", i, s.c, got, s.want)
		}
	}
}

// TestBookKeepsItsPromises guards guarantees 1 and 2 of the book alone by random commands, with limits that
// change: never more newly granted than the limit, and numbers only rise.
func TestBookKeepsItsPromises(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := NewStateMachine()
		last := uint64(0)
		for range 500 {
			c := Command{Kind: CommandKind(1 + r.IntN(6)), Task: string(rune('a' + r.IntN(2))), Holder: string(rune('p' + r.IntN(5))), Nonce: 1 + r.Uint64N(60),
				Duration: time.Second, Wait: r.IntN(2) == 0, Token: r.Uint64N(b.LastToken + 2), To: string(rune('p' + r.IntN(5))), MaxHolders: 1 + r.IntN(3)}
			before := 0
			if x := b.Tasks[c.Task]; x != nil {
				before = len(x.Grants)
			}
			result := b.Apply(&c)
			x := b.Tasks[c.Task]
			if x != nil && len(x.Grants) > max(x.MaxHolders, before) {
				t.Fatalf("seed %d: %d held of %d after %+v", seed, len(x.Grants), x.MaxHolders, c)
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

func TestCommandsFromOutsideAreChecked(t *testing.T) {
	good := take("a", "x", 1, false)
	if err := DefaultParameters.CheckCommand(&good); err != nil {
		t.Error(err)
	}
	for _, c := range []Command{{}, {Kind: Acquire, Task: "a"}, {Kind: Acquire, Task: "a", Holder: "x", Nonce: 1, Duration: time.Millisecond},
		{Kind: Acquire, Task: "a", Holder: "x", Duration: time.Second}, {Kind: Expire, Task: "a", Token: 1}, {Kind: Release, Task: "a"},
		{Kind: SetLimit, Task: "a"}, {Kind: Transfer, Task: "a", Token: 1}, {Kind: Revoke, Token: 1}, {Kind: CommandKind(99), Task: "a"},
		take(string(make([]byte, MaxNameBytes+1)), "x", 1, false)} {
		if err := DefaultParameters.CheckCommand(&c); !errors.Is(err, ErrInvalidCommand) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
