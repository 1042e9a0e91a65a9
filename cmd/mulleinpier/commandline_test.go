package main

import (
	"errors"
	"io"
	"strings"
	"testing"

	"mulleinpier/internal/daemon"
)

// TestCountsAndReduceAreExclusive: counts and levels of service would each take the samples of the other.
func TestCountsAndReduceAreExclusive(t *testing.T) {
	options := daemon.Options{Getenv: func(string) string { return "" }}
	err := run([]string{"platform", "--reduce", "--counts"}, io.Discard, options)
	if !errors.Is(err, errUsage) {
		t.Errorf("error %v, want one of usage", err)
	}
}

// TestHelpSucceeds guards the command lines that operators try first.
func TestHelpSucceeds(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"serve", "--help"}} {
		var out strings.Builder
		err := run(args, &out, daemon.Options{Log: io.Discard, Getenv: func(string) string { return "" }})
		if err != nil || !strings.Contains(out.String(), "Usage: mulleinpier") {
			t.Errorf("%q: %v: %s", args, err, out.String())
		}
	}
}
