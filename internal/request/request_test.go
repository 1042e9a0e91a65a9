package request

import (
	"bytes"
	"testing"
)

// TestFrameGoesRoundTheValue guards invariant 1, and frames that find no room.
func TestFrameGoesRoundTheValue(t *testing.T) {
	for _, c := range []struct {
		room       int
		head, tail string
		inPlace    bool
	}{{10, "head ", "\r\n", true}, {5, "head ", "\r\n", true}, {4, "head ", "\r\n", false}, {10, "", "", true}, {10, "h", "long", false}} {
		var a Answer
		copy(a.AllocateValue(c.room, 5), "value")
		before := &a.Value()[0]
		got := a.Frame([]byte(c.head), []byte(c.tail))
		if string(got) != c.head+"value"+c.tail {
			t.Errorf("room %d: framed as %q", c.room, got)
		}
		if at := bytes.Index(got, []byte("value")); (&got[at] == before) != c.inPlace {
			t.Errorf("room %d, %q: copied: %v", c.room, c.head, &got[at] != before)
		}
	}
}

func TestWholeValueIsReadWithItsEnd(t *testing.T) {
	var a Answer
	a.AllocateValue(3, 2)
	if n := copy(a.ValueAndTail(), "hi\r\n"); n != 4 || string(a.Value()) != "hi" || string(a.Tail()) != "\r\n" || a.ValueLen() != 2 {
		t.Errorf("%d read, value %q, tail %q", n, a.Value(), a.Tail())
	}
}
