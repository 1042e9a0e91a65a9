package readlimit

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestInputOverLimitIsError checks inputs of sizes around the limit, read in pieces of several sizes.
func TestInputOverLimitIsError(t *testing.T) {
	const limit = 10
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"whole":      func(r io.Reader) io.Reader { return r },
		"bytes":      iotest.OneByteReader,
		"halves":     iotest.HalfReader,
		"early EOF":  iotest.DataErrReader,
		"empty read": func(r io.Reader) io.Reader { return io.MultiReader(strings.NewReader(""), r) },
	} {
		for size := range 2 * limit {
			text := strings.Repeat("x", size)
			got, err := All(wrap(strings.NewReader(text)), limit)
			var tooLarge *TooLargeError
			switch {
			case size <= limit && (err != nil || string(got) != text):
				t.Errorf("%s, %d bytes: %q, %v", name, size, got, err)
			case size > limit && (!errors.As(err, &tooLarge) || tooLarge.Limit != limit || got != nil):
				t.Errorf("%s, %d bytes: %q, %v; want a TooLargeError", name, size, got, err)
			}
		}
	}
}

// TestErrorsOfInputAreReturned checks that an error of the input is returned as it is, also on further reads.
func TestErrorsOfInputAreReturned(t *testing.T) {
	in := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx")))
	if _, err := All(in, 10); err != iotest.ErrTimeout {
		t.Errorf("got %v", err)
	}
	r := NewReader(strings.NewReader("abc"), 2)
	io.ReadAll(r)
	if n, err := r.Read(make([]byte, 1)); n != 0 || !errors.As(err, new(*TooLargeError)) {
		t.Errorf("a read after the error: %d, %v", n, err)
	}
}
