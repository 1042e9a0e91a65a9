// Package cli parses the command lines of all programs here by kong in the same way: help and the like are printed
// and end successfully, and an invalid command line is an error of its own, of one line.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// ErrUsage is the error of an invalid command line.
var ErrUsage = errors.New("bad usage")

// exit is the panic that replaces the exit of the program once the parser has printed what was asked for.
type exit struct{}

// Parse parses args into a structure of commands. It returns the command that was chosen, followed by the names of
// its arguments, or "" where something was printed instead.
func Parse(into any, name, description string, args []string, out, log io.Writer) (command string, err error) {
	parser, err := kong.New(into,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(out, log),
		kong.Exit(func(int) { panic(exit{}) }),
	)
	if err != nil {
		return "", err
	}
	defer func() {
		switch p := recover(); p {
		case nil:
		case exit{}:
			command, err = "", nil
		default:
			panic(p)
		}
	}()
	parsed, err := parser.Parse(args)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return parsed.Command(), nil
}
