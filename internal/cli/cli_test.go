package cli

import (
	"errors"
	"io"
	"strings"
	"testing"
)

type testCommands struct {
	Do struct {
		What string `arg:""`
	} `cmd:"" help:"Do it."`
}

func TestCommandIsParsed(t *testing.T) {
	var c testCommands
	command, err := Parse(&c, "x", "It does.", []string{"do", "this"}, io.Discard, io.Discard)
	if err != nil || command != "do <what>" || c.Do.What != "this" {
		t.Errorf("%q, %v, %+v", command, err, c)
	}
}

func TestHelpIsPrinted(t *testing.T) {
	var c testCommands
	var out strings.Builder
	command, err := Parse(&c, "x", "It does.", []string{"--help"}, &out, io.Discard)
	if err != nil || command != "" || !strings.Contains(out.String(), "Do it.") {
		t.Errorf("%q, %v: %s", command, err, out.String())
	}
}

func TestInvalidCommandLineIsErrUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"do"}, {"dance"}, {"do", "this", "--now"}} {
		var c testCommands
		_, err := Parse(&c, "x", "It does.", args, io.Discard, io.Discard)
		if !errors.Is(err, ErrUsage) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", args, err)
		}
	}
}
