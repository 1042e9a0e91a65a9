package testutil

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Recorded returns the contents of a file that an earlier version of the program wrote.
func Recorded(t testing.TB, path string) []byte {
	t.Helper()
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

// CheckRecordedCBOR checks that the encoding of a message is unchanged: the file at path, which an earlier version
// wrote, must decode to want, and want must encode to the same bytes, so that the earlier version can read messages of
// this one.
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

// CheckRecordedJSON decodes a recorded JSON output into the value that into points to, and fails the test unless
// encoding that value gives the same bytes: no field may have changed its name, type or position.
func CheckRecordedJSON(t testing.TB, path string, into any, indent string) {
	t.Helper()
	text := Recorded(t, path)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	encoder := json.NewEncoder(&again)
	encoder.SetIndent("", indent)
	if err := encoder.Encode(into); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), text) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, again.Bytes(), text)
	}
}

var (
	helpFlag     = regexp.MustCompile(`^ +(?:(-\w), +)?(--[a-z-]+(?:=\S+)?)`)
	helpArgument = regexp.MustCompile(`^ +([<\[]\S+)`)
	helpVariable = regexp.MustCompile(`\(\$\w+\)`)
)

// HelpSignature reduces the help text of a command to the parts that scripts depend on: the usage line, flags with
// their placeholders and defaults, arguments and environment variables.
func HelpSignature(help string) (lines []string) {
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		if usage, ok := strings.CutPrefix(line, "Usage: "); ok {
			_, usage, _ = strings.Cut(usage, " ") // the usage without the program's name
			lines = append(lines, "usage "+usage)
		}
		if m := helpFlag.FindStringSubmatch(line); m != nil {
			lines = append(lines, strings.TrimSpace("flag "+m[2]+" "+m[1]))
		} else if m := helpArgument.FindStringSubmatch(line); m != nil {
			lines = append(lines, "argument "+m[1])
		}
		if m := helpVariable.FindString(line); m != "" {
			lines = append(lines, "variable "+m)
		}
	}
	return lines
}
