package discovery

import (
	"bufio"
	"errors"
)

var (
	errNoObject = errors.New("endpoint list: not a JSON object")
	errTooLong  = errors.New("endpoint list: exceeds the size limit")
)

// appendObject appends the next JSON object of a stream to text. It skips white space before the object, which may
// span lines. It only finds the end of the object; Parse checks whether it is valid. It calls begun once the first
// part of the object has been received.
func appendObject(in *bufio.Reader, text []byte, begun func()) ([]byte, error) {
	var s objectScanner
	for {
		if _, err := in.Peek(1); err != nil {
			return text, err
		}
		if len(text) == maxListBytes {
			return text, errTooLong
		}
		buffered, _ := in.Peek(min(in.Buffered(), maxListBytes-len(text)))
		start, end, complete, err := s.scan(buffered)
		if err != nil {
			return text, err
		}
		if len(text) == 0 && end > start {
			begun()
		}
		text = append(text, buffered[start:end]...)
		in.Discard(end) // cannot fail: these bytes are buffered
		if complete {
			return text, nil
		}
	}
}

// objectScanner finds the end of a JSON object that is received in pieces.
type objectScanner struct {
	depth           int // number of open objects and arrays
	quoted, escaped bool
}

// scan scans the next piece. It returns the range of the piece that belongs to the object, and whether the object is
// complete.
func (s *objectScanner) scan(piece []byte) (start, end int, complete bool, err error) {
	for i, b := range piece {
		if s.depth == 0 {
			if b == ' ' || b == '\t' || b == '\r' || b == '\n' {
				start = i + 1
				continue
			}
			if b != '{' {
				return 0, 0, false, errNoObject
			}
		}
		if s.next(b) {
			return start, i + 1, true, nil
		}
	}
	return start, len(piece), false, nil
}

// next scans one byte of the object and reports whether it is the last.
func (s *objectScanner) next(b byte) bool {
	switch {
	case s.escaped:
		s.escaped = false
	case s.quoted && b == '\\':
		s.escaped = true
	case b == '"':
		s.quoted = !s.quoted
	case s.quoted:
	case b == '{' || b == '[':
		s.depth++
	case b == '}' || b == ']':
		s.depth--
		return s.depth == 0
	}
	return false
}
