package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"mulleinpier/policy"
)

const sample = "batch\t8412.25\t12\nabout\tproxy/3\ncensus\t0\t1\n" +
	"row\t10.18.74.7:5003\t1\t2\t3\tin_service\t1.5\t6100.0\nupdate\t41\twarm_copy\t0\n" +
	"demand\t1436517800776132\t0\t1\tu:kd6\t8652.25\t12.0\t-\t5\n" +
	"result\t1436517800776132\t0\t10.18.74.7:5003\tS\t18.5\t1\t1\trps:140,waiting:3,x0:0.4\nend\n"

func TestReadSample(t *testing.T) {
	b, err := NewReader(strings.NewReader(sample)).Read()
	if err != nil {
		t.Fatal(err)
	}
	if b.Sequence != 12 || b.Now != 8412250*time.Microsecond || len(b.Items) != 3 {
		t.Fatalf("batch %+v", b)
	}
	update := b.Items[0].Event.(policy.EndpointUpdate)
	endpoint := policy.Endpoint{
		Server:      "10.18.74.7:5003",
		Zone:        1,
		MachineKind: 2,
		Cell:        3,
		Weight:      1.5,
		StartedAt:   6100 * time.Millisecond,
	}
	if update.Kind != policy.EndpointsCached || update.Endpoints[0] != endpoint {
		t.Errorf("update %+v", update)
	}
	arrival := b.Items[1].Event.(policy.Arrival)
	if !arrival.Write || arrival.IsRetry || arrival.Key != "u:kd6" || arrival.Tenant != 1 {
		t.Errorf("arrival %+v", arrival)
	}
	checkSampleOutcome(t, b.Items[2].Event.(policy.Outcome))
}

func checkSampleOutcome(t *testing.T, outcome policy.Outcome) {
	t.Helper()
	if outcome.Result != policy.Served || !outcome.Final || outcome.CacheStatus != policy.CacheHit {
		t.Errorf("outcome %+v", outcome)
	}
	if report := outcome.LoadReport; report.Queue != 3 || report.InFlight != notReported {
		t.Errorf("load report %+v", report)
	}
}

func TestErrorsNameLineAndField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"batch\tx\t1\nend\n", "line 1: batch SimTime"},
		{"batch\t1\t1\nnews\t1\nend\n", "line 2: news message"},
		{"batch\t1\t1\nabout\tp\nalarm\nend\n", "line 3: alarm KeyBack"},
		{"batch\t1\t1\nabout\tp\nalarm\t1\t2\nend\n", "line 3: alarm line"},
		{"batch\t1\t1\nalarm\t1\nend\n", "line 2: alarm message"},
		{"batch\t1\t1\nabout\tp\nalarm\t1\n", "line 3: end"},
		{"batch\t1\t1\nabout\tp\nalar", "line 3: line"},
		{"batch\t1\t1\nabout\tp\nupdate\t1\ttotal\t4\nend\n", "line 3: update Page"},
		{"batch\t1\t1\nabout\tp\nresult\t1\t0\ts\tQ\t1\t1\t-\t-\nend\n", "line 3: result StateCode"},
		{"batch\t1\t1\nabout\tp\nresult\t1\t0\ts\tS\t1\t1\t-\trps:x\nend\n", "line 3: result Metrics"},
	} {
		_, err := NewReader(strings.NewReader(c.text)).Read()
		var e *SyntaxError
		if !errors.As(err, &e) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

func TestPageIsReusedInOrder(t *testing.T) {
	row := func(server string) string { return "row\t" + server + "\t0\t0\t0\tin_service\t1\t-\n" }
	text := "batch\t1\t1\nabout\tp\ncensus\t0\t1\n" + row("a:1") + "update\t1\ttotal\t0\ncensus\t0\t1\n" + row("b:1") +
		"update\t2\ttotal\t0\nend\n"
	b, err := NewReader(strings.NewReader(text)).Read()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"a:1", "b:1"} {
		if got := b.Items[i].Event.(policy.EndpointUpdate).Endpoints[0].Server; got != want {
			t.Errorf("update %d names %s, want %s", i, got, want)
		}
	}
}

// FuzzRead checks that each error other than io.EOF names a line and a field (guarantee 1).
func FuzzRead(f *testing.F) {
	f.Add(sample)
	f.Add("batch\t1\t1\nend\n")
	f.Add("batch\t1\t1\nabout\tp\nattach\t1\t{}\ndown\nend\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		for {
			_, err := r.Read()
			if err == io.EOF {
				return
			}
			if err == nil {
				continue
			}
			var e *SyntaxError
			if !errors.As(err, &e) || e.Line < 1 || e.Field == "" && e.Message == "" {
				t.Fatalf("error %v names no line or field", err)
			}
			return
		}
	})
}
