package testutil

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Recorded returns an output of an earlier version from the folder testdata/recorded.
func Recorded(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// CheckRecordedJSON reads a recorded JSON output into the type that this version prints, and fails the test unless it
// comes out again byte for byte: so no field has another name, type or place.
func CheckRecordedJSON(t testing.TB, name string, into any, indent string) {
	t.Helper()
	text := Recorded(t, name)
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
		t.Errorf("%s: got\n%s\nwant\n%s", name, again.Bytes(), text)
	}
}

var (
	helpFlag     = regexp.MustCompile(`^ +(?:(-\w), +)?(--[a-z-]+(?:=\S+)?)`)
	helpArgument = regexp.MustCompile(`^ +([<\[]\S+)`)
	helpVariable = regexp.MustCompile(`\(\$\w+\)`)
)

// HelpSignature reduces the help text of a command to what scripts depend on: the usage line, flags with their
// placeholders and defaults, arguments and environment variables.
func HelpSignature(help string) (lines []string) {
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		if usage, ok := strings.CutPrefix(line, "Usage: "); ok {
			_, usage, _ = strings.Cut(usage, " ") // without the program's name
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
