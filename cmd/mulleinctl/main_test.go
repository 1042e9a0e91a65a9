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
)

// Each command against stand-in proxies, with what it prints and the code that it exits with.
func TestCommands(t *testing.T) {
	ns, err := scriptednode.Start(scriptednode.Meta, 1, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		switch a.Key {
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
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ns.Close()
	list := filepath.Join(t.TempDir(), "proxies")
	if err := os.WriteFile(list, []byte("# one\n"+ns.Address(0)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	at := "--proxies=" + ns.Address(0)
	for _, c := range []struct {
		args     string
		code     int
		out, log string // each contained
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
		if code(err) != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(log.String(), c.log) {
			t.Errorf("mulleinctl %s: %v (exit %d, want %d)\n%s\n%s", c.args, err, code(err), c.code, out.String(), log.String())
		}
	}
	if asked := ns.Requests(); asked[len(asked)-2].Value != "from input" && asked[len(asked)-3].Value != "from input" {
		t.Errorf("the value was not read from standard input: %+v", asked[len(asked)-3:])
	}
	file := filepath.Join(t.TempDir(), "load.json")
	var out bytes.Buffer
	err = run(context.Background(), strings.Fields("load "+at+" --clients=5 --rate=200 --for=300ms --kind=brief --json="+file), nil, &out, &out)
	text, _ := os.ReadFile(file)
	var r loadgen.Result
	if err != nil || json.Unmarshal(text, &r) != nil || r.Phases[0].InTime == 0 || !strings.Contains(out.String(), "in time") {
		t.Errorf("load: %v\n%s\n%s", err, out.String(), text)
	}
}
