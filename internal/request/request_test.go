package request

import (
	"bytes"
	"testing"
)

// TestFrameIsWrittenInPlace checks that a frame is written around the value without copying it if there is room for the
// frame (invariant 1), and that the framed value is still correct if there is not.
func TestFrameIsWrittenInPlace(t *testing.T) {
	for _, test := range []struct {
		name       string
		headerRoom int
		head, tail string
		inPlace    bool
	}{
		{"room to spare", 10, "head ", "\r\n", true},
		{"just enough room", 5, "head ", "\r\n", true},
		{"too little room", 4, "head ", "\r\n", false},
		{"no frame", 10, "", "", true},
		{"a long tail", 10, "h", "long", false},
	} {
		var answer Answer
		copy(answer.AllocateValue(test.headerRoom, 5), "value")
		before := &answer.Value()[0]
		got := answer.Frame([]byte(test.head), []byte(test.tail))
		if string(got) != test.head+"value"+test.tail {
			t.Errorf("%s: framed as %q", test.name, got)
		}
		at := bytes.Index(got, []byte("value"))
		if inPlace := &got[at] == before; inPlace != test.inPlace {
			t.Errorf("%s: framed in place: %v, want %v", test.name, inPlace, test.inPlace)
		}
	}
}

// TestValueIsReadWithItsTail checks that a value and the two bytes after it can be read with one call.
func TestValueIsReadWithItsTail(t *testing.T) {
	var answer Answer
	answer.AllocateValue(3, 2)
	if n := copy(answer.ValueAndTail(), "hi\r\n"); n != 4 {
		t.Errorf("read %d bytes of value and tail at once, want 4", n)
	}
	if string(answer.Value()) != "hi" || string(answer.Tail()) != "\r\n" || answer.ValueLen() != 2 {
		t.Errorf("value %q of %d bytes, tail %q", answer.Value(), answer.ValueLen(), answer.Tail())
	}
}
