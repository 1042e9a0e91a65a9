package discovery

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"mulleinpier/internal/testutil"
)

// follow watches a node file as the core does: anew each time a watch ends.
func follow(t *testing.T, path string) (<-chan List, <-chan error) {
	ctx, stop := context.WithCancel(context.Background())
	news, wrong := make(chan List, 100), make(chan error, 100)
	done := make(chan struct{})
	source := SourceConfig{File: path}.Open()
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := source.Watch(ctx, 0, func(l List) { news <- l }); ctx.Err() == nil {
				wrong <- err
			}
		}
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return news, wrong
}

const (
	one = "[[node]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
	two = one + "[[node]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\nstatus = \"draining\"\nweight = 0.0\nsince_ms = 7\n"
)

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestFileIsToldWhenItChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.toml")
	put(t, path, one)
	news, wrong := follow(t, path)
	if l := testutil.Receive(t, "the list", news); !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Weight != 1 {
		t.Errorf("told %+v", l)
	}
	put(t, path, two)
	l := testutil.Receive(t, "a change", news)
	if len(l.Endpoints) != 2 || l.Endpoints[1] != (Endpoint{Name: "b", Address: "127.0.0.1:2", Status: "draining", StartedMillis: 7}) {
		t.Errorf("told %+v", l)
	}
	put(t, path, "[[node")
	if err := testutil.Receive(t, "the defect", wrong); err == nil {
		t.Error("a defect without an error")
	}
	os.Remove(path)
	if err := testutil.Receive(t, "the loss", wrong); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a lost file is told as %v", err)
	}
	put(t, path, one)
	if l := testutil.Receive(t, "the mend", news); len(l.Endpoints) != 1 {
		t.Errorf("told %+v", l)
	}
	if len(wrong) > 0 {
		t.Errorf("a defect was told twice: %v", <-wrong)
	}
}

// TestHalfAFileIsNotBelieved guards against a file that is being written over: its
// first half reads as a whole file that names fewer nodes.
func TestHalfAFileIsNotBelieved(t *testing.T) {
	var k looks
	for i, look := range []struct {
		text string
		news bool
	}{
		{two, false}, {two, true}, {two, false}, // told once
		{one, false}, {two, false}, {two, false}, // half of it was seen in between
		{one, false}, {two, false}, {one, false}, {one, true},
		{two, false}, {two, true},
	} {
		if got := k.settled(look.text); got != look.news {
			t.Errorf("look %d: %v", i, got)
		}
	}
}

func TestFixedListStays(t *testing.T) {
	source := SourceConfig{StaticAddresses: "127.0.0.1:1,127.0.0.1:2"}.Open()
	ctx, stop := context.WithCancel(context.Background())
	told := make(chan List, 2)
	ended := make(chan error, 1)
	go func() { ended <- source.Watch(ctx, 0, func(l List) { told <- l }) }()
	if l := testutil.Receive(t, "the list", told); len(l.Endpoints) != 2 || l.Endpoints[1].Name != "127.0.0.1:2" {
		t.Errorf("told %+v", l)
	}
	stop()
	if err := testutil.Receive(t, "the end", ended); err == nil || len(told) != 0 {
		t.Errorf("ended with %v, told %d more", err, len(told))
	}
}
