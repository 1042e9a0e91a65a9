// Package cli parses the command lines of all programs of this module with kong: help is printed and is not an error,
// and an invalid command line results in a one-line error that wraps ErrUsage.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// ErrUsage is wrapped by the error of an invalid command line.
var ErrUsage = errors.New("bad usage")

// exit is the panic value that replaces os.Exit after the parser has printed the help.
type exit struct{}

// Parse parses args into the struct that into points to, whose kong tags define the commands. It returns the selected
// command followed by the names of the command's arguments, such as "do <what>", or "" if help was printed instead.
// Help goes to out.
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
