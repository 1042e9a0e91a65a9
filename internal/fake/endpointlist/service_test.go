package endpointlist

import (
	"context"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/testutil"
)

// watch follows a service as a proxy does.
func watch(t *testing.T, address string, from uint64) (<-chan discovery.List, <-chan error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	news, ended := make(chan discovery.List, 100), make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- discovery.NewClient(address).Watch(ctx, from, func(l discovery.List) { news <- l })
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return news, ended
}

func entries() []Entry {
	return []Entry{{Name: "a", Address: "127.0.0.1:1", Status: "up"}, {Name: "b", Address: "127.0.0.1:2", Status: "up"}}
}

// TestWatchTellsChangesAndWhenTheyWereTold guards the witness of the drain rule.
func TestWatchTellsChangesAndWhenTheyWereTold(t *testing.T) {
	s := New(entries())
	defer s.Close()
	address, err := s.Open(7)
	if err != nil {
		t.Fatal(err)
	}
	news, _ := watch(t, address, 0)
	if l := testutil.Receive(t, "the list", news); !l.Snapshot || len(l.Endpoints) != 2 {
		t.Errorf("first told %+v", l)
	}
	if _, told := s.DrainNotifiedAt(7, "a"); told {
		t.Error("a drain was told before there was one")
	}
	before := time.Now()
	s.Set(Entry{Name: "a", Address: "127.0.0.1:1", Status: "draining"})
	if l := testutil.Receive(t, "a drain", news); l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Status != "draining" {
		t.Errorf("told %+v", l)
	}
	if at, told := s.DrainNotifiedAt(7, "a"); !told || at.Before(before) || at.After(time.Now()) {
		t.Errorf("told at %v, %v", at, told)
	}
	if _, told := s.DrainNotifiedAt(8, "a"); told {
		t.Error("a proxy that does not watch was told")
	}
	s.Set(Entry{Name: "a", Address: "127.0.0.1:1", Status: "up"})
	testutil.Receive(t, "the end of the drain", news)
	if _, told := s.DrainNotifiedAt(7, "a"); told {
		t.Error("the drain is over, and still told")
	}
}

// TestAbsenceFromAListIsTold guards against a node that is gone while a proxy was
// not watching: a whole list without it tells so.
func TestAbsenceFromAListIsTold(t *testing.T) {
	s := New(entries())
	defer s.Close()
	address, err := s.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := discovery.NewClient(address).Fetch(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.Set(Entry{Name: "b", Status: "removed"})
	l, err := discovery.NewClient(address).Fetch(context.Background())
	if err != nil || len(l.Endpoints) != 1 {
		t.Fatalf("fetched %+v, %v", l, err)
	}
	if _, told := s.DrainNotifiedAt(0, "b"); !told {
		t.Error("its absence was not taken for told")
	}
}

func TestDownEndsWatchesAndCalls(t *testing.T) {
	s := New(entries())
	defer s.Close()
	address, err := s.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	news, ended := watch(t, address, 0)
	testutil.Receive(t, "the list", news)
	s.SetDown(true)
	testutil.Receive(t, "the watch to end", ended)
	if _, err := discovery.NewClient(address).Fetch(context.Background()); err == nil {
		t.Error("a call to a service that is down succeeded")
	}
	s.SetDown(false)
	if _, err := discovery.NewClient(address).Fetch(context.Background()); err != nil {
		t.Error(err)
	}
}

func TestMoveLeavesTheOldAddress(t *testing.T) {
	s := New(entries())
	defer s.Close()
	old, err := s.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	news, ended := watch(t, old, 0)
	testutil.Receive(t, "the list", news)
	now, err := s.Move(0)
	if err != nil || now == old {
		t.Fatalf("moved from %s to %s, %v", old, now, err)
	}
	if _, err := discovery.NewClient(old).Fetch(context.Background()); err == nil {
		t.Error("the old address takes connections")
	}
	if _, err := discovery.NewClient(now).Fetch(context.Background()); err != nil {
		t.Error(err)
	}
	testutil.Receive(t, "the old watch to end", ended)
}
