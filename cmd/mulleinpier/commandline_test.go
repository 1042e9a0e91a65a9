package main

import (
	"errors"
	"io"
	"strings"
	"testing"

	"mulleinpier/internal/daemon"
	"mulleinpier/internal/logqueue"
)

// TestCountsAndReduceAreExclusive checks that the options --counts and --reduce together are a usage error. Counts and
// degradation levels read the same samples, so each would consume samples that the other needs.
func TestCountsAndReduceAreExclusive(t *testing.T) {
	options := daemon.Options{Getenv: func(string) string { return "" }}
	err := run([]string{"platform", "--reduce", "--counts"}, io.Discard, options)
	if !errors.Is(err, errUsage) {
		t.Errorf("got error %v, want a usage error", err)
	}
}

// TestHelpSucceeds checks that --help, with and without a command, prints the usage and returns no error.
func TestHelpSucceeds(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"serve", "--help"}} {
		var out strings.Builder
		err := run(args, &out, daemon.Options{Log: logqueue.New(io.Discard), Getenv: func(string) string { return "" }})
		if err != nil || !strings.Contains(out.String(), "Usage: mulleinpier") {
			t.Errorf("%q: %v: %s", args, err, out.String())
		}
	}
}
