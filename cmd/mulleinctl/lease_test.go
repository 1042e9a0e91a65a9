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
	"time"

	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/testutil"
)

// voters starts three voters whose memory was made by the verb for it, and returns the flags that name them.
func voters(t *testing.T) []string {
	t.Helper()
	f := agent.Fleet{Name: "shop"}
	var names []string
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.6:0") // where no connection goes out from
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		f.Voters = append(f.Voters, agent.VoterAddress{Name: fmt.Sprint("v", i), Address: l.Addr().String()})
		names = append(names, fmt.Sprintf("v%d=%s", i, l.Addr()))
	}
	flags := []string{"--fleet=shop", "--voters=" + strings.Join(names, ",")}
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { stop(); tasks.Wait() })
	for i, p := range f.Voters {
		memory := filepath.Join(t.TempDir(), "memory")
		if out, code := mulleinctl(t, append([]string{"lease", "init", "--memory=" + memory}, flags...)...); code != 0 {
			t.Fatal(out)
		}
		if _, code := mulleinctl(t, append([]string{"lease", "init", "--memory=" + memory}, flags...)...); code == 0 {
			t.Fatal("memory was made twice")
		}
		v, err := agent.Open(memory, f, p.Name, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", f.Voters[i].Address)
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { v.Run(ctx, l) })
	}
	return flags
}

// mulleinctl runs a verb.
func mulleinctl(t *testing.T, args ...string) (out string, exit int) {
	t.Helper()
	var b bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	err := run(ctx, args, strings.NewReader(""), &b, &b)
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	return b.String(), code(err)
}

// greater tells whether a line is a number above another.
func greater(line string, than int) bool {
	n, err := strconv.Atoi(strings.TrimSpace(line))
	return err == nil && n > than
}

func TestLeaseVerbs(t *testing.T) {
	flags := voters(t)
	verb := func(args ...string) (string, int) {
		return mulleinctl(t, append(append([]string{"lease"}, args[0]), append(flags, args[1:]...)...)...)
	}
	if out, code := verb("hold", "backup", "--", "sh", "-c", "echo $MULLEIN_TASK $MULLEIN_LEASE"); code != 0 || out != "backup 1\n" {
		t.Fatalf("exit %d: %q", code, out)
	}
	// It is given back, or over at the latest after its length, if the word got lost.
	free := func() bool { out, code := verb("show", "backup"); return code == 0 && strings.Contains(out, "free") }
	testutil.WaitUntil(t, "the task to be free", free)
	if out, code := verb("show", "nothing"); code == 0 {
		t.Errorf("a task that nobody asked for: %s", out)
	}
	if out, code := verb("hold", "backup"); code != exitUsage {
		t.Errorf("without a command: exit %d: %s", code, out)
	}
	type result struct {
		out  string
		code int
	}
	ended := make(chan result, 1)
	begun := time.Now()
	go func() {
		out, code := verb("hold", "--length=10s", "backup", "--", "sleep", "60")
		ended <- result{out, code}
	}()
	number := ""
	testutil.WaitUntil(t, "it to be held", func() bool {
		out, _ := verb("show", "backup")
		for line := range strings.Lines(out) {
			if f := strings.Fields(line); len(f) > 4 && f[0] == "backup" && f[4] == "10s" {
				number = f[2]
			}
		}
		return number != ""
	})
	if out, code := verb("hold", "backup", "--", "true"); code != exitTaken {
		t.Errorf("taken: exit %d: %s", code, out)
	}
	if out, code := verb("revoke", "backup", number); code != 0 {
		t.Errorf("revoke: exit %d: %s", code, out)
	}
	if r := testutil.Receive(t, "the command to be ended", ended); r.code != exitLost {
		t.Errorf("revoked: exit %d after %v: %s", r.code, time.Since(begun), r.out)
	}
	out, code := verb("hold", "--wait=25s", "backup", "--", "sh", "-c", "echo $MULLEIN_LEASE")
	if before, _ := strconv.Atoi(number); code != 0 || !greater(out, before) {
		t.Errorf("after the revoked one, number %s: exit %d: %q", number, code, out)
	}
	if out, code := verb("limit", "backup", "2"); code != 0 {
		t.Errorf("limit: exit %d: %s", code, out)
	}
	if out, code := verb("list", "--json"); code != 0 || !strings.Contains(out, `"most":2`) {
		t.Errorf("exit %d: %s", code, out)
	}
}
