package client

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestLongLinesDoNotCutFile checks that the addresses after a line of any length are read.
func TestLongLinesDoNotCutFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "proxies")
	text := "127.0.0.1:1\r\n# " + strings.Repeat("x", 100_000) + "\n127.0.0.1:2"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := fileSource{path: path}.read()
	if want := []string{"127.0.0.1:1", "127.0.0.1:2"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("read %v, %v; want %v", got, err, want)
	}
}
