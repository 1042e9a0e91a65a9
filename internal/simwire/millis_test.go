package simwire

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestTimesInSettingsAreInRange guards against a time that no duration holds: what became of it depended on the
// machine, and on arm64 it was taken as 292 years.
func TestTimesInSettingsAreInRange(t *testing.T) {
	const format = `{"Services":[{"Name":"a","Effect":"safe","HardLimit":%s}]}`
	for _, test := range []struct {
		value string
		want  time.Duration // 0 for an error
	}{
		{"2500", 2500 * time.Millisecond},
		{"0.5", 500 * time.Microsecond},
		{"1e12", 1e12 * time.Millisecond},
		{"1.000001e12", 0},
		{"1e300", 0},
		{"-1e300", 0},
		{"1e400", 0},
		{`"inf"`, 0},
	} {
		settings, err := ParseSettings(fmt.Sprintf(format, test.value))
		if (err == nil) != (test.want > 0) {
			t.Errorf("%s: error %v", test.value, err)
			continue
		}
		if err == nil && settings.Classes[0].Deadline != test.want {
			t.Errorf("%s: read as %v, want %v", test.value, settings.Classes[0].Deadline, test.want)
		}
		if err != nil && (!strings.Contains(err.Error(), "HardLimit") || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: the error %q does not name the field in one line", test.value, err)
		}
	}
}
