package meta

import (
	"bufio"
	"strings"
	"testing"
)

// TestReadNoopAnswer checks what a node's line says about a no-op.
func TestReadNoopAnswer(t *testing.T) {
	for _, test := range []struct {
		text         string
		accepted, ok bool
	}{
		{"MN\r\n", true, true},
		{"SERVER_ERROR busy\r\n", false, true},
		{"SERVER_ERROR failed\r\n", false, true},
		{"HD O1 c7\r\n", false, false},
		{"EN\r\n", false, false},
		{"MN\n", false, false},
		{"MN", false, false},
	} {
		accepted, err := NodeDialect{}.ReadNoopAnswer(bufio.NewReader(strings.NewReader(test.text)))
		if accepted != test.accepted || (err == nil) != test.ok {
			t.Errorf("%q: %v, %v", test.text, accepted, err)
		}
	}
}
