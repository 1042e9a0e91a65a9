package store

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mulleinpier/internal/testutil"
)

// TestRecordedFileIsRead checks that a file that an earlier version created and changed can be opened, that it contains
// what that version saved, and that further changes can be saved to it. A changed layout would make such files
// unreadable.
func TestRecordedFileIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, testutil.Recorded(t, "testdata/log.bolt"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	wantNamed := map[string][]byte{"hard": []byte("second"), "fleet": []byte("shop"), "empty": {}}
	wantRecords := []Record{
		{3, []byte("three")},
		{4, []byte("four, replaced")},
		{5, []byte{}},
		{300, []byte{0, 255}},
		{1 << 40, []byte("far")},
	}
	check := func() {
		t.Helper()
		named, records, err := l.Load()
		if err != nil {
			t.Fatal(err)
		}
		for name, data := range named {
			if string(data) != string(wantNamed[name]) {
				t.Errorf("%q is %q, want %q", name, data, wantNamed[name])
			}
		}
		if len(named) != len(wantNamed) {
			t.Errorf("%d named records, want %d", len(named), len(wantNamed))
		}
		for i := range records {
			if records[i].Data == nil {
				records[i].Data = []byte{}
			}
		}
		if !reflect.DeepEqual(records, wantRecords) {
			t.Errorf("records %+v, want %+v", records, wantRecords)
		}
	}
	check()
	wantNamed["hard"] = []byte("third")
	wantRecords = append(wantRecords[1:3:3], Record{6, []byte("six")})
	err = l.Save(Change{
		Named:       map[string][]byte{"hard": []byte("third")},
		DropFrom:    6,
		DropThrough: 3,
		Records:     []Record{{6, []byte("six")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	check()
}
