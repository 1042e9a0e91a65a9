package discovery

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulleinpier/internal/testutil"
)

// watchFile watches a node file as package core does: it starts a new watch each time that one ends. It returns the
// delivered lists and the errors with which watches end.
func watchFile(t *testing.T, path string) (<-chan List, <-chan error) {
	ctx, stop := context.WithCancel(context.Background())
	lists, errs := make(chan List, 100), make(chan error, 100)
	done := make(chan struct{})
	source := SourceConfig{File: path}.Open()
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := source.Watch(ctx, 0, func(l List) { lists <- l }); ctx.Err() == nil {
				errs <- err
			}
		}
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return lists, errs
}

const (
	oneNode  = "[[node]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
	twoNodes = oneNode +
		"[[node]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\nstatus = \"draining\"\nweight = 0.0\nsince_ms = 7\n"
)

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestFileChangesAreDelivered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.toml")
	writeFile(t, path, oneNode)
	lists, errs := watchFile(t, path)
	l := testutil.Receive(t, "the list", lists)
	if !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Weight != 1 {
		t.Errorf("delivered %+v", l)
	}
	writeFile(t, path, twoNodes)
	l = testutil.Receive(t, "a change", lists)
	second := Endpoint{Name: "b", Address: "127.0.0.1:2", Status: "draining", StartedMillis: 7}
	if len(l.Endpoints) != 2 || l.Endpoints[1] != second {
		t.Errorf("delivered %+v", l)
	}
	writeFile(t, path, "[[node")
	if err := testutil.Receive(t, "the error of an invalid file", errs); err == nil {
		t.Error("an invalid file returned no error")
	}
	os.Remove(path)
	if err := testutil.Receive(t, "the error of a missing file", errs); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the error of a missing file is %v", err)
	}
	writeFile(t, path, oneNode)
	if l := testutil.Receive(t, "the valid file", lists); len(l.Endpoints) != 1 {
		t.Errorf("delivered %+v", l)
	}
	if len(errs) > 0 {
		t.Errorf("an error was returned twice: %v", <-errs)
	}
}

// TestTooLargeFileIsError checks that a file over the bound is rejected. A part of it may be valid and contain fewer
// nodes.
func TestTooLargeFileIsError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.toml")
	second := strings.TrimPrefix(twoNodes, oneNode)
	padding := maxListBytes - len(twoNodes)
	writeFile(t, path, oneNode+comment(padding)+second)
	if l, err := ReadFile(path); err != nil || len(l.Endpoints) != 2 {
		t.Errorf("a file of the largest size: %d nodes, %v", len(l.Endpoints), err)
	}
	writeFile(t, path, oneNode+comment(padding+1)+second)
	want := fmt.Sprintf("endpoint list: %s: is larger than %d bytes", path, maxListBytes)
	if l, err := ReadFile(path); err == nil || err.Error() != want {
		t.Errorf("a larger file: %d nodes, %v", len(l.Endpoints), err)
	}
}

// comment returns a TOML comment of this size.
func comment(size int) string { return strings.Repeat("#", size-1) + "\n" }

// TestHalfWrittenFileIsNotUsed checks that a file is not used while it is being overwritten. Its first half may be
// valid and contain fewer nodes.
func TestHalfWrittenFileIsNotUsed(t *testing.T) {
	var r fileReads
	for i, read := range []struct {
		text     string
		isChange bool
	}{
		{twoNodes, false}, {twoNodes, true}, {twoNodes, false}, // delivered once
		{oneNode, false}, {twoNodes, false}, {twoNodes, false}, // half of it was read in between
		{oneNode, false}, {twoNodes, false}, {oneNode, false}, {oneNode, true},
		{twoNodes, false}, {twoNodes, true},
	} {
		if got := r.isStableChange(read.text); got != read.isChange {
			t.Errorf("read %d: reported as a stable change: %v", i, got)
		}
	}
}

func TestStaticListNeverChanges(t *testing.T) {
	source := SourceConfig{StaticAddresses: "127.0.0.1:1,127.0.0.1:2"}.Open()
	ctx, stop := context.WithCancel(context.Background())
	lists := make(chan List, 2)
	ended := make(chan error, 1)
	go func() { ended <- source.Watch(ctx, 0, func(l List) { lists <- l }) }()
	if l := testutil.Receive(t, "the list", lists); len(l.Endpoints) != 2 || l.Endpoints[1].Name != "127.0.0.1:2" {
		t.Errorf("delivered %+v", l)
	}
	stop()
	if err := testutil.Receive(t, "the end", ended); err == nil || len(lists) != 0 {
		t.Errorf("ended with %v, %d more delivered", err, len(lists))
	}
}
