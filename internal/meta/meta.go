// Package meta reads and writes the meta commands of the memcache text
// protocol that clients, the proxy and cache nodes speak, as requests and answers.
// It knows no sockets.
package meta

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"mulleinpier/internal/request"
)

// The bounds of what is accepted.
const (
	MaxValue = 64 << 10 // bytes of a value
	MaxKey   = 250
	MaxID    = 128
	MaxLine  = 2048 // bytes of a line, its end included
	maxWait  = time.Hour
)

// Command is a client's command: a request, or a Noop. Of a Set the value is yet
// to come.
type Command struct {
	request.Request
	Noop bool // mn
	// Stats asks for figures of the kind named by Key, the usual ones for "".
	Stats    bool
	ValueLen int // of a Set's value
}

// ErrUnknownCommand is the error of a command that is none of the known.
var ErrUnknownCommand = errors.New("unknown command")

// ClientError is a command that cannot be meant. Skip tells how many bytes of
// value follow its line; it is negative where that cannot be known.
type ClientError struct {
	Reason    string
	SkipBytes int
}

// Error implements error.
func (e *ClientError) Error() string { return e.Reason }

// ParseCommand reads a command's line.
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
		if c.Key, rest = nextWord(rest); rest != "" || c.Key != "" && !ValidKey(c.Key) {
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
	skip := 0
	bad := func(reason string) (Command, error) { return c, &ClientError{Reason: reason, SkipBytes: skip} }
	c.Key, rest = nextWord(rest)
	if c.Verb == request.Set {
		var size string
		size, rest = nextWord(rest)
		n, ok := parseLength(size)
		if !ok {
			skip = -1
			return bad("bad data length")
		}
		c.ValueLen, skip = n, n+2
	}
	if !ValidKey(c.Key) {
		return bad("bad key")
	}
	value, params := false, false
	for rest != "" {
		var flag string
		flag, rest = nextWord(rest)
		switch {
		case flag == "v" && c.Verb == request.Get && !value:
			value = true
		case len(flag) > 1 && flag[0] == 'O' && c.ID == "" && len(flag)-1 <= MaxID && printable(flag):
			c.ID = flag[1:]
		case len(flag) > 1 && flag[0] == 'P' && !params && printable(flag):
			params = true
			if reason := c.parseParams(flag[1:], len(line)-len(rest)); reason != "" {
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
	case c.Verb == request.Get && !value:
		return bad("missing v")
	}
	return c, nil
}

// parseParams reads the list of flag P, which ends before place end of the line
// (and a space, if the line goes on).
func (c *Command) parseParams(list string, end int) string {
	raw := &c.Raw
	if end < len(raw.Line) || strings.HasSuffix(raw.Line, " ") {
		end--
	}
	raw.TimeoutStart, raw.TimeoutEnd, raw.InsertTimeout = end, end, true
	if strings.HasSuffix(list, ",") {
		return "bad P" // with a wait put behind it, it would be another line
	}
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
			c.IdempotencyKey = figure
		case "d":
			ms, err := strconv.ParseFloat(figure, 64)
			if err != nil || strings.Trim(figure, "0123456789.") != "" || ms > float64(maxWait/time.Millisecond) {
				return "bad d"
			}
			c.Timeout = time.Duration(ms * float64(time.Millisecond))
			raw.TimeoutStart, raw.TimeoutEnd, raw.InsertTimeout = at+2, at+len(pair), false
		}
		at += len(pair) + 1
		list = rest
	}
	return ""
}

// NodeDialect is the dialect towards cache nodes.
type NodeDialect struct{}

// AppendHead appends a request up to its value: the line of its client unchanged but
// for the time that the proxy will wait, or one of its own.
func (NodeDialect) AppendHead(dst []byte, r *request.Request, wait time.Duration) []byte {
	ms := max(int64(wait/time.Millisecond), 1)
	raw := &r.Raw
	if raw.Line == "" {
		return AppendRequest(dst, r, r.ID, ms)
	}
	dst = append(dst, raw.Line[:raw.TimeoutStart]...)
	if raw.InsertTimeout {
		dst = append(dst, ",d="...)
	}
	dst = strconv.AppendInt(dst, ms, 10)
	return append(append(dst, raw.Line[raw.TimeoutEnd:]...), '\r', '\n')
}

// AppendRequest appends the line of a request under an id, which may be in a buffer of its
// caller's, with a wait in milliseconds. Its value is for the caller to append.
func AppendRequest[ID string | []byte](dst []byte, r *request.Request, id ID, ms int64) []byte {
	if r.Verb == request.Set {
		dst = append(append(append(dst, "ms "...), r.Key...), ' ')
		dst = append(strconv.AppendInt(dst, int64(len(r.Value)), 10), " O"...)
	} else {
		dst = append(append(append(dst, "mg "...), r.Key...), " v O"...)
	}
	dst = append(append(append(dst, id...), " Pc="...), r.Class...)
	if r.Tenant != "" {
		dst = append(append(dst, ",t="...), r.Tenant...)
	}
	dst = strconv.AppendInt(append(dst, ",d="...), ms, 10)
	if r.IdempotencyKey != "" {
		dst = append(append(dst, ",k="...), r.IdempotencyKey...)
	}
	if r.Retry {
		dst = append(dst, ",r=1"...)
	}
	if r.Flags != 0 { // nodes that keep them say so (memcached's meta commands); others turn it away
		dst = strconv.AppendUint(append(dst, " F"...), uint64(r.Flags), 10)
	}
	return append(dst, '\r', '\n')
}

// AppendTail appends what follows a request's value.
func (NodeDialect) AppendTail(dst []byte, r *request.Request) []byte {
	if r.Verb == request.Set {
		dst = append(dst, '\r', '\n')
	}
	return dst
}

// ErrMalformedAnswer is the error of what is no answer, or not that of the request.
var ErrMalformedAnswer = errors.New("malformed answer")

// ReadAnswer reads the answer to a request. After an error where the next answer
// begins can't be known.
func (NodeDialect) ReadAnswer(in *bufio.Reader, r *request.Request) (a request.Answer, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return a, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || len(line) > MaxLine {
		return a, ErrMalformedAnswer
	}
	first, err := ParseAnswer(line)
	if err != nil {
		return a, err
	}
	served := first.Kind == request.Value || first.Kind == request.Stored
	// Passing on another request's answer would be worse than losing the connection.
	if served && string(first.ID) != r.ID || len(first.ID) > 0 && string(first.ID) != r.ID {
		return a, fmt.Errorf("%w: answer to %q where %q is due", ErrMalformedAnswer, first.ID, r.ID)
	}
	if served && (first.Kind == request.Value) != (r.Verb == request.Get) || first.Kind == request.NotFound && r.Verb != request.Get {
		return a, fmt.Errorf("%w: answer to another kind of command", ErrMalformedAnswer)
	}
	a = request.Answer{Kind: first.Kind, Hit: first.Hit, Miss: first.Miss, Coalesced: first.Coalesced, Receipt: string(first.Receipt),
		LoadReport: bytes.Clone(first.LoadReport)} // the line lies in the reader's buffer
	if first.Kind == request.Value {
		a.AllocateValue(r.HeaderRoom, first.ValueLen)
		if _, err := io.ReadFull(in, a.ValueAndTail()); err != nil {
			return a, err
		}
		if string(a.Tail()) != "\r\n" {
			return a, ErrMalformedAnswer
		}
	}
	return a, nil
}

// AnswerLine is the first line of a cache node's answer. Its texts are parts of
// that line.
type AnswerLine struct {
	Kind       request.AnswerKind
	ValueLen   int // of a Value
	ID         []byte
	Receipt    []byte // of flag c
	Hit        bool   // flag h1
	Miss       bool   // flag h0
	Coalesced  bool   // flag Z
	LoadReport []byte // of flag L
}

// ParseAnswer reads an answer's first line.
func ParseAnswer(line []byte) (AnswerLine, error) {
	var a AnswerLine
	verb, rest := cutWord(line)
	switch string(verb) {
	case "VA":
		var size []byte
		size, rest = cutWord(rest)
		n, ok := parseLength(string(size))
		if !ok {
			return a, ErrMalformedAnswer
		}
		a.Kind, a.ValueLen = request.Value, n
	case "HD":
		a.Kind = request.Stored
	case "EN":
		if a.Kind = request.NotFound; len(rest) > 0 {
			return a, ErrMalformedAnswer
		}
		return a, nil
	case "SERVER_ERROR":
		a.Kind = request.Failed
		var what []byte
		if what, rest = cutWord(rest); string(what) == "busy" {
			a.Kind = request.Busy
		}
	case "CLIENT_ERROR", "ERROR": // no use, but whole: nothing behind it is lost
		a.Kind = request.Failed
		return a, nil
	default:
		return a, ErrMalformedAnswer
	}
	for len(rest) > 0 {
		var flag []byte
		flag, rest = cutWord(rest)
		if len(flag) == 0 {
			return a, ErrMalformedAnswer
		}
		switch text := flag[1:]; flag[0] {
		case 'O':
			a.ID = text
		case 'c':
			a.Receipt = text
		case 'L':
			a.LoadReport = text
		case 'h':
			a.Hit, a.Miss = string(text) == "1", string(text) == "0"
		case 'Z':
			a.Coalesced = len(text) == 0
		default: // an error's words, or what a later node may tell
			if a.Kind == request.Busy { // it promises that nothing ran, so it must be that and no other
				a.Kind = request.Failed
			}
		}
	}
	return a, nil
}

// AnswerHeaderRoom is what AppendAnswer puts before a value, at the most, for an id.
func AnswerHeaderRoom(id string) int { return len("VA 65536 O\r\n") + len(id) }

// FormatAnswer returns the answer to a client's request. Of one with a value the
// result is the value's own buffer.
func FormatAnswer(a *request.Answer, id string) []byte {
	switch a.Kind {
	case request.Value:
		head := make([]byte, 0, len("VA 65536 O\r\n")+MaxID)
		head = strconv.AppendInt(append(head, "VA "...), int64(a.ValueLen()), 10)
		head = append(append(append(head, " O"...), id...), '\r', '\n')
		return a.Frame(head, []byte("\r\n"))
	case request.Stored:
		dst := make([]byte, 0, len(id)+len(a.Receipt)+len("HD O c\r\n"))
		dst = append(append(dst, "HD O"...), id...)
		return append(append(append(dst, " c"...), a.Receipt...), '\r', '\n')
	case request.Busy:
		dst := append(make([]byte, 0, len("SERVER_ERROR busy 1234567\r\n")), "SERVER_ERROR busy"...)
		if a.RetryAfter > 0 {
			dst = strconv.AppendInt(append(dst, ' '), max(a.RetryAfter.Milliseconds(), 1), 10)
		}
		return append(dst, '\r', '\n')
	case request.NotFound:
		return []byte("EN\r\n")
	case request.Invalid:
		return []byte("CLIENT_ERROR " + a.Reason + "\r\n")
	}
	return []byte("SERVER_ERROR failed\r\n")
}

// EachLoadFigure calls f with each figure of a load report until one is malformed.
func EachLoadFigure(load []byte, f func(name string, figure float64)) error {
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

func nextWord(s string) (first, rest string) {
	first, rest, _ = strings.Cut(s, " ")
	return first, rest
}

func cutWord(b []byte) (first, rest []byte) {
	for i, c := range b {
		if c == ' ' {
			return b[:i], b[i+1:]
		}
	}
	return b, nil
}

// parseLength reads a value's length without taking a sign, a plus or what no value may be.
func parseLength(s string) (int, bool) {
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

// ValidKey tells whether a text can be a key.
func ValidKey(key string) bool { return key != "" && len(key) <= MaxKey && printable(key) }

// ValidName tells whether a text can stand for a value in the list of flag P.
func ValidName(name string) bool {
	return name != "" && len(name) <= MaxID && printable(name) && !strings.ContainsAny(name, ",=")
}

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
