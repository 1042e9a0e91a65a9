package cli

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	var words struct {
		Do struct {
			What string `arg:""`
		} `cmd:"" help:"Do it."`
	}
	if command, err := Parse(&words, "x", "It does.", []string{"do", "this"}, io.Discard, io.Discard); err != nil || command != "do <what>" || words.Do.What != "this" {
		t.Errorf("%q, %v, %+v", command, err, words)
	}
	var out strings.Builder
	if command, err := Parse(&words, "x", "It does.", []string{"--help"}, &out, io.Discard); err != nil || command != "" || !strings.Contains(out.String(), "Do it.") {
		t.Errorf("%q, %v: %s", command, err, out.String())
	}
	for _, args := range [][]string{{}, {"do"}, {"dance"}, {"do", "this", "--now"}} {
		if _, err := Parse(&words, "x", "It does.", args, io.Discard, io.Discard); !errors.Is(err, ErrUsage) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", args, err)
		}
	}
}
