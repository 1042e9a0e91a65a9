package binary

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"mulleinpier/internal/request"
)

// FuzzReadAnswer checks that any input from a node gives either an error or the answer to the request, within its
// limits.
func FuzzReadAnswer(f *testing.F) {
	ok := Header{Opcode: Get, ExtrasLen: 4, BodyLen: 6, Opaque: 7}
	f.Add(append(ok.Append(nil, ResponseMagic), "\x00\x00\x00\x01hi"...), false)
	f.Add(AppendStatus(nil, &Header{Opcode: Set, Opaque: 7}, Busy, 0), true)
	f.Add([]byte("VA 2 O1\r\nhi\r\n"), false)
	f.Fuzz(func(t *testing.T, text []byte, write bool) {
		r := &request.Request{Key: "k", Serial: 7, HeaderRoom: 30}
		if write {
			r.Verb = request.Set
		}
		in := bufio.NewReader(bytes.NewReader(text))
		answer, _, err := NodeDialect{}.ReadAnswer(in, []*request.Request{r})
		if err != nil {
			return
		}
		header, err := ParseHeader(text, ResponseMagic)
		if err != nil || header.Opaque != r.Serial || len(text) < HeaderLen+header.BodyLen {
			t.Fatalf("%x read as an answer: %+v, %v", text, answer, err)
		}
		served := answer.Kind == request.Value || answer.Kind == request.Stored
		if served != (header.Status == OK) || answer.Kind == request.Busy && header.Status != Busy {
			t.Fatalf("status %#x read as kind %d", header.Status, answer.Kind)
		}
		if answer.Kind == request.Value {
			want := text[HeaderLen+FlagsLen : HeaderLen+header.BodyLen]
			if write || !bytes.Equal(answer.Value(), want) {
				t.Fatalf("%x read as %q", text, answer.Value())
			}
		}
		if left, _ := io.Copy(io.Discard, in); int(left) != len(text)-HeaderLen-header.BodyLen {
			t.Fatalf("%d bytes left of %d", left, len(text)-HeaderLen-header.BodyLen)
		}
	})
}

// TestReadNoopAnswer checks what a node's answer says about a no-op.
func TestReadNoopAnswer(t *testing.T) {
	for _, test := range []struct {
		name         string
		text         []byte
		accepted, ok bool
	}{
		{"accepted", (&Header{Opcode: Noop}).Append(nil, ResponseMagic), true, true},
		{"rejected", AppendStatus(nil, &Header{Opcode: Noop}, Busy, 0), false, true},
		{"another answer", (&Header{Opcode: Get}).Append(nil, ResponseMagic), false, false},
		{"truncated", []byte{ResponseMagic, byte(Noop)}, false, false},
	} {
		accepted, err := NodeDialect{}.ReadNoopAnswer(bufio.NewReader(bytes.NewReader(test.text)))
		if accepted != test.accepted || (err == nil) != test.ok {
			t.Errorf("%s: %v, %v", test.name, accepted, err)
		}
	}
}
