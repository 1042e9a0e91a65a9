package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/testutil"
)

// reserveVoters returns a fleet with three voters at free addresses, and the flags that name them.
func reserveVoters(t *testing.T) (fleet agent.Fleet, flags []string) {
	t.Helper()
	fleet.Name = "shop"
	var names []string
	for i := range 3 {
		voter := agent.VoterAddress{Name: fmt.Sprint("v", i), Address: testutil.ReserveAddress(t, "127.0.0.6")}
		fleet.Voters = append(fleet.Voters, voter)
		names = append(names, voter.Name+"="+voter.Address)
	}
	return fleet, []string{"--fleet=shop", "--voters=" + strings.Join(names, ",")}
}

// startVoters starts three voters, creates their storage with lease init, and returns the flags that name them.
func startVoters(t *testing.T) []string {
	t.Helper()
	fleet, flags := reserveVoters(t)
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() {
		stop()
		tasks.Wait()
	})
	for _, voter := range fleet.Voters {
		memory := filepath.Join(t.TempDir(), "memory")
		initVoter := append([]string{"lease", "init", "--memory=" + memory}, flags...)
		if out, code := mulleinctl(t, initVoter...); code != 0 {
			t.Fatal(out)
		}
		if _, code := mulleinctl(t, initVoter...); code == 0 {
			t.Fatal("storage was created twice")
		}
		v, err := agent.Open(memory, fleet, voter.Name, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", voter.Address)
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { v.Run(ctx, l) })
	}
	return flags
}

// result is the output and the exit code of a run of mulleinctl.
type result struct {
	out  string
	code int
}

// mulleinctl runs a command in this process. It returns everything that the command printed, followed by its error, and
// the exit code.
func mulleinctl(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	var b bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	err := run(ctx, args, strings.NewReader(""), &b, &b)
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	return b.String(), exitCode(err)
}

// leaseVerb runs a verb of mulleinctl lease with arguments.
type leaseVerb func(verb string, args ...string) (out string, code int)

// want runs a verb, fails the test unless the verb ends with the exit code code, and returns what the verb printed.
func (v leaseVerb) want(t *testing.T, code int, verb string, args ...string) string {
	t.Helper()
	out, got := v(verb, args...)
	if got != code {
		t.Errorf("lease %s %q: exit %d, want %d: %s", verb, args, got, code, out)
	}
	return out
}

// heldFor returns the number of the grant of the task backup that the verb show lists with the given duration, or "" if
// there is none.
func (v leaseVerb) heldFor(duration string) string {
	out, _ := v("show", "backup")
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[0] == "backup" && fields[4] == duration {
			return fields[2]
		}
	}
	return ""
}

// TestLeaseVerbs checks the output and the exit codes of the lease verbs against three real voters: hold, show, revoke,
// limit and list.
func TestLeaseVerbs(t *testing.T) {
	flags := startVoters(t)
	var verb leaseVerb = func(verb string, args ...string) (string, int) {
		return mulleinctl(t, append(append([]string{"lease", verb}, flags...), args...)...)
	}
	out := verb.want(t, 0, "hold", "backup", "--", "sh", "-c", "echo $MULLEIN_TASK $MULLEIN_LEASE")
	if out != "backup 1\n" {
		t.Fatalf("the command printed %q", out)
	}
	// The task becomes free when the lease is released, or expires if the release was lost.
	testutil.WaitUntil(t, "the task to be free", func() bool {
		out, code := verb("show", "backup")
		return code == 0 && strings.Contains(out, "free")
	})
	verb.want(t, exitFailed, "show", "nothing")
	verb.want(t, exitUsage, "hold", "backup")
	ended := make(chan result, 1)
	go func() {
		out, code := verb("hold", "--length=10s", "backup", "--", "sleep", "60")
		ended <- result{out, code}
	}()
	number := ""
	testutil.WaitUntil(t, "the task to be held", func() bool {
		number = verb.heldFor("10s")
		return number != ""
	})
	verb.want(t, exitHeld, "hold", "backup", "--", "true")
	verb.want(t, 0, "revoke", "backup", number)
	if r := testutil.Receive(t, "the command to be ended", ended); r.code != exitLost {
		t.Errorf("revoked: exit %d: %s", r.code, r.out)
	}
	out = verb.want(t, 0, "hold", "--wait=25s", "backup", "--", "sh", "-c", "echo $MULLEIN_LEASE")
	revoked, _ := strconv.Atoi(number)
	if next, err := strconv.Atoi(strings.TrimSpace(out)); err != nil || next <= revoked {
		t.Errorf("after the revoked grant %s came %q", number, out)
	}
	verb.want(t, 0, "limit", "backup", "2")
	if out := verb.want(t, 0, "list", "--json"); !strings.Contains(out, `"most":2`) {
		t.Errorf("limit is not 2: %s", out)
	}
}
