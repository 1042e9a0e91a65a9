package main

import (
	"bytes"
	"strings"
	"testing"
)

const opening = "batch\t1000\t1\nabout\tproxy/0\nattach\t5\t" +
	`{"Services":[{"Effect":"safe","Aim":600,"HardLimit":1200}],"Dcs":["a"],"New":1,` +
	`"Limits":{"MaxAttempts":3}}` + "\n" +
	"census\t0\t1\nrow\ta:1\t0\t0\t0\tin_service\t1\t-\nupdate\t1\twarm_copy\t0\n" +
	"demand\t7\t0\t0\tu:k\t2200\t-\t-\t0\nend\n"

func TestRunAnswersEachBatch(t *testing.T) {
	var out bytes.Buffer
	in := opening + "batch\t1020\t2\nabout\tproxy/0\nresult\t7\t0\ta:1\tS\t18.5\t1\t1\t-\ndown\nalarm\t3\nend\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"context\tproxy/0\n", "dispatch\t7\ta:1\t"} {
		if !strings.Contains(got, want) {
			t.Errorf("reply %q lacks %q", got, want)
		}
	}
	if !strings.HasSuffix(got, "next\t1\nnext\t2\n") {
		t.Errorf("reply %q", got)
	}
}

// TestInvalidInputIsNamedAndNotAnswered checks that an error names the line and the field of the invalid input, and
// that the batch with that input gets no reply.
func TestInvalidInputIsNamedAndNotAnswered(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(opening+"batch\t1020\t2\nabout\tproxy/0\ndemand\t8\nend\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 11: demand Class") {
		t.Errorf("error %v", err)
	}
	if !strings.HasSuffix(out.String(), "next\t1\n") {
		t.Errorf("half-written reply %q", out.String())
	}
}

// TestInvalidSettingsAreReportedForTheirInstance checks that invalid settings end only the instance that they belong
// to, not the adapter.
func TestInvalidSettingsAreReportedForTheirInstance(t *testing.T) {
	for _, settings := range []string{
		`{}`,
		`{"Services":[{"Effect":"odd"}]}`,
		`{"Services":[{"Effect":"safe","Aim":-1}]}`,
		`{"Services":[{"Effect":"safe"}],"Dcs":["a"],"MyZone":1}`,
	} {
		var out bytes.Buffer
		in := "batch\t1\t1\nabout\tproxy/3\nattach\t5\t" + settings + "\nend\n"
		if err := run(strings.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(out.String(), "context\tproxy/3\ndie\tsettings: ") {
			t.Errorf("%s: reply %q", settings, out.String())
		}
	}
}
