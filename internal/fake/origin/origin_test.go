package origin

import (
	"errors"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestLedgerCountsEveryExecution checks that the ledger counts every execution of every write (guarantee 2). Fault
// tests detect duplicate writes by these counts.
func TestLedgerCountsEveryExecution(t *testing.T) {
	o := New(Config{Slots: 4, Queue: 10, ServiceTime: time.Millisecond})
	defer o.Close()
	done := make(chan error, 10)
	for _, key := range []string{"a", "b", "a", "a"} {
		o.Write("record", key, func(err error) { done <- err })
	}
	for range 4 {
		if err := testutil.Receive(t, "a write", done); err != nil {
			t.Fatal(err)
		}
	}
	if s := o.Stats(); s.Writes != 4 || s.Effects != 2 || s.Duplicates != 1 {
		t.Errorf("counted %+v", s)
	}
	if o.EffectCount("record", "a") != 3 || o.EffectCount("record", "b") != 1 || o.EffectCount("other", "a") != 0 {
		t.Error("the ledger has wrong counts")
	}
	if d := o.DuplicateEffects(); len(d) != 1 || d[0].Key != "a" {
		t.Errorf("duplicates %v", d)
	}
}

// TestFailedOperationHasNoEffect checks that an origin whose queue is full, or that is down, fails an operation without
// executing it (guarantees 1 and 3).
func TestFailedOperationHasNoEffect(t *testing.T) {
	o := New(Config{Slots: 1, Queue: 1, ServiceTime: time.Hour})
	defer o.Close()
	for range 2 {
		o.Write("r", "k", func(error) { t.Error("a write that takes an hour completed") })
	}
	var got error
	o.Write("r", "k", func(err error) { got = err })
	if !errors.Is(got, ErrFull) {
		t.Errorf("a full origin returned %v", got)
	}
	o.SetDown(true)
	o.Fetch(func(err error) { got = err })
	if s := o.Stats(); !errors.Is(got, ErrDown) || s.QueueFull != 1 || s.Writes != 0 || s.Fetches != 0 {
		t.Errorf("an origin that is down returned %v and counted %+v", got, s)
	}
}
