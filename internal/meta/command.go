// Package meta reads and writes the meta commands of the memcache text protocol that clients, the proxy and cache
// nodes speak.
//
// Guarantees:
//
//  1. An accepted command is forwarded unchanged, except that its timeout becomes the time that the proxy waits.
//  2. Lengths above [MaxValue] and texts with control characters are rejected.
//  3. Reading an answer returns the answer to the request or an error, never the answer to another request.
//
// The package uses no sockets, has no state and starts no goroutine.
package meta

import (
	"errors"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"mulleinpier/internal/request"
)

// Limits of what is accepted.
const (
	MaxValue = 64 << 10 // bytes of a value
	MaxKey   = 250      // bytes
	MaxID    = 128      // bytes
	MaxLine  = 2048     // bytes of a line, including its end

	maxTimeout = time.Hour // longest timeout that a client may request
)

const (
	// lineEnd ends each line and each value.
	lineEnd = "\r\n"
	// maxValueDigits is MaxValue in decimal.
	maxValueDigits = "65536"
)

// Command is a client's command: a request, a Noop or a Stats. The value of a Set follows its line.
type Command struct {
	request.Request
	Noop     bool // the command mn
	Stats    bool // requests statistics of the kind named by Key, the general ones for ""
	ValueLen int  // of a Set's value, in bytes
}

// ErrUnknownCommand is the error of an unknown command.
var ErrUnknownCommand = errors.New("unknown command")

// ClientError is the error of an invalid command.
type ClientError struct {
	Reason string
	// SkipBytes is how many bytes of value follow the command's line; negative where that is not known.
	SkipBytes int
}

// Error implements error.
func (e *ClientError) Error() string { return e.Reason }

// ParseCommand parses the line of a command, without its end. The error is ErrUnknownCommand or a *ClientError.
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

// parseRequest parses a request's line after its verb.
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

// parseFlags parses a request's flags. It returns the reason if they are invalid, else "".
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
	return c.missingFlag(wantsValue)
}

// missingFlag returns a reason that names a missing required flag or parameter, "" for none.
func (c *Command) missingFlag(wantsValue bool) (reason string) {
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

// parseParams parses the list of flag P. Offset end in the line is where the list ends, or just after the space that
// follows it. It returns the reason if the list is invalid, else "".
func (c *Command) parseParams(list string, end int) (reason string) {
	raw := &c.Raw
	if end < len(raw.Line) || strings.HasSuffix(raw.Line, " ") {
		end--
	}
	raw.TimeoutStart, raw.TimeoutEnd, raw.InsertTimeout = end, end, true
	if strings.HasSuffix(list, ",") {
		return "bad P" // an inserted timeout would follow an empty parameter
	}
	seen := "" // the one-letter parameter names read so far
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

// setParam sets a parameter other than the timeout. Unknown ones are ignored here; the node gets them with the line.
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

// parseTimeout parses how long the client waits, in milliseconds, and reports whether the value is valid.
func (c *Command) parseTimeout(value string) bool {
	millis, err := strconv.ParseFloat(value, 64)
	hasOtherForm := strings.Trim(value, "0123456789.") != "" // a sign, an exponent or a name
	if err != nil || hasOtherForm || millis > float64(maxTimeout/time.Millisecond) {
		return false
	}
	c.Timeout = time.Duration(millis * float64(time.Millisecond))
	return true
}

// splitFlag returns the letter and the value of a flag, or zero values if it has no valid value.
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

// parseLength parses a value's length. It accepts only digits, and no length above MaxValue.
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

// printable reports whether a text has no spaces or control characters: a peer that is not strict would treat a lone CR
// in a forwarded line as the end of the line.
func printable(s string) bool {
	const del = 0x7f
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == del {
			return false
		}
	}
	return true
}
