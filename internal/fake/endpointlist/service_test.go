package endpointlist

import (
	"context"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/testutil"
)

// watch follows a service as a proxy does. It returns channels of the lists that it receives, and of the error that
// ends the watch.
func watch(t *testing.T, address string, from uint64) (<-chan discovery.List, <-chan error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	updates := make(chan discovery.List, 100)
	ended := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- discovery.NewClient(address).Watch(ctx, from, func(l discovery.List) { updates <- l })
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return updates, ended
}

func entries() []Entry {
	return []Entry{{Name: "a", Address: "127.0.0.1:1", Status: "up"}, {Name: "b", Address: "127.0.0.1:2", Status: "up"}}
}

// TestWatchNotifiesOfDrainAndRecordsWhen checks that a watch delivers a drain, and that the service records when it
// notified each proxy (guarantee 1). Fault tests use this time to check that draining nodes get no new requests.
func TestWatchNotifiesOfDrainAndRecordsWhen(t *testing.T) {
	s := New(entries())
	defer s.Close()
	address, err := s.Open(7)
	if err != nil {
		t.Fatal(err)
	}
	updates, _ := watch(t, address, 0)
	if l := testutil.Receive(t, "the list", updates); !l.Snapshot || len(l.Endpoints) != 2 {
		t.Errorf("first notified of %+v", l)
	}
	if _, notified := s.DrainNotifiedAt(7, "a"); notified {
		t.Error("notified of a drain before there was one")
	}
	before := time.Now()
	s.Set(Entry{Name: "a", Address: "127.0.0.1:1", Status: "draining"})
	l := testutil.Receive(t, "a drain", updates)
	if l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Status != "draining" {
		t.Errorf("notified of %+v", l)
	}
	if at, notified := s.DrainNotifiedAt(7, "a"); !notified || at.Before(before) || at.After(time.Now()) {
		t.Errorf("notified at %v, %v", at, notified)
	}
	if _, notified := s.DrainNotifiedAt(8, "a"); notified {
		t.Error("a proxy that does not watch was notified")
	}
	s.Set(Entry{Name: "a", Address: "127.0.0.1:1", Status: "up"})
	testutil.Receive(t, "the end of the drain", updates)
	if _, notified := s.DrainNotifiedAt(7, "a"); notified {
		t.Error("still notified of a drain that is over")
	}
}

// TestAbsenceFromSnapshotCountsAsNotified checks that a complete list without a node counts as the notification that
// the node is gone (guarantee 1), if the node was removed while the proxy was not watching.
func TestAbsenceFromSnapshotCountsAsNotified(t *testing.T) {
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
	if _, notified := s.DrainNotifiedAt(0, "b"); !notified {
		t.Error("its absence did not count as a notification")
	}
}

func TestDownEndsWatchesAndFailsRequests(t *testing.T) {
	s := New(entries())
	defer s.Close()
	address, err := s.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	updates, ended := watch(t, address, 0)
	testutil.Receive(t, "the list", updates)
	s.SetDown(true)
	testutil.Receive(t, "the watch to end", ended)
	if _, err := discovery.NewClient(address).Fetch(context.Background()); err == nil {
		t.Error("a request to a service that is down succeeded")
	}
	s.SetDown(false)
	if _, err := discovery.NewClient(address).Fetch(context.Background()); err != nil {
		t.Error(err)
	}
}

func TestMoveRetiresOldAddress(t *testing.T) {
	s := New(entries())
	defer s.Close()
	old, err := s.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	updates, ended := watch(t, old, 0)
	testutil.Receive(t, "the list", updates)
	moved, err := s.Move(0)
	if err != nil || moved == old {
		t.Fatalf("moved from %s to %s, %v", old, moved, err)
	}
	if _, err := discovery.NewClient(old).Fetch(context.Background()); err == nil {
		t.Error("the old address accepts connections")
	}
	if _, err := discovery.NewClient(moved).Fetch(context.Background()); err != nil {
		t.Error(err)
	}
	testutil.Receive(t, "the old watch to end", ended)
}
