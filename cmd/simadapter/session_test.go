package main

import (
	"bytes"
	"compress/gzip"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
)

var record = flag.Bool("record", false, "record the sessions of testdata/sessions again instead of replaying them")

const (
	sessionFolder = "testdata/sessions"
	sessionCount  = 8
)

// TestRecordedSessions replays recorded sessions on the simulator's wire and checks that the replies are the same, byte
// for byte. After an intended change of a decision, record the sessions again with -record, in a commit of its own.
func TestRecordedSessions(t *testing.T) {
	for seed := range uint64(sessionCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			name := filepath.Join(sessionFolder, fmt.Sprintf("%02d", seed))
			if *record {
				recordSession(t, seed, name)
				return
			}
			input, want := readCompressed(t, name+".in.gz"), readCompressed(t, name+".out.gz")
			var got bytes.Buffer
			if err := run(bytes.NewReader(input), &got); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("%s", firstDifference(got.Bytes(), want))
			}
		})
	}
}

func recordSession(t *testing.T, seed uint64, name string) {
	t.Helper()
	input, output := playSession(t, seed)
	writeCompressed(t, name+".in.gz", input)
	writeCompressed(t, name+".out.gz", output)
	t.Logf("%d bytes of input, %d of output", len(input), len(output))
}

func firstDifference(got, want []byte) string {
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			return fmt.Sprintf("line %d: have %q, want %q", i+1, gotLines[i], wantLines[i])
		}
	}
	return fmt.Sprintf("have %d lines, want %d", len(gotLines), len(wantLines))
}

func readCompressed(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	reader, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeCompressed(t *testing.T, path string, data []byte) {
	t.Helper()
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
