package store

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func TestSavedChangesAreLoaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	if _, err := Open(path); !errors.Is(err, ErrNotFound) {
		t.Fatalf("opened before it was created: %v", err)
	}
	if err := Create(path, Change{Named: map[string][]byte{"x": []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	if err := Create(path, Change{}); err == nil {
		t.Fatal("created over an existing file")
	}
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	save := func(c Change) {
		t.Helper()
		if err := l.Save(c); err != nil {
			t.Fatal(err)
		}
	}
	records := func(numbers ...uint64) (list []Record) {
		for _, n := range numbers {
			list = append(list, Record{n, []byte{byte(n)}})
		}
		return list
	}
	save(Change{Records: records(1, 2, 3, 300, 400)})
	save(Change{DropFrom: 300, Records: records(300), Named: map[string][]byte{"y": nil}})
	save(Change{DropThrough: 2})
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if l, err = Open(path); err != nil { // reopen the file, as a restarted process does
		t.Fatal(err)
	}
	defer l.Close()
	named, got, err := l.Load()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, records(3, 300)) {
		t.Errorf("records %v", got)
	}
	if string(named["x"]) != "1" || len(named) != 2 {
		t.Errorf("named records %v", named)
	}
}

// TestTornFileIsNotOpened checks that Open rejects a truncated file. If it opened the file as an empty one, a voter
// would run without the state that it saved.
func TestTornFileIsNotOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	if err := Create(path, Change{Named: map[string][]byte{"x": make([]byte, 20000)}}); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, 100, 4096} {
		if err := os.WriteFile(path, complete[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := Open(path); err == nil {
			l.Close()
			t.Errorf("opened with %d of %d bytes", n, len(complete))
		}
	}
}
