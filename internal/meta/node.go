package meta

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/request"
)

// ErrMalformedAnswer is the error of a malformed answer, or of an answer to another request.
var ErrMalformedAnswer = errors.New("malformed answer")

// NodeDialect is the dialect towards cache nodes.
type NodeDialect struct{}

// AppendHead appends a request up to its value. If the request has a client's line, AppendHead appends that line with
// the time that the proxy waits instead of the client's timeout. Otherwise it formats a new line.
func (NodeDialect) AppendHead(dst []byte, r *request.Request, timeout time.Duration) []byte {
	millis := max(int64(timeout/time.Millisecond), 1)
	raw := &r.Raw
	if raw.Line == "" {
		return AppendRequest(dst, r, r.ID, millis)
	}
	dst = append(dst, raw.Line[:raw.TimeoutStart]...)
	if raw.InsertTimeout {
		dst = append(dst, ",d="...)
	}
	dst = strconv.AppendInt(dst, millis, 10)
	dst = append(dst, raw.Line[raw.TimeoutEnd:]...)
	return append(dst, lineEnd...)
}

// AppendRequest appends the line of a request, with an id, which may be in a buffer of the caller, and a timeout in
// milliseconds. The caller appends the value.
func AppendRequest[ID string | []byte](dst []byte, r *request.Request, id ID, timeoutMillis int64) []byte {
	if r.Verb == request.Set {
		dst = append(dst, "ms "...)
		dst = append(dst, r.Key...)
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, int64(len(r.Value)), 10)
		dst = append(dst, " O"...)
	} else {
		dst = append(dst, "mg "...)
		dst = append(dst, r.Key...)
		dst = append(dst, " v O"...)
	}
	dst = append(dst, id...)
	dst = append(dst, " Pc="...)
	dst = append(dst, r.Class...)
	if r.Tenant != "" {
		dst = append(dst, ",t="...)
		dst = append(dst, r.Tenant...)
	}
	dst = append(dst, ",d="...)
	dst = strconv.AppendInt(dst, timeoutMillis, 10)
	if r.IdempotencyKey != "" {
		dst = append(dst, ",k="...)
		dst = append(dst, r.IdempotencyKey...)
	}
	if r.Retry {
		dst = append(dst, ",r=1"...)
	}
	if r.Flags != 0 { // memcached's own flag F; nodes that do not store flags reject it
		dst = append(dst, " F"...)
		dst = strconv.AppendUint(dst, uint64(r.Flags), 10)
	}
	return append(dst, lineEnd...)
}

// AppendTail appends what follows a request's value.
func (NodeDialect) AppendTail(dst []byte, r *request.Request) []byte {
	if r.Verb == request.Set {
		dst = append(dst, lineEnd...)
	}
	return dst
}

// noopCommand is the no-op, and noopAnswer what it is answered.
const (
	noopCommand = "mn"
	noopAnswer  = "MN"
)

// AppendNoop appends a no-op. A node answers it after all commands before it.
func (NodeDialect) AppendNoop(dst []byte) []byte { return append(dst, noopCommand+lineEnd...) }

// ReadNoopAnswer reads the answer to a no-op while no request is in flight. It returns false if the node rejects it.
func (NodeDialect) ReadNoopAnswer(in *bufio.Reader) (accepted bool, err error) {
	text, err := in.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	text, ok := bytes.CutSuffix(text, []byte(lineEnd))
	if !ok {
		return false, ErrMalformedAnswer
	}
	line, err := ParseAnswer(text)
	if err != nil {
		return false, err
	}
	switch line.Kind {
	case request.Noop:
		return true, nil
	case request.Busy, request.Failed:
		return false, nil
	default:
		return false, ErrMalformedAnswer
	}
}

// ReadAnswer reads the answer to one of the expected requests, and returns the index of that request: the one that the
// answer names, or the first if it names none. After an error the start of the next answer is unknown, so the
// connection cannot be used any more.
func (NodeDialect) ReadAnswer(
	in *bufio.Reader, expected []*request.Request,
) (answer request.Answer, index int, err error) {
	text, err := in.ReadSlice('\n')
	if err != nil {
		return answer, 0, err
	}
	text, ok := bytes.CutSuffix(text, []byte(lineEnd))
	if !ok || len(text) > MaxLine {
		return answer, 0, ErrMalformedAnswer
	}
	line, err := ParseAnswer(text)
	if err != nil {
		return answer, 0, err
	}
	index, err = line.match(expected)
	if err != nil {
		return answer, 0, err
	}
	answer = request.Answer{
		Kind:       line.Kind,
		Hit:        line.Hit,
		Miss:       line.Miss,
		Coalesced:  line.Coalesced,
		Receipt:    string(line.Receipt),
		LoadReport: bytes.Clone(line.LoadReport), // the line is in the buffer of the reader
		Attributed: len(line.ID) > 0,
	}
	if line.Kind == request.Value {
		err = readValue(in, &answer, expected[index].HeaderRoom, line.ValueLen)
	}
	return answer, index, err
}

// readValue reads a value and its end.
func readValue(in *bufio.Reader, answer *request.Answer, headerRoom, valueLen int) error {
	answer.AllocateValue(headerRoom, valueLen)
	if _, err := io.ReadFull(in, answer.ValueAndTail()); err != nil {
		return err
	}
	if string(answer.Tail()) != lineEnd {
		return ErrMalformedAnswer
	}
	return nil
}

// AnswerLine is the first line of a node's answer. Its byte slices are parts of that line.
type AnswerLine struct {
	Kind       request.AnswerKind
	ValueLen   int    // of a Value, in bytes
	ID         []byte // flag O
	Receipt    []byte // flag c
	Hit        bool   // flag h1
	Miss       bool   // flag h0
	Coalesced  bool   // flag Z
	LoadReport []byte // flag L
}

// match returns the index of the expected request that the answer names, 0 if it names none. It returns an error if the
// answer is for another request: passing that on would be worse than losing the connection.
func (a *AnswerLine) match(expected []*request.Request) (index int, err error) {
	if len(a.ID) > 0 {
		index = slices.IndexFunc(expected, func(r *request.Request) bool { return string(a.ID) == r.ID })
	}
	isValue, isStored := a.Kind == request.Value, a.Kind == request.Stored
	if index < 0 || (isValue || isStored) && len(a.ID) == 0 {
		return 0, fmt.Errorf("%w: answer to id %q: want %q", ErrMalformedAnswer, a.ID, expected[0].ID)
	}
	isRead := expected[index].Verb == request.Get
	if isValue && !isRead || isStored && isRead || a.Kind == request.NotFound && !isRead {
		return 0, fmt.Errorf("%w: answer does not match the kind of command", ErrMalformedAnswer)
	}
	return index, nil
}

// ParseAnswer parses the first line of an answer, without its end.
func ParseAnswer(line []byte) (AnswerLine, error) {
	var a AnswerLine
	verb, rest := nextWordBytes(line)
	switch string(verb) {
	case "VA":
		var text []byte
		text, rest = nextWordBytes(rest)
		length, ok := parseLength(string(text))
		if !ok {
			return a, ErrMalformedAnswer
		}
		a.Kind, a.ValueLen = request.Value, length
	case "HD":
		a.Kind = request.Stored
	case "EN":
		a.Kind = request.NotFound
		if len(rest) > 0 {
			return a, ErrMalformedAnswer
		}
		return a, nil
	case noopAnswer:
		a.Kind = request.Noop
		if len(rest) > 0 {
			return a, ErrMalformedAnswer
		}
		return a, nil
	case "SERVER_ERROR":
		var what []byte
		what, rest = nextWordBytes(rest)
		a.Kind = request.Failed
		if string(what) == "busy" {
			a.Kind = request.Busy
		}
	case "CLIENT_ERROR", "ERROR": // a complete answer, so the next one can be read
		a.Kind = request.Failed
		return a, nil
	default:
		return a, ErrMalformedAnswer
	}
	err := a.parseFlags(rest)
	return a, err
}

// parseFlags parses the flags of an answer.
func (a *AnswerLine) parseFlags(rest []byte) error {
	for len(rest) > 0 {
		var flag []byte
		flag, rest = nextWordBytes(rest)
		if len(flag) == 0 {
			return ErrMalformedAnswer
		}
		switch value := flag[1:]; flag[0] {
		case 'O':
			a.ID = value
		case 'c':
			a.Receipt = value
		case 'L':
			a.LoadReport = value
		case 'h':
			a.Hit, a.Miss = string(value) == "1", string(value) == "0"
		case 'Z':
			a.Coalesced = len(value) == 0
		default: // text of an error, or a flag of a later version
			if a.Kind == request.Busy { // busy promises that nothing was executed: trust it only without unknown text
				a.Kind = request.Failed
			}
		}
	}
	return nil
}

// EachLoadFigure calls f with each figure of a load report. It stops with an error at the first malformed one.
func EachLoadFigure(report []byte, f func(name string, figure float64)) error {
	const maxFigure = 1e12
	for text := range strings.SplitSeq(string(report), ",") {
		name, value, ok := strings.Cut(text, "=")
		figure, err := strconv.ParseFloat(value, 64)
		inRange := figure >= -maxFigure && figure <= maxFigure // false for NaN
		if !ok || err != nil || !inRange {
			return fmt.Errorf("load report: malformed figure %q", text)
		}
		f(name, figure)
	}
	return nil
}

// nextWordBytes returns the text up to the next space, and what follows it.
func nextWordBytes(text []byte) (word, rest []byte) {
	for i, c := range text {
		if c == ' ' {
			return text[:i], text[i+1:]
		}
	}
	return text, nil
}
