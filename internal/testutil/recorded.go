package testutil

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Recorded reads a file that an earlier version of this program wrote.
func Recorded(t testing.TB, path string) []byte {
	t.Helper()
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

// CheckRecordedCBOR guards a message against a change of its encoding: what an earlier version wrote to path must
// decode to want, and want must encode to the very same bytes, so that the earlier version reads what this one writes.
func CheckRecordedCBOR[T any](t *testing.T, path string, want T) {
	t.Helper()
	recorded := Recorded(t, path)
	var got T
	if err := cbor.Unmarshal(recorded, &got); err != nil {
		t.Errorf("%s: %v", path, err)
	} else if !reflect.DeepEqual(got, want) {
		t.Errorf("%s decodes to\n%+v, want\n%+v", path, got, want)
	}
	encoded, err := cbor.Marshal(want)
	if err != nil || !bytes.Equal(encoded, recorded) {
		t.Errorf("%s: now encoded as\n%x, recorded as\n%x (error %v)", path, encoded, recorded, err)
	}
}
