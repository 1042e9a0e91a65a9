// Package meta reads and writes the meta commands of the memcache text
// protocol that clients, the proxy and cache nodes speak. It knows no sockets:
// it takes single lines, without their CRLF, and tells how long a value follows.
package meta

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// The bounds of what is accepted.
const (
	MaxValue = 64 << 10 // bytes of a value
	MaxKey   = 250
	MaxID    = 128
	MaxLine  = 2048 // bytes of a line, its end included
	maxWait  = time.Hour
)

// Verb is a command's kind.
type Verb uint8

// The commands of a client.
const (
	Get  Verb = iota // mg
	Set              // ms
	Noop             // mn
)

// Command is a client's command. Its texts are parts of one line.
type Command struct {
	Verb   Verb
	Key    string
	ID     string // of flag O
	Size   int    // of a Set's value
	Class  string
	Tenant string
	Wait   time.Duration // how long the client waits; negative if it did not say
	Retry  bool
	Keyed  bool // it has an idempotency key
	// Idempotency is that key, the figure of k.
	Idempotency string

	line       string
	from, to   int  // place of d's figure in line, or where it would go
	insertWait bool // no d yet
}

// ErrUnknown is the error of a command that is none of the known.
var ErrUnknown = errors.New("unknown command")

// ClientError is a command that cannot be meant. Skip tells how many bytes of
// value follow its line; it is negative where that cannot be known.
type ClientError struct {
	Reason string
	Skip   int
}

// Error implements error.
func (e *ClientError) Error() string { return e.Reason }

// ParseCommand reads a command's line.
func ParseCommand(line string) (Command, error) {
	c := Command{line: line, Wait: -1}
	if !utf8.ValidString(line) {
		return c, ErrUnknown
	}
	verb, rest := word(line)
	switch verb {
	case "mn":
		c.Verb = Noop
		if rest != "" {
			return c, &ClientError{Reason: "bad mn"}
		}
		return c, nil
	case "mg":
		c.Verb = Get
	case "ms":
		c.Verb = Set
	default:
		return c, ErrUnknown
	}
	skip := 0
	bad := func(reason string) (Command, error) { return c, &ClientError{Reason: reason, Skip: skip} }
	c.Key, rest = word(rest)
	if c.Verb == Set {
		var size string
		size, rest = word(rest)
		n, ok := length(size)
		if !ok {
			skip = -1
			return bad("bad data length")
		}
		c.Size, skip = n, n+2
	}
	if !validKey(c.Key) {
		return bad("bad key")
	}
	value, params := false, false
	for rest != "" {
		var flag string
		flag, rest = word(rest)
		switch {
		case flag == "v" && c.Verb == Get && !value:
			value = true
		case len(flag) > 1 && flag[0] == 'O' && c.ID == "" && len(flag)-1 <= MaxID && printable(flag):
			c.ID = flag[1:]
		case len(flag) > 1 && flag[0] == 'P' && !params && printable(flag):
			params = true
			if reason := c.params(flag[1:], len(line)-len(rest)); reason != "" {
				return bad(reason)
			}
		default:
			return bad("bad flag")
		}
	}
	switch {
	case c.ID == "":
		return bad("missing O")
	case c.Class == "":
		return bad("missing class")
	case c.Verb == Get && !value:
		return bad("missing v")
	}
	return c, nil
}

// params reads the list of flag P, which ends before place end of the line
// (and a space, if the line goes on).
func (c *Command) params(list string, end int) string {
	if end < len(c.line) || strings.HasSuffix(c.line, " ") {
		end--
	}
	c.from, c.to, c.insertWait = end, end, true
	seen := ""
	for at := end - len(list); list != ""; {
		pair, rest, _ := strings.Cut(list, ",")
		name, figure, ok := strings.Cut(pair, "=")
		if !ok || name == "" || figure == "" {
			return "bad P"
		}
		if len(name) == 1 {
			if strings.Contains(seen, name) {
				return "repeated " + name
			}
			seen += name
		}
		switch name {
		case "c":
			c.Class = figure
		case "t":
			c.Tenant = figure
		case "r":
			c.Retry = figure == "1"
		case "k":
			c.Keyed, c.Idempotency = true, figure
		case "d":
			ms, err := strconv.ParseFloat(figure, 64)
			if err != nil || strings.Trim(figure, "0123456789.") != "" || ms > float64(maxWait/time.Millisecond) {
				return "bad d"
			}
			c.Wait = time.Duration(ms * float64(time.Millisecond))
			c.from, c.to, c.insertWait = at+2, at+len(pair), false
		}
		at += len(pair) + 1
		list = rest
	}
	return ""
}

// AppendForward appends the command's line as a cache node gets it: unchanged
// but for the time that the proxy will wait.
func (c *Command) AppendForward(dst []byte, wait time.Duration) []byte {
	dst = append(dst, c.line[:c.from]...)
	if c.insertWait {
		dst = append(dst, ",d="...)
	}
	dst = strconv.AppendInt(dst, max(int64(wait/time.Millisecond), 1), 10)
	return append(append(dst, c.line[c.to:]...), '\r', '\n')
}

// AnswerKind is the kind of a cache node's answer.
type AnswerKind uint8

// The answers of a cache node.
const (
	Value  AnswerKind = iota // VA
	Stored                   // HD
	Busy                     // SERVER_ERROR busy
	Failed                   // any other error
)

// Answer is the first line of a cache node's answer. Its texts are parts of
// that line.
type Answer struct {
	Kind    AnswerKind
	Size    int // of a Value
	ID      []byte
	Receipt []byte // of flag c
	Hit     bool   // flag h1
	Miss    bool   // flag h0
	Shared  bool   // flag Z
	Load    []byte // of flag L
}

// ErrAnswer is the error of a line that is no answer.
var ErrAnswer = errors.New("malformed answer")

// ParseAnswer reads an answer's first line.
func ParseAnswer(line []byte) (Answer, error) {
	var a Answer
	verb, rest := cut(line)
	switch string(verb) {
	case "VA":
		var size []byte
		size, rest = cut(rest)
		n, ok := length(string(size))
		if !ok {
			return a, ErrAnswer
		}
		a.Kind, a.Size = Value, n
	case "HD":
		a.Kind = Stored
	case "SERVER_ERROR":
		a.Kind = Failed
		var what []byte
		if what, rest = cut(rest); string(what) == "busy" {
			a.Kind = Busy
		}
	case "CLIENT_ERROR", "ERROR": // no use, but whole: nothing behind it is lost
		a.Kind = Failed
		return a, nil
	default:
		return a, ErrAnswer
	}
	for len(rest) > 0 {
		var flag []byte
		flag, rest = cut(rest)
		if len(flag) == 0 {
			return a, ErrAnswer
		}
		switch text := flag[1:]; flag[0] {
		case 'O':
			a.ID = text
		case 'c':
			a.Receipt = text
		case 'L':
			a.Load = text
		case 'h':
			a.Hit, a.Miss = string(text) == "1", string(text) == "0"
		case 'Z':
			a.Shared = len(text) == 0
		default: // an error's words, or what a later node may tell
			if a.Kind == Busy { // it promises that nothing ran, so it must be that and no other
				a.Kind = Failed
			}
		}
	}
	return a, nil
}

// AppendValue appends the first line of a served value as a client gets it.
func AppendValue(dst []byte, size int, id string) []byte {
	dst = strconv.AppendInt(append(dst, "VA "...), int64(size), 10)
	return append(append(append(dst, " O"...), id...), '\r', '\n')
}

// AppendStored appends the answer to a served write.
func AppendStored(dst []byte, id string, receipt []byte) []byte {
	dst = append(append(dst, "HD O"...), id...)
	return append(append(append(dst, " c"...), receipt...), '\r', '\n')
}

// AppendBusy appends a refusal, with advice when to come again if after is positive.
func AppendBusy(dst []byte, after time.Duration) []byte {
	dst = append(dst, "SERVER_ERROR busy"...)
	if after > 0 {
		dst = strconv.AppendInt(append(dst, ' '), max(after.Milliseconds(), 1), 10)
	}
	return append(dst, '\r', '\n')
}

// EachLoad calls f with each figure of a load report until one is malformed.
func EachLoad(load []byte, f func(name string, figure float64)) error {
	for text := range strings.SplitSeq(string(load), ",") {
		name, figure, ok := strings.Cut(text, "=")
		x, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || x != x || x > 1e12 || x < -1e12 {
			return fmt.Errorf("load report: %q", text)
		}
		f(name, x)
	}
	return nil
}

func word(s string) (first, rest string) {
	first, rest, _ = strings.Cut(s, " ")
	return first, rest
}

func cut(b []byte) (first, rest []byte) {
	for i, c := range b {
		if c == ' ' {
			return b[:i], b[i+1:]
		}
	}
	return b, nil
}

// length reads a value's length without taking a sign, a plus or what no value may be.
func length(s string) (int, bool) {
	if s == "" || len(s) > len("65536") {
		return 0, false
	}
	n := 0
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int(s[i]-'0')
	}
	return n, n <= MaxValue
}

func validKey(key string) bool { return key != "" && len(key) <= MaxKey && printable(key) }

// printable keeps out control characters: a lone CR in a forwarded line
// would end it early for a lax peer.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
