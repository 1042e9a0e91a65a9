package lease

import (
	"slices"
	"testing"
	"time"
)

func TestLeftBehind(t *testing.T) {
	grant := func(n uint64, holder string) Grant { return Grant{Holder: holder, Token: n} }
	task := &Task{Grants: []Grant{grant(1, HolderName("p1", 10, 7)), grant(2, HolderName("p1", 11, 8)), grant(3, HolderName("p1", 12, 9)),
		grant(4, HolderName("p2", 10, 7)), grant(5, "p1"), grant(6, HolderName("dc/p1", 10, 7))}}
	runs := func(pid int) bool { return pid == 11 }
	if got := OrphanedTokens(task, "p1", 12, runs); !slices.Equal(got, []uint64{1}) {
		t.Errorf("p1 finds %v: want what a dead process of its name has left, no other's, not its own", got)
	}
	if got := OrphanedTokens(task, "dc/p1", 12, runs); !slices.Equal(got, []uint64{6}) {
		t.Errorf("a name with a stroke finds %v", got)
	}
	if got := OrphanedTokens(nil, "p1", 12, runs); got != nil {
		t.Errorf("of no task: %v", got)
	}
}

func TestWithoutPermit(t *testing.T) {
	for _, c := range []struct {
		waited, most time.Duration
		insist       bool
		want         PermitVerdict
	}{{0, time.Second, false, KeepWaiting}, {time.Second, time.Second, false, ProceedWithoutPermit}, {time.Hour, time.Second, true, KeepWaiting}, {0, 0, false, ProceedWithoutPermit}} {
		if got := DecideWithoutPermit(c.waited, c.most, c.insist); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
