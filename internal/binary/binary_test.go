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
	want, silent := map[Opcode]Fate{}, map[Opcode]bool{}
	for fate, list := range map[Fate][]Opcode{Served: served, Own: own, Unsupported: unsupported} {
		for _, o := range list {
			want[o] = fate
		}
	}
	for _, o := range quiet {
		silent[o] = true
	}
	for o := range 256 {
		op := Opcode(o)
		if op.Fate() != want[op] || op.Quiet() != silent[op] {
			t.Errorf("opcode %#x: fate %d, quiet %v", o, op.Fate(), op.Quiet())
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
		{"get", Header{Opcode: Get, Key: 3, Body: 3}, OK},
		{"get without a key", Header{Opcode: Get}, Invalid},
		{"get with extras", Header{Opcode: Get, Key: 3, Extras: 4, Body: 7}, Invalid},
		{"get with a value", Header{Opcode: GetKQ, Key: 3, Body: 4}, Invalid},
		{"longest key", Header{Opcode: Get, Key: MaxKey, Body: MaxKey}, OK},
		{"longer key", Header{Opcode: Get, Key: MaxKey + 1, Body: MaxKey + 1}, Invalid},
		{"set", Header{Opcode: SetQ, Key: 1, Extras: 8, Body: 11}, OK},
		{"set of nothing", Header{Opcode: Set, Key: 1, Extras: 8, Body: 9}, OK},
		{"set without extras", Header{Opcode: Set, Key: 1, Body: 3}, Invalid},
		{"largest value", Header{Opcode: Set, Key: 1, Extras: 8, Body: 9 + MaxValue}, OK},
		{"larger value", Header{Opcode: Set, Key: 1, Extras: 8, Body: 10 + MaxValue}, TooLarge},
		{"other data type", Header{Opcode: Get, Key: 1, Body: 1, DataType: 1}, Invalid},
		{"noop", Header{Opcode: Noop}, OK},
		{"noop with a body", Header{Opcode: Noop, Body: 1}, Invalid},
		{"stat", Header{Opcode: Stat}, OK},
		{"stat of one kind", Header{Opcode: Stat, Key: 5, Body: 5}, OK},
		{"auth", Header{Opcode: SASLAuth, Key: 5, Body: 20}, OK},
		{"increment", Header{Opcode: Increment, Key: 1, Extras: 20, Body: 21}, NotSupported},
		{"increment without extras", Header{Opcode: Increment, Key: 1, Body: 1}, Invalid},
		{"flush", Header{Opcode: Flush}, NotSupported},
		{"flush later", Header{Opcode: FlushQ, Extras: 4, Body: 4}, NotSupported},
		{"no such command", Header{Opcode: 0x77, Key: 1, Body: 1}, UnknownCommand},
	} {
		if got := c.h.Check(); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, got, c.want)
		}
	}
}

func TestImpossibleHeadersAreErrors(t *testing.T) {
	get := Header{Opcode: Get, Key: 1, Body: 1, Opaque: 7}
	good := get.Append(nil, RequestMagic)
	if _, err := Parse(good[:23], RequestMagic); !errors.Is(err, ErrMagic) {
		t.Errorf("half a header: %v", err)
	}
	if _, err := Parse(good, ResponseMagic); !errors.Is(err, ErrMagic) {
		t.Errorf("a request taken for a response: %v", err)
	}
	for name, h := range map[string]Header{
		"4 GB":                     {Body: 1<<32 - 1},
		"more than is skipped":     {Body: MaxSkip + 1},
		"key beyond the body":      {Key: 2, Body: 1},
		"extras beyond the body":   {Extras: 2, Body: 1},
		"together beyond the body": {Key: 2, Extras: 2, Body: 3},
	} {
		h.Opaque = 9
		got, err := Parse(h.Append(nil, RequestMagic), RequestMagic)
		if !errors.Is(err, ErrLength) || got.Opaque != 9 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

func TestStatusesAreWholeResponses(t *testing.T) {
	to := &Header{Opcode: SetQ, Opaque: 0xdeadbeef, CAS: 3}
	for status, text := range map[Status]string{NotFound: "Not found", Busy: "Busy 250", TooLarge: "Too large", OK: ""} {
		b := AppendStatus([]byte("x"), to, status, 250)[1:]
		h, err := Parse(b, ResponseMagic)
		if err != nil || h.Status != status || h.Opaque != to.Opaque || h.Opcode != SetQ || h.Key+h.Extras != 0 || h.CAS != 0 ||
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
	get, set := Header{Opcode: Get, Key: 3, Body: 3}, Header{Opcode: Set, Key: 1, Extras: 8, Body: 100, CAS: 1 << 60}
	f.Add(get.Append(nil, RequestMagic))
	f.Add(set.Append(nil, RequestMagic))
	f.Add([]byte("mg k v O1 Pc=read,t=acme"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Parse(b, RequestMagic)
		if err != nil {
			return
		}
		if h.Body < 0 || h.Body > MaxSkip || h.Value() < 0 {
			t.Fatalf("%x taken as %+v", b, h)
		}
		if h.Check() == OK && (h.Body > MaxBody || h.Key > MaxKey) {
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
	ok := Header{Opcode: Get, Extras: 4, Body: 6, Opaque: 7}
	f.Add(append(ok.Append(nil, ResponseMagic), "\x00\x00\x00\x01hi"...), false)
	f.Add(AppendStatus(nil, &Header{Opcode: Set, Opaque: 7}, Busy, 0), true)
	f.Add([]byte("VA 2 O1\r\nhi\r\n"), false)
	f.Fuzz(func(t *testing.T, text []byte, write bool) {
		r := &request.Request{Key: "k", Serial: 7, Room: 30}
		if write {
			r.Verb = request.Set
		}
		in := bufio.NewReader(bytes.NewReader(text))
		a, err := Node{}.ReadAnswer(in, r)
		if err != nil {
			return
		}
		h, err := Parse(text, ResponseMagic)
		if err != nil || h.Opaque != r.Serial || len(text) < HeaderLen+h.Body {
			t.Fatalf("%x taken for an answer: %+v, %v", text, a, err)
		}
		switch {
		case a.Kind == request.Value && (write || !bytes.Equal(a.Value(), text[HeaderLen+4:HeaderLen+h.Body])):
			t.Fatalf("%x read as %q", text, a.Value())
		case (a.Kind == request.Value || a.Kind == request.Stored) != (h.Status == OK), a.Kind == request.Busy && h.Status != Busy:
			t.Fatalf("status %#x read as kind %d", h.Status, a.Kind)
		}
		if left, _ := io.Copy(io.Discard, in); int(left) != len(text)-HeaderLen-h.Body {
			t.Fatalf("%d bytes left of %d", left, len(text)-HeaderLen-h.Body)
		}
	})
}
