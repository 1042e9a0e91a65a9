// Package meta reads and writes the meta commands of the memcache text protocol that clients, the proxy and cache
// nodes speak.
//
// Guarantees:
//
//  1. A command that is accepted is forwarded unchanged, except for the time that the proxy waits.
//  2. No length is accepted beyond [MaxValue], and no text with control characters.
//  3. An answer is that to the request, or an error.
//
// The package knows no sockets, has no state and starts no goroutine.
package meta

import (
	"errors"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"mulleinpier/internal/request"
)

// The bounds of what is accepted.
const (
	MaxValue = 64 << 10 // bytes of a value
	MaxKey   = 250      // bytes
	MaxID    = 128      // bytes
	MaxLine  = 2048     // bytes of a line, its end included

	maxTimeout = time.Hour // that a client may say
)

const (
	// lineEnd ends each line and each value.
	lineEnd = "\r\n"
	// maxValueDigits is the largest length of a value, as it is written.
	maxValueDigits = "65536"
)

// Command is a client's command: a request, a Noop or a Stats. The value of a Set follows its line.
type Command struct {
	request.Request
	Noop     bool // mn
	Stats    bool // requests statistics of the kind named by Key, the general ones for ""
	ValueLen int  // of a Set's value, in bytes
}

// ErrUnknownCommand is the error of a command that is not known.
var ErrUnknownCommand = errors.New("unknown command")

// ClientError is the error of an invalid command.
type ClientError struct {
	Reason string
	// SkipBytes is how many bytes of value follow the command's line; negative where that is not known.
	SkipBytes int
}

// Error implements error.
func (e *ClientError) Error() string { return e.Reason }

// ParseCommand reads a command's line, without its end.
func ParseCommand(line string) (Command, error) {
	c := Command{Request: request.Request{Timeout: -1, Raw: request.RawLine{Line: line}}}
	if !utf8.ValidString(line) {
		return c, ErrUnknownCommand
	}
	verb, rest := nextWord(line)
	switch verb {
	case "mn":
		c.Noop = true
		if rest != "" {
			return c, &ClientError{Reason: "bad mn"}
		}
		return c, nil
	case "stats":
		c.Stats = true
		c.Key, rest = nextWord(rest)
		if rest != "" || c.Key != "" && !ValidKey(c.Key) {
			return c, ErrUnknownCommand
		}
		return c, nil
	case "mg":
		c.Verb = request.Get
	case "ms":
		c.Verb = request.Set
	default:
		return c, ErrUnknownCommand
	}
	err := c.parseRequest(rest)
	return c, err
}

// parseRequest reads a request's line after its verb.
func (c *Command) parseRequest(rest string) error {
	c.Key, rest = nextWord(rest)
	skipBytes := 0
	if c.Verb == request.Set {
		var text string
		text, rest = nextWord(rest)
		length, ok := parseLength(text)
		if !ok {
			return &ClientError{Reason: "bad data length", SkipBytes: -1}
		}
		c.ValueLen, skipBytes = length, length+len(lineEnd)
	}
	if !ValidKey(c.Key) {
		return &ClientError{Reason: "bad key", SkipBytes: skipBytes}
	}
	if reason := c.parseFlags(rest); reason != "" {
		return &ClientError{Reason: reason, SkipBytes: skipBytes}
	}
	return nil
}

// parseFlags reads a request's flags. It returns why they are invalid, "" for not.
func (c *Command) parseFlags(rest string) (reason string) {
	lineLen := len(c.Raw.Line)
	wantsValue, hasParams := false, false
	for rest != "" {
		var flag string
		flag, rest = nextWord(rest)
		letter, value := splitFlag(flag)
		switch {
		case flag == "v" && c.Verb == request.Get && !wantsValue:
			wantsValue = true
		case letter == 'O' && c.ID == "" && len(value) <= MaxID:
			c.ID = value
		case letter == 'P' && !hasParams:
			hasParams = true
			if reason := c.parseParams(value, lineLen-len(rest)); reason != "" {
				return reason
			}
		default:
			return "bad flag"
		}
	}
	return c.missing(wantsValue)
}

// missing returns which required flag a request lacks, "" for none.
func (c *Command) missing(wantsValue bool) (reason string) {
	switch {
	case c.ID == "":
		return "missing O"
	case c.Class == "":
		return "missing class"
	case c.Verb == request.Get && !wantsValue:
		return "missing v"
	}
	return ""
}

// parseParams reads the list of flag P, which ends at the place end of the line, before the space if the line
// goes on. It returns why it is invalid, "" for not.
func (c *Command) parseParams(list string, end int) (reason string) {
	raw := &c.Raw
	if end < len(raw.Line) || strings.HasSuffix(raw.Line, " ") {
		end--
	}
	raw.TimeoutStart, raw.TimeoutEnd, raw.InsertTimeout = end, end, true
	if strings.HasSuffix(list, ",") {
		return "bad P" // with a timeout inserted after it, it would be another line
	}
	seen := "" // one-letter names
	for start := end - len(list); list != ""; {
		param, rest, _ := strings.Cut(list, ",")
		name, value, ok := strings.Cut(param, "=")
		if !ok || name == "" || value == "" {
			return "bad P"
		}
		if len(name) == 1 {
			if strings.Contains(seen, name) {
				return "repeated " + name
			}
			seen += name
		}
		if name == "d" {
			if !c.parseTimeout(value) {
				return "bad d"
			}
			raw.TimeoutStart, raw.TimeoutEnd = start+len("d="), start+len(param)
			raw.InsertTimeout = false
		} else {
			c.setParam(name, value)
		}
		start += len(param) + len(",")
		list = rest
	}
	return ""
}

// setParam sets a parameter other than the timeout. Unknown ones are for the node alone.
func (c *Command) setParam(name, value string) {
	switch name {
	case "c":
		c.Class = value
	case "t":
		c.Tenant = value
	case "r":
		c.Retry = value == "1"
	case "k":
		c.IdempotencyKey = value
	}
}

// parseTimeout reads how long the client waits, in milliseconds, and reports whether it is valid.
func (c *Command) parseTimeout(value string) bool {
	millis, err := strconv.ParseFloat(value, 64)
	hasOtherForm := strings.Trim(value, "0123456789.") != "" // a sign, an exponent or a name
	if err != nil || hasOtherForm || millis > float64(maxTimeout/time.Millisecond) {
		return false
	}
	c.Timeout = time.Duration(millis * float64(time.Millisecond))
	return true
}

// splitFlag returns the letter and the value of a flag that has a valid value, zero for others.
func splitFlag(flag string) (letter byte, value string) {
	if len(flag) < 2 || !printable(flag) {
		return 0, ""
	}
	return flag[0], flag[1:]
}

// nextWord returns the text up to the next space, and what follows it.
func nextWord(s string) (word, rest string) {
	word, rest, _ = strings.Cut(s, " ")
	return word, rest
}

// parseLength reads a value's length. It accepts digits only, and no length beyond MaxValue.
func parseLength(s string) (length int, ok bool) {
	if s == "" || len(s) > len(maxValueDigits) {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		length = length*10 + int(s[i]-'0')
	}
	return length, length <= MaxValue
}

// ValidKey reports whether a text can be a key.
func ValidKey(key string) bool { return key != "" && len(key) <= MaxKey && printable(key) }

// ValidName reports whether a text can be a value in the list of flag P.
func ValidName(name string) bool {
	return name != "" && len(name) <= MaxID && printable(name) && !strings.ContainsAny(name, ",=")
}

// printable reports whether a text has no spaces or control characters: a lone CR in a forwarded line would end
// it early for a peer that is not strict.
func printable(s string) bool {
	const del = 0x7f
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == del {
			return false
		}
	}
	return true
}
