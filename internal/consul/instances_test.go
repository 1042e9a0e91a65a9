package consul

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	fakeconsul "mulleinpier/internal/fake/consul"
)

// fetchOne fetches the endpoint of the only instance of a source.
func fetchOne(t *testing.T, c SourceConfig) discovery.Endpoint {
	t.Helper()
	l, err := c.Open().Fetch(t.Context())
	if err != nil || len(l.Endpoints) != 1 || !l.Snapshot {
		t.Fatalf("%+v, %v", l, err)
	}
	return l.Endpoints[0]
}

// cacheSource returns the source that the tests read.
func cacheSource(agent *fakeconsul.Agent) SourceConfig {
	return SourceConfig{
		Agent: Agent{Address: agent.Address()}, Service: "cache", WaitTime: time.Minute,
		DrainTag: "leaving", DrainCheck: "drain",
	}
}

func TestInstanceWithDefaults(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	i := instance("a")
	i.Checks = []fakeconsul.Check{{CheckID: "tcp", Status: "passing"}}
	catalogue.Set(i)
	got := fetchOne(t, cacheSource(agent))
	if got.Instance == "" {
		t.Error("no instance")
	}
	got.Instance = ""
	want := discovery.Endpoint{Name: "n1/a", Address: "10.0.0.1:1001", Zone: "dc1", Status: "up", Weight: 1}
	if got != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if _, consistentQueries, _ := agent.Stats(); consistentQueries != 1 {
		t.Error("a fetch was not in consistent mode")
	}
}

func TestInstanceWithMeta(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	i := instance("bb")
	i.Meta = map[string]string{
		"name": "cache9", "zone": "pest", "type": "gyors", "group": "3", "started_ms": "5000", "instance": "x",
	}
	i.Passing, i.Warning = 7, 2
	i.Checks = []fakeconsul.Check{{CheckID: "load", Status: "warning"}}
	catalogue.Set(i)
	got := fetchOne(t, cacheSource(agent))
	want := discovery.Endpoint{
		Name: "cache9", Address: "10.0.0.1:1002", Zone: "pest", Type: "gyors", Group: 3, Status: "up", Weight: 2,
		StartedMillis: 5000, Instance: "x",
	}
	if got != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

func TestTwoInstancesAreRead(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	catalogue.Set(instance("a"))
	catalogue.Set(instance("bb"))
	l, err := cacheSource(agent).Open().Fetch(t.Context())
	if err != nil || statusesOf(l) != "n1/a=up n1/bb=up" || !l.Snapshot {
		t.Fatalf("%+v, %v", l, err)
	}
}

func TestDatacenterAndTagAreQueried(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	catalogue.Set(instance("a"))
	far := instance("far")
	far.Datacenter = "dc2"
	catalogue.Set(far)
	c := cacheSource(agent)
	c.Datacenter = "dc2"
	if e := fetchOne(t, c); e.Name != "n1/far" || e.Status != "up" || e.Zone != "dc2" {
		t.Errorf("from the other datacenter: %+v", e)
	}
	c = cacheSource(agent)
	c.Tag = "prod"
	if l, err := c.Open().Fetch(t.Context()); err != nil || statusesOf(l) != "" {
		t.Errorf("with a tag that no instance has: %+v, %v", l, err)
	}
}

// checks returns a function that sets the checks of an instance.
func checks(list ...fakeconsul.Check) func(*fakeconsul.Instance) {
	return func(i *fakeconsul.Instance) { i.Checks = list }
}

// meta returns a function that sets the service meta of an instance.
func meta(key, value string) func(*fakeconsul.Instance) {
	return func(i *fakeconsul.Instance) { i.Meta = map[string]string{key: value} }
}

func TestStatusByTagsAndChecks(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	for name, c := range map[string]struct {
		change func(*fakeconsul.Instance)
		status string
	}{
		"drain tag":   {func(i *fakeconsul.Instance) { i.Tags = []string{"leaving"} }, "draining"},
		"drain check": {checks(fakeconsul.Check{CheckID: "drain", Status: "warning"}), "draining"},
		"node maintenance": {
			checks(fakeconsul.Check{CheckID: "_node_maintenance", Status: "critical", Notes: "disk"}),
			"draining",
		},
		"critical check": {checks(fakeconsul.Check{CheckID: "tcp", Status: "critical"}), "removed"},
		"maintenance and a critical check": {checks(
			fakeconsul.Check{CheckID: "_service_maintenance:a", Status: "critical"},
			fakeconsul.Check{CheckID: "tcp", Status: "critical"},
		), "removed"},
	} {
		i := instance("a")
		c.change(&i)
		catalogue.Set(i)
		if e := fetchOne(t, cacheSource(agent)); e.Status != c.status || e.Reason == "" {
			t.Errorf("%s: %+v is read as %+v", name, i, e)
		}
	}
}

func TestInvalidInstancesAreErrors(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	other := instance("bb")
	other.Meta = map[string]string{"name": "cache9"}
	catalogue.Set(other)
	for name, change := range map[string]func(*fakeconsul.Instance){
		"no port":         func(i *fakeconsul.Instance) { i.Port = 0 },
		"group no number": meta("group", "x"),
		"start no number": meta("started_ms", "NaN"),
		"duplicate name":  meta("name", "cache9"),
	} {
		i := instance("a")
		change(&i)
		catalogue.Set(i)
		if l, err := cacheSource(agent).Open().Fetch(t.Context()); err == nil {
			t.Errorf("%s: %+v is read as %+v", name, i, l)
		}
	}
}

// TestHalfListIsNoList checks that a body that ends between two entries is an error. If it were read as a shorter
// list, nodes would be removed.
func TestHalfListIsNoList(t *testing.T) {
	const one = `{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"a","Port":1000}}`
	for text, valid := range map[string]bool{
		"[]":            true,
		"[" + one + "]": true,
		"[":             false,
		"[" + one:       false,
		"[" + one + ",": false,
		"{}":            false,
		"":              false,
	} {
		if list, err := (&source{}).readInstances(strings.NewReader(text)); (err == nil) != valid {
			t.Errorf("%q read as %+v, %v", text, list, err)
		}
	}
}

// FuzzEntries checks that any body is either an error or a list of valid entries with unique names.
func FuzzEntries(f *testing.F) {
	text, err := json.Marshal([]entry{{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add(`[{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"dc1"},` +
		`"Service":{"ID":"a","Port":1000,"Weights":{"Passing":1}},"Checks":[{"CheckID":"tcp","Status":"critical"}]}]`)
	f.Add("[]")
	f.Add("null")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := (&source{}).readInstances(strings.NewReader(text))
		if err != nil {
			return
		}
		names := map[string]bool{}
		for _, e := range list {
			if e.Name == "" || e.Address == "" || names[e.Name] || e.Status == "" || e.StartedMillis < 0 {
				t.Fatalf("%q read as %+v", text, list)
			}
			names[e.Name] = true
		}
	})
}

func BenchmarkReadList(b *testing.B) {
	catalogue := fakeconsul.New()
	for i := range 2000 {
		x := instance(fmt.Sprint("cache", i))
		x.Checks = []fakeconsul.Check{{CheckID: "tcp", Status: "passing", Output: strings.Repeat("o", 60)}}
		x.Meta = map[string]string{"type": "gyors", "group": "3"}
		catalogue.Set(x)
	}
	agent, err := catalogue.Start("here", "")
	if err != nil {
		b.Fatal(err)
	}
	defer agent.Close()
	s := SourceConfig{Agent: Agent{Address: agent.Address()}, Service: "cache"}.Open()
	b.ReportAllocs()
	for b.Loop() {
		if l, err := s.Fetch(b.Context()); err != nil || len(l.Endpoints) != 2000 {
			b.Fatal(len(l.Endpoints), err)
		}
	}
	queries, _, bytes := agent.Stats()
	b.ReportMetric(float64(bytes)/float64(queries), "B/list")
}
