package binary

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// TestValidate checks that Validate accepts the body of a request only if its lengths are within the limits and fit the
// opcode (invariant 1).
func TestValidate(t *testing.T) {
	for _, test := range []struct {
		name   string
		header Header
		want   Status
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
		{"unknown command", Header{Opcode: 0x77, KeyLen: 1, BodyLen: 1}, UnknownCommand},
	} {
		if got := test.header.Validate(); got != test.want {
			t.Errorf("%s: %#x, want %#x", test.name, got, test.want)
		}
	}
}

func TestParseHeaderRejectsBadHeaders(t *testing.T) {
	get := Header{Opcode: Get, KeyLen: 1, BodyLen: 1, Opaque: 7}
	good := get.Append(nil, RequestMagic)
	if _, err := ParseHeader(good[:HeaderLen-1], RequestMagic); !errors.Is(err, ErrBadMagic) {
		t.Errorf("a part of a header: %v", err)
	}
	if _, err := ParseHeader(good, ResponseMagic); !errors.Is(err, ErrBadMagic) {
		t.Errorf("a request instead of a response: %v", err)
	}
	for name, header := range map[string]Header{
		"4 GB":                     {BodyLen: 1<<32 - 1},
		"more than is skipped":     {BodyLen: MaxSkippedBody + 1},
		"key beyond the body":      {KeyLen: 2, BodyLen: 1},
		"extras beyond the body":   {ExtrasLen: 2, BodyLen: 1},
		"together beyond the body": {KeyLen: 2, ExtrasLen: 2, BodyLen: 3},
	} {
		header.Opaque = 9
		got, err := ParseHeader(header.Append(nil, RequestMagic), RequestMagic)
		if !errors.Is(err, ErrBadLength) || got.Opaque != 9 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

func TestAppendStatusAppendsCompleteResponses(t *testing.T) {
	to := &Header{Opcode: SetQ, Opaque: 0xdeadbeef, CAS: 3}
	for status, text := range map[Status]string{
		NotFound: "Not found",
		Busy:     "Busy 250",
		TooLarge: "Too large",
		OK:       "",
	} {
		response := AppendStatus([]byte("x"), to, status, 250)[1:]
		got, err := ParseHeader(response, ResponseMagic)
		if err != nil {
			t.Errorf("%#x: %q, %v", status, response, err)
			continue
		}
		want := Header{Opcode: SetQ, Status: status, BodyLen: len(text), Opaque: to.Opaque}
		if got != want || string(response[HeaderLen:]) != text {
			t.Errorf("%#x: %+v %q, want %+v %q", status, got, response[HeaderLen:], want, text)
		}
	}
	if response := AppendStatus(nil, to, Busy, 0); !strings.HasSuffix(string(response), "Busy") {
		t.Errorf("without a retry delay: %q", response)
	}
}

// FuzzParse checks that no header crashes the parser or exceeds the limits (invariant 1), and that Append writes a
// parsed header with the same bytes (invariant 3).
func FuzzParse(f *testing.F) {
	get := Header{Opcode: Get, KeyLen: 3, BodyLen: 3}
	set := Header{Opcode: Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 100, CAS: 1 << 60}
	f.Add(get.Append(nil, RequestMagic))
	f.Add(set.Append(nil, RequestMagic))
	f.Add([]byte("mg k v O1 Pc=read,t=acme"))
	f.Fuzz(func(t *testing.T, text []byte) {
		header, err := ParseHeader(text, RequestMagic)
		if err != nil {
			return
		}
		if header.BodyLen < 0 || header.BodyLen > MaxSkippedBody || header.ValueLen() < 0 {
			t.Fatalf("%x parsed as %+v", text, header)
		}
		if header.Validate() == OK && (header.BodyLen > MaxBody || header.KeyLen > MaxKey) {
			t.Fatalf("%+v is valid", header)
		}
		if again := header.Append(nil, RequestMagic); !bytes.Equal(again, text[:HeaderLen]) {
			t.Fatalf("%x appended as %x", text[:HeaderLen], again)
		}
	})
}
