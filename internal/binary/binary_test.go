package binary

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"mulleinpier/internal/request"
)

// TestEveryOpcodeHasAFate walks all 256 through, against the list written down
// once more. It guards invariant 2.
func TestEveryOpcodeHasAFate(t *testing.T) {
	served := []Opcode{Get, GetQ, GetK, GetKQ, Set, SetQ}
	own := []Opcode{Noop, Version, Quit, QuitQ, Stat, SASLList, SASLAuth, SASLStep}
	unsupported := []Opcode{Add, AddQ, Replace, ReplaceQ, Delete, DeleteQ, Increment, IncrementQ, Decrement, DecrementQ, Append, AppendQ,
		Prepend, PrependQ, Flush, FlushQ, Touch, GAT, GATQ}
	quiet := []Opcode{GetQ, GetKQ, SetQ, AddQ, ReplaceQ, DeleteQ, IncrementQ, DecrementQ, QuitQ, FlushQ, AppendQ, PrependQ, GATQ}
	want, silent := map[Opcode]Handling{}, map[Opcode]bool{}
	for fate, list := range map[Handling][]Opcode{Forwarded: served, Local: own, Unsupported: unsupported} {
		for _, o := range list {
			want[o] = fate
		}
	}
	for _, o := range quiet {
		silent[o] = true
	}
	for o := range 256 {
		op := Opcode(o)
		if op.Handling() != want[op] || op.Quiet() != silent[op] {
			t.Errorf("opcode %#x: fate %d, quiet %v", o, op.Handling(), op.Quiet())
		}
	}
}

// TestLengthsAreCheckedBeforeTheyAreBelieved guards invariant 1.
func TestLengthsAreCheckedBeforeTheyAreBelieved(t *testing.T) {
	for _, c := range []struct {
		name string
		h    Header
		want Status
	}{
		{"get", Header{Opcode: Get, KeyLen: 3, BodyLen: 3}, OK},
		{"get without a key", Header{Opcode: Get}, InvalidArguments},
		{"get with extras", Header{Opcode: Get, KeyLen: 3, ExtrasLen: 4, BodyLen: 7}, InvalidArguments},
		{"get with a value", Header{Opcode: GetKQ, KeyLen: 3, BodyLen: 4}, InvalidArguments},
		{"longest key", Header{Opcode: Get, KeyLen: MaxKey, BodyLen: MaxKey}, OK},
		{"longer key", Header{Opcode: Get, KeyLen: MaxKey + 1, BodyLen: MaxKey + 1}, InvalidArguments},
		{"set", Header{Opcode: SetQ, KeyLen: 1, ExtrasLen: 8, BodyLen: 11}, OK},
		{"set of nothing", Header{Opcode: Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 9}, OK},
		{"set without extras", Header{Opcode: Set, KeyLen: 1, BodyLen: 3}, InvalidArguments},
		{"largest value", Header{Opcode: Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 9 + MaxValue}, OK},
		{"larger value", Header{Opcode: Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 10 + MaxValue}, TooLarge},
		{"other data type", Header{Opcode: Get, KeyLen: 1, BodyLen: 1, DataType: 1}, InvalidArguments},
		{"noop", Header{Opcode: Noop}, OK},
		{"noop with a body", Header{Opcode: Noop, BodyLen: 1}, InvalidArguments},
		{"stat", Header{Opcode: Stat}, OK},
		{"stat of one kind", Header{Opcode: Stat, KeyLen: 5, BodyLen: 5}, OK},
		{"auth", Header{Opcode: SASLAuth, KeyLen: 5, BodyLen: 20}, OK},
		{"increment", Header{Opcode: Increment, KeyLen: 1, ExtrasLen: 20, BodyLen: 21}, NotSupported},
		{"increment without extras", Header{Opcode: Increment, KeyLen: 1, BodyLen: 1}, InvalidArguments},
		{"flush", Header{Opcode: Flush}, NotSupported},
		{"flush later", Header{Opcode: FlushQ, ExtrasLen: 4, BodyLen: 4}, NotSupported},
		{"no such command", Header{Opcode: 0x77, KeyLen: 1, BodyLen: 1}, UnknownCommand},
	} {
		if got := c.h.Validate(); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, got, c.want)
		}
	}
}

func TestImpossibleHeadersAreErrors(t *testing.T) {
	get := Header{Opcode: Get, KeyLen: 1, BodyLen: 1, Opaque: 7}
	good := get.Append(nil, RequestMagic)
	if _, err := ParseHeader(good[:23], RequestMagic); !errors.Is(err, ErrBadMagic) {
		t.Errorf("half a header: %v", err)
	}
	if _, err := ParseHeader(good, ResponseMagic); !errors.Is(err, ErrBadMagic) {
		t.Errorf("a request taken for a response: %v", err)
	}
	for name, h := range map[string]Header{
		"4 GB":                     {BodyLen: 1<<32 - 1},
		"more than is skipped":     {BodyLen: MaxSkippedBody + 1},
		"key beyond the body":      {KeyLen: 2, BodyLen: 1},
		"extras beyond the body":   {ExtrasLen: 2, BodyLen: 1},
		"together beyond the body": {KeyLen: 2, ExtrasLen: 2, BodyLen: 3},
	} {
		h.Opaque = 9
		got, err := ParseHeader(h.Append(nil, RequestMagic), RequestMagic)
		if !errors.Is(err, ErrBadLength) || got.Opaque != 9 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

func TestStatusesAreWholeResponses(t *testing.T) {
	to := &Header{Opcode: SetQ, Opaque: 0xdeadbeef, CAS: 3}
	for status, text := range map[Status]string{NotFound: "Not found", Busy: "Busy 250", TooLarge: "Too large", OK: ""} {
		b := AppendStatus([]byte("x"), to, status, 250)[1:]
		h, err := ParseHeader(b, ResponseMagic)
		if err != nil || h.Status != status || h.Opaque != to.Opaque || h.Opcode != SetQ || h.KeyLen+h.ExtrasLen != 0 || h.CAS != 0 ||
			string(b[HeaderLen:]) != text {
			t.Errorf("%#x: %+v %q, %v", status, h, b, err)
		}
	}
	if b := AppendStatus(nil, to, Busy, 0); !strings.HasSuffix(string(b), "Busy") {
		t.Errorf("without advice: %q", b)
	}
}

// FuzzParse guards against headers that bring the reader down or get past its
// bounds, and invariant 3.
func FuzzParse(f *testing.F) {
	get, set := Header{Opcode: Get, KeyLen: 3, BodyLen: 3}, Header{Opcode: Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 100, CAS: 1 << 60}
	f.Add(get.Append(nil, RequestMagic))
	f.Add(set.Append(nil, RequestMagic))
	f.Add([]byte("mg k v O1 Pc=read,t=acme"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := ParseHeader(b, RequestMagic)
		if err != nil {
			return
		}
		if h.BodyLen < 0 || h.BodyLen > MaxSkippedBody || h.ValueLen() < 0 {
			t.Fatalf("%x taken as %+v", b, h)
		}
		if h.Validate() == OK && (h.BodyLen > MaxBody || h.KeyLen > MaxKey) {
			t.Fatalf("%+v passes the check", h)
		}
		if again := h.Append(nil, RequestMagic); !bytes.Equal(again, b[:HeaderLen]) {
			t.Fatalf("%x appended as %x", b[:HeaderLen], again)
		}
	})
}

// FuzzReadAnswer guards against what nodes send in place of an answer: it ends in an
// error or in the answer to the request, within its bounds.
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
		a, err := NodeDialect{}.ReadAnswer(in, r)
		if err != nil {
			return
		}
		h, err := ParseHeader(text, ResponseMagic)
		if err != nil || h.Opaque != r.Serial || len(text) < HeaderLen+h.BodyLen {
			t.Fatalf("%x taken for an answer: %+v, %v", text, a, err)
		}
		switch {
		case a.Kind == request.Value && (write || !bytes.Equal(a.Value(), text[HeaderLen+4:HeaderLen+h.BodyLen])):
			t.Fatalf("%x read as %q", text, a.Value())
		case (a.Kind == request.Value || a.Kind == request.Stored) != (h.Status == OK), a.Kind == request.Busy && h.Status != Busy:
			t.Fatalf("status %#x read as kind %d", h.Status, a.Kind)
		}
		if left, _ := io.Copy(io.Discard, in); int(left) != len(text)-HeaderLen-h.BodyLen {
			t.Fatalf("%d bytes left of %d", left, len(text)-HeaderLen-h.BodyLen)
		}
	})
}
