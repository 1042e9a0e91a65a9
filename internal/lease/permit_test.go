package lease

import (
	"slices"
	"testing"
	"time"
)

func TestOrphanedTokens(t *testing.T) {
	grant := func(token uint64, holder string) Grant { return Grant{Holder: holder, Token: token} }
	task := &Task{Grants: []Grant{
		grant(1, HolderName("p1", 10, 7)),
		grant(2, HolderName("p1", 11, 8)),
		grant(3, HolderName("p1", 12, 9)),
		grant(4, HolderName("p2", 10, 7)),
		grant(5, "p1"),
		grant(6, HolderName("dc/p1", 10, 7)),
	}}
	isRunning := func(pid int) bool { return pid == 11 }
	if got := OrphanedTokens(task, "p1", 12, isRunning); !slices.Equal(got, []uint64{1}) {
		t.Errorf("orphaned tokens of p1: %v, want only that of the ended process with its name", got)
	}
	if got := OrphanedTokens(task, "dc/p1", 12, isRunning); !slices.Equal(got, []uint64{6}) {
		t.Errorf("orphaned tokens of a name with a slash: %v, want [6]", got)
	}
	if got := OrphanedTokens(nil, "p1", 12, isRunning); got != nil {
		t.Errorf("orphaned tokens without a task: %v, want none", got)
	}
}

func TestDecideWithoutPermit(t *testing.T) {
	for _, c := range []struct {
		waited, maxWait time.Duration
		insist          bool
		want            PermitVerdict
	}{
		{0, time.Second, false, KeepWaiting},
		{time.Second, time.Second, false, ProceedWithoutPermit},
		{time.Hour, time.Second, true, KeepWaiting},
		{0, 0, false, ProceedWithoutPermit},
	} {
		if got := DecideWithoutPermit(c.waited, c.maxWait, c.insist); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
