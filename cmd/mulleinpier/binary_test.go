package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/couchbase/gomemcached"
	memcached "github.com/couchbase/gomemcached/client"

	"mulleinpier/internal/fake/node"
)

// TestClientLibraryOfOthers has a client that was written elsewhere prove who it is, read
// and write through the daemon, plainly and with the ticket that a read brought.
func TestClientLibraryOfOthers(t *testing.T) {
	r := newRig(t, node.Config{MissingKeyPrefix: "none"})
	cmd := exec.Command(os.Args[0], "secret", "--user", "till")
	cmd.Stdin = strings.NewReader("rose\n")
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	line, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	replace(t, filepath.Join(filepath.Dir(r.path), "users"), line)
	r.configure("[binary]\nusers = \"users\"\n")
	r.start()
	r.hear("READY=1")
	c, err := memcached.Connect("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var told *gomemcached.MCResponse
	if _, err := c.Get(0, "order"); !errors.As(err, &told) || told.Status != gomemcached.AUTH_ERROR {
		t.Errorf("before its proof it was told %v", err)
	}
	if _, err := c.Auth("till", "rose"); err != nil {
		t.Fatal(err)
	}
	got, err := c.Get(0, "order")
	if err != nil || !strings.HasPrefix(string(got.Body), "order n") || got.Cas == 0 {
		t.Fatalf("read %v, %v", got, err)
	}
	if got, err := c.Set(0, "order", 0, 0, []byte("plain")); err != nil || got.Status != gomemcached.SUCCESS {
		t.Errorf("wrote %v, %v", got, err)
	}
	for range 3 { // its ticket makes it one handover, however often it is sent
		if got, err := c.SetCas(0, "order", 0, 0, got.Cas, []byte("with a ticket")); err != nil || got.Status != gomemcached.SUCCESS {
			t.Errorf("wrote %v, %v", got, err)
		}
	}
	if _, err := c.SetCas(0, "order", 0, 0, 12345, []byte("x")); !errors.As(err, &told) || told.Status != gomemcached.KEY_EEXISTS {
		t.Errorf("with a CAS that is no ticket it was told %v", err)
	}
	if _, err := c.Get(0, "none"); !errors.As(err, &told) || told.Status != gomemcached.KEY_ENOENT {
		t.Errorf("of a key that is not there it was told %v", err)
	}
	if n := r.center.Stats().Writes; n != 2 {
		t.Errorf("%d writes took effect, want 2", n)
	}
	r.signal(syscall.SIGTERM)
	r.end()
}
