package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/loadgen"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
)

// The files in testdata/recorded were written by the version before the program was renamed. Scripts depend on verbs,
// flags, JSON output and exit codes, so later versions must produce the same ones.

func TestVerbsAndFlagsAsRecorded(t *testing.T) {
	verbs := []string{"get", "set", "load", "fleet list", "work list"}
	leaseVerbs := []string{"hold", "list", "show", "release", "revoke", "limit", "hand", "init", "enrol", "dismiss"}
	for _, verb := range leaseVerbs {
		verbs = append(verbs, "lease "+verb)
	}
	var got bytes.Buffer
	for _, verb := range verbs {
		var out, log bytes.Buffer
		err := run(context.Background(), append(strings.Fields(verb), "--help"), strings.NewReader(""), &out, &log)
		if exitCode(err) != 0 {
			t.Errorf("%s --help: exit %d: %v", verb, exitCode(err), err)
		}
		for _, line := range testutil.HelpSignature(out.String()) {
			fmt.Fprintf(&got, "%s: %s\n", verb, line)
		}
	}
	if want := testutil.Recorded(t, "testdata/recorded/flags.txt"); !bytes.Equal(got.Bytes(), want) {
		t.Errorf("verbs and flags differ from those recorded; got\n%s\nwant\n%s", got.Bytes(), want)
	}
}

func TestJSONAsRecorded(t *testing.T) {
	for _, c := range []struct {
		file   string
		into   any
		indent string // indentation of JSON that the command writes to a file; "" for standard output
	}{
		{"fleet-list.json", &[]peer.MemberState{}, ""},
		{"lease-list.json", &agent.VoterState{}, ""},
		{"lease-show.json", &lease.Task{}, ""},
		{"lease-show-revoked.json", &lease.Task{}, ""},
		{"work-list.json", &[]takeover.WriteStatus{}, ""},
		{"work-list-empty.json", &[]takeover.WriteStatus{}, ""},
		{"load.json", &loadgen.Result{}, " "},
	} {
		t.Run(c.file, func(t *testing.T) {
			testutil.CheckRecordedJSON(t, "testdata/recorded/"+c.file, c.into, c.indent)
		})
	}
}

// TestExitCodesAsRecorded runs the commands in exit-codes.txt and checks their exit codes and output. Each line of the
// file has an exit code, the quoted standard output and the arguments.
func TestExitCodesAsRecorded(t *testing.T) {
	proxy, list := startProxy(t)
	placeholders := strings.NewReplacer("{proxy}", proxy.Address(0), "{list}", list)
	lines := bufio.NewScanner(bytes.NewReader(testutil.Recorded(t, "testdata/recorded/exit-codes.txt")))
	for lines.Scan() {
		columns := strings.SplitN(lines.Text(), "\t", 3)
		want, err := strconv.Atoi(columns[0])
		if err != nil {
			t.Fatal(err)
		}
		stdout, err := strconv.Unquote(columns[1])
		if err != nil {
			t.Fatal(err)
		}
		var out, log bytes.Buffer
		args := strings.Fields(placeholders.Replace(columns[2]))
		err = run(context.Background(), args, strings.NewReader("from input"), &out, &log)
		if exitCode(err) != want || out.String() != stdout {
			t.Errorf("%s: exit %d, want %d; printed %q, want %q; %v",
				columns[2], exitCode(err), want, out.String(), stdout, err)
		}
	}
}

func TestLoadTableAsRecorded(t *testing.T) {
	proxy, _ := startProxy(t)
	var out bytes.Buffer
	args := strings.Fields("load --clients=2 --rate=50 --for=100ms --kind=brief --proxies=" + proxy.Address(0))
	if err := run(context.Background(), args, nil, &out, &out); err != nil {
		t.Fatal(err)
	}
	var rows strings.Builder
	for line := range strings.Lines(out.String()) {
		name, _, _ := strings.Cut(line, "  ")
		rows.WriteString(name + "\n")
	}
	if want := string(testutil.Recorded(t, "testdata/recorded/load-rows.txt")); rows.String() != want {
		t.Errorf("got\n%s\nwant\n%s", rows.String(), want)
	}
}
