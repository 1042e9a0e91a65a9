// Package cli reads the words of a program's command line by kong, so that all programs here do it alike: help and the like
// are printed and end well, and what can't be meant is an error of its own, said in one line.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// ErrUsage is the error of words that can't be meant.
var ErrUsage = errors.New("bad usage")

// ended is what the parser panics with once it has printed what was asked for.
type ended struct{}

// Parse reads args into a structure of commands, and returns the command that is meant, with its arguments' names behind
// it; "" where something was printed in its place.
func Parse(into any, name, description string, args []string, out, log io.Writer) (command string, err error) {
	parser, err := kong.New(into, kong.Name(name), kong.Description(description), kong.Writers(out, log), kong.Exit(func(int) { panic(ended{}) }))
	if err != nil {
		return "", err
	}
	defer func() {
		if p := recover(); p == (ended{}) {
			command, err = "", nil
		} else if p != nil {
			panic(p)
		}
	}()
	chosen, err := parser.Parse(args)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return chosen.Command(), nil
}
