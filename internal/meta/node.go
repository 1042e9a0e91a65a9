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

	"mulleinpier/internal/request"
)

// ErrMalformedAnswer is the error of what is no answer, or not that of the request.
var ErrMalformedAnswer = errors.New("malformed answer")

// NodeDialect is the dialect towards cache nodes.
type NodeDialect struct{}

// AppendHead appends a request up to its value: the line of its client with the time that the proxy will wait in
// place of the client's timeout, or a line of its own.
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

// AppendRequest appends the line of a request under an id, which may be in a buffer of the caller's, with a timeout
// in milliseconds. The value is for the caller to append.
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
	if r.Flags != 0 { // memcached's own flag for them; nodes that don't keep flags reject it
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

// ReadAnswer reads the answer to a request. After an error the start of the next answer is not known.
func (NodeDialect) ReadAnswer(in *bufio.Reader, r *request.Request) (answer request.Answer, err error) {
	text, err := in.ReadSlice('\n')
	if err != nil {
		return answer, err
	}
	text, ok := bytes.CutSuffix(text, []byte(lineEnd))
	if !ok || len(text) > MaxLine {
		return answer, ErrMalformedAnswer
	}
	line, err := ParseAnswer(text)
	if err != nil {
		return answer, err
	}
	if err := line.checkBelongsTo(r); err != nil {
		return answer, err
	}
	answer = request.Answer{
		Kind:       line.Kind,
		Hit:        line.Hit,
		Miss:       line.Miss,
		Coalesced:  line.Coalesced,
		Receipt:    string(line.Receipt),
		LoadReport: bytes.Clone(line.LoadReport), // the line is in the reader's buffer
	}
	if line.Kind == request.Value {
		err = readValue(in, &answer, r.HeaderRoom, line.ValueLen)
	}
	return answer, err
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

// AnswerLine is the first line of a node's answer. Its texts are parts of that line.
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

// checkBelongsTo returns an error for an answer that is not that to a request: passing on another request's answer
// would be worse than losing the connection.
func (a *AnswerLine) checkBelongsTo(r *request.Request) error {
	isValue, isStored := a.Kind == request.Value, a.Kind == request.Stored
	mustHaveID := isValue || isStored
	if (mustHaveID || len(a.ID) > 0) && string(a.ID) != r.ID {
		return fmt.Errorf("%w: answer to %q where %q is due", ErrMalformedAnswer, a.ID, r.ID)
	}
	isRead := r.Verb == request.Get
	if isValue && !isRead || isStored && isRead || a.Kind == request.NotFound && !isRead {
		return fmt.Errorf("%w: answer to another kind of command", ErrMalformedAnswer)
	}
	return nil
}

// ParseAnswer reads the first line of an answer, without its end.
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
	case "SERVER_ERROR":
		var what []byte
		what, rest = nextWordBytes(rest)
		a.Kind = request.Failed
		if string(what) == "busy" {
			a.Kind = request.Busy
		}
	case "CLIENT_ERROR", "ERROR": // it is a complete answer: nothing after it is lost
		a.Kind = request.Failed
		return a, nil
	default:
		return a, ErrMalformedAnswer
	}
	err := a.parseFlags(rest)
	return a, err
}

// parseFlags reads the flags of an answer.
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
		default: // the words of an error, or a flag of a later version
			if a.Kind == request.Busy { // busy promises that nothing was executed, so it must be exactly that
				a.Kind = request.Failed
			}
		}
	}
	return nil
}

// EachLoadFigure calls f with each figure of a load report until one is malformed.
func EachLoadFigure(report []byte, f func(name string, figure float64)) error {
	const maxFigure = 1e12
	for text := range strings.SplitSeq(string(report), ",") {
		name, value, ok := strings.Cut(text, "=")
		figure, err := strconv.ParseFloat(value, 64)
		inRange := figure >= -maxFigure && figure <= maxFigure // false for NaN
		if !ok || err != nil || !inRange {
			return fmt.Errorf("load report: %q", text)
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
