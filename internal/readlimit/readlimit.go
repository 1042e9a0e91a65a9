// Package readlimit bounds what is read from files and messages. Input over the bound is an error: it is never cut,
// since a part of a list or of a value may be valid and mean something else.
package readlimit

import (
	"fmt"
	"io"
)

// TooLargeError is the error of input that is larger than its bound.
type TooLargeError struct {
	Limit int64 // bytes
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("is larger than %d bytes", e.Limit) }

// reader reads up to limit bytes.
type reader struct {
	in    io.Reader
	limit int64
	left  int64 // negative once the input was found to be too large
}

// NewReader returns a reader of in. Reading more than limit bytes fails with a [TooLargeError].
func NewReader(in io.Reader, limit int64) io.Reader {
	return &reader{in: in, limit: limit, left: limit}
}

// All reads the input to its end. Its error is a [TooLargeError] if the input is larger than limit bytes.
func All(in io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(NewReader(in, limit))
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Read reads one byte more than is left, to distinguish input of exactly limit bytes from larger input.
func (r *reader) Read(buffer []byte) (int, error) {
	if r.left < 0 {
		return 0, &TooLargeError{r.limit}
	}
	if int64(len(buffer)) > r.left+1 {
		buffer = buffer[:r.left+1]
	}
	n, err := r.in.Read(buffer)
	if int64(n) > r.left {
		n = int(r.left)
		r.left = -1
		return n, &TooLargeError{r.limit}
	}
	r.left -= int64(n)
	return n, err
}
