package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/loadgen"
	"mulleinpier/internal/meta"
)

// reactByKey returns the reaction of the scripted proxy to a request, which depends on its key.
func reactByKey(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
	switch r.Key {
	case "none":
		return scriptednode.Miss
	case "busy":
		return scriptednode.Busy
	case "lost":
		return scriptednode.Fail
	case "bad":
		return scriptednode.Invalid
	}
	return scriptednode.Serve
}

// startProxy starts a scripted proxy. It returns the proxy and the path of a file that lists its address.
func startProxy(t *testing.T) (proxy *scriptednode.Nodes, list string) {
	t.Helper()
	proxy, err := scriptednode.Start(scriptednode.Meta, 1, reactByKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	list = filepath.Join(t.TempDir(), "proxies")
	if err := os.WriteFile(list, []byte("# one\n"+proxy.Address(0)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return proxy, list
}

// TestOutputAndExitCodeOfEachCommand checks the output and the exit code of get, set and invalid commands against a
// scripted proxy.
func TestOutputAndExitCodeOfEachCommand(t *testing.T) {
	proxy, list := startProxy(t)
	at := "--proxies=" + proxy.Address(0)
	for _, c := range []struct {
		args     string
		code     int
		out, log string // texts that standard output and the log must contain
	}{
		{"get " + at + " a b", 0, "v:a\nv:b\n", ""},
		{"get --file=" + list + " a", 0, "v:a\n", ""},
		{"get " + at + " --trace a", 0, "v:a\n", "served"},
		{"get " + at + " a none", exitMiss, "v:a\n", "no such key"},
		{"get " + at + " --wait=200ms busy", exitRefused, "", "refused"},
		{"get " + at + " bad", exitUsage, "", "CLIENT_ERROR bad class"},
		{"get " + at + " --wait=1ms a", exitUsage, "", ""},
		{"get --proxies=127.0.0.2:1 --wait=100ms a", exitFailed, "", ""},
		{"get a", exitUsage, "", ""},
		{"get " + at + " --file=" + list + " a", exitUsage, "", ""},
		{"set " + at + " k value", 0, "7\n", ""},
		{"set " + at + " k", 0, "7\n", ""},
		{"set " + at + " --effect=unsafe --class=plain lost value", exitUnknown, "", "may have been carried out"},
		{"set " + at + " --effect=odd k value", exitUsage, "", ""},
		{"nonsense", exitUsage, "", ""},
		{"--help", 0, "Usage: mulleinctl", ""},
	} {
		var out, log bytes.Buffer
		err := run(context.Background(), strings.Fields(c.args), strings.NewReader("from input"), &out, &log)
		printed := strings.Contains(out.String(), c.out) && strings.Contains(log.String(), c.log)
		if exitCode(err) != c.code || !printed {
			t.Errorf("mulleinctl %s: %v (exit %d, want %d)\n%s\n%s",
				c.args, err, exitCode(err), c.code, out.String(), log.String())
		}
	}
	requests := proxy.Requests()
	last := requests[len(requests)-3:]
	if last[1].Value != "from input" && last[0].Value != "from input" {
		t.Errorf("the value was not read from standard input: %+v", last)
	}
}

// TestTooLargeValueIsNotCut checks that a value on standard input over the limit is a usage error, and is not written.
func TestTooLargeValueIsNotCut(t *testing.T) {
	proxy, _ := startProxy(t)
	for size, want := range map[int]int{meta.MaxValue: 0, meta.MaxValue + 1: exitUsage, 3 << 20: exitUsage} {
		args := []string{"set", "--proxies=" + proxy.Address(0), "k"}
		var out bytes.Buffer
		err := run(context.Background(), args, strings.NewReader(strings.Repeat("v", size)), &out, &out)
		if exitCode(err) != want {
			t.Errorf("%d bytes: %v (exit %d, want %d)", size, err, exitCode(err), want)
		}
	}
	if requests := proxy.Requests(); len(requests) != 1 || len(requests[0].Value) != meta.MaxValue {
		t.Errorf("%d values were written", len(requests))
	}
}

func TestLoadWritesItsResults(t *testing.T) {
	proxy, _ := startProxy(t)
	path := filepath.Join(t.TempDir(), "load.json")
	args := []string{
		"load", "--proxies=" + proxy.Address(0), "--json=" + path,
		"--clients=5", "--rate=200", "--for=300ms", "--kind=brief",
	}
	var out bytes.Buffer
	err := run(context.Background(), args, nil, &out, &out)
	text, _ := os.ReadFile(path)
	var result loadgen.Result
	if err != nil || json.Unmarshal(text, &result) != nil {
		t.Fatalf("%v\n%s\n%s", err, out.String(), text)
	}
	if result.Phases[0].InTime == 0 || !strings.Contains(out.String(), "in time") {
		t.Errorf("%s\n%s", out.String(), text)
	}
}
