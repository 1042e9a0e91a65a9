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

// TestThirdPartyClient checks that a third-party client can authenticate, read and write through the daemon. It writes
// without a ticket and, three times, with the ticket that a read returned as CAS.
func TestThirdPartyClient(t *testing.T) {
	d := newTestDaemon(t, node.Config{MissingKeyPrefix: "none"})
	replaceFile(t, filepath.Join(filepath.Dir(d.path), "users"), secretLine(t, "till", "rose"))
	d.configure("[binary]\nusers = \"users\"\n")
	d.start()
	d.awaitNotified("READY=1")
	c, err := memcached.Connect("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.Get(0, "order")
	expectStatus(t, "before authentication", err, gomemcached.AUTH_ERROR)
	if _, err := c.Auth("till", "rose"); err != nil {
		t.Fatal(err)
	}
	got, err := c.Get(0, "order")
	if err != nil || !strings.HasPrefix(string(got.Body), "order n") || got.Cas == 0 {
		t.Fatalf("read %v, %v", got, err)
	}
	written, err := c.Set(0, "order", 0, 0, []byte("plain"))
	expectSuccess(t, written, err)
	for range 3 { // the three writes with one ticket must take effect once
		written, err := c.SetCas(0, "order", 0, 0, got.Cas, []byte("with a ticket"))
		expectSuccess(t, written, err)
	}
	_, err = c.SetCas(0, "order", 0, 0, 12345, []byte("x"))
	expectStatus(t, "with a CAS that is no ticket", err, gomemcached.KEY_EEXISTS)
	_, err = c.Get(0, "none")
	expectStatus(t, "of a missing key", err, gomemcached.KEY_ENOENT)
	if n := d.origin.Stats().Writes; n != 2 {
		t.Errorf("%d writes took effect, want 2", n)
	}
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// secretLine returns the line that the command secret prints for a user.
func secretLine(t *testing.T, user, secret string) []byte {
	t.Helper()
	cmd := exec.Command(os.Args[0], "secret", "--user", user)
	cmd.Stdin = strings.NewReader(secret + "\n")
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	line, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	return line
}

func expectSuccess(t *testing.T, response *gomemcached.MCResponse, err error) {
	t.Helper()
	if err != nil || response.Status != gomemcached.SUCCESS {
		t.Errorf("wrote %v, %v", response, err)
	}
}

// expectStatus fails the test unless err is a response with the given status.
func expectStatus(t *testing.T, when string, err error, status gomemcached.Status) {
	t.Helper()
	var response *gomemcached.MCResponse
	if !errors.As(err, &response) || response.Status != status {
		t.Errorf("%s: got %v, want status %v", when, err, status)
	}
}
