package consul

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	standin "mulleinpier/internal/fake/consul"
	"mulleinpier/internal/testutil"
)

func start(t *testing.T, token string) (*standin.Catalogue, *standin.Agent) {
	t.Helper()
	c := standin.New()
	a, err := c.Start("here", token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return c, a
}

func instance(id string) standin.Instance {
	return standin.Instance{Node: "n1", ID: id, Service: "cache", Address: "10.0.0.1", Port: 1000 + len(id)}
}

// watch follows a place, and passes on the lists and the error it ends with.
func watch(t *testing.T, p SourceConfig) (<-chan discovery.List, <-chan error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	lists, ended := make(chan discovery.List, 1000), make(chan error, 1)
	go func() { ended <- p.Open().Watch(ctx, 0, func(l discovery.List) { lists <- l }) }()
	t.Cleanup(stop)
	return lists, ended
}

// says puts a list in a word.
func says(l discovery.List) string {
	var text []string
	for _, e := range l.Endpoints {
		text = append(text, e.Name+"="+e.Status)
	}
	return strings.Join(text, " ")
}

func TestInstancesAreRead(t *testing.T) {
	c, a := start(t, "")
	plain := instance("a")
	plain.Checks = []standin.Check{{CheckID: "tcp", Status: "passing"}}
	c.Set(plain)
	rich := instance("bb")
	rich.Meta = map[string]string{"name": "cache9", "zone": "pest", "type": "gyors", "group": "3", "started_ms": "5000", "instance": "x"}
	rich.Passing, rich.Warning = 7, 2
	rich.Checks = []standin.Check{{CheckID: "load", Status: "warning"}}
	c.Set(rich)
	p := SourceConfig{Agent: Agent{Address: a.Address()}, Service: "cache", WaitTime: time.Minute, DrainTag: "leaving", DrainCheck: "drain"}
	l, err := p.Open().Fetch(t.Context())
	if err != nil || len(l.Endpoints) != 2 || !l.Snapshot {
		t.Fatalf("%+v, %v", l, err)
	}
	if got, want := l.Endpoints[0], (discovery.Endpoint{Name: "n1/a", Address: "10.0.0.1:1001", Zone: "dc1", Status: "up", Weight: 1}); got.Instance == "" ||
		got.Name != want.Name || got.Address != want.Address || got.Zone != want.Zone || got.Status != want.Status || got.Weight != want.Weight {
		t.Errorf("read %+v", got)
	}
	if got := l.Endpoints[1]; got.Name != "cache9" || got.Zone != "pest" || got.Type != "gyors" || got.Group != 3 || got.StartedMillis != 5000 || got.Instance != "x" || got.Weight != 2 {
		t.Errorf("read %+v", got)
	}
	if _, looks, _ := a.Stats(); looks != 1 {
		t.Error("a look was not in consistent mode")
	}
	far := instance("far")
	far.Datacenter = "dc2"
	c.Set(far)
	p.Datacenter = "dc2"
	if l, err := p.Open().Fetch(t.Context()); err != nil || says(l) != "n1/far=up" || l.Endpoints[0].Zone != "dc2" {
		t.Errorf("of the other data centre %+v, %v", l, err)
	}
	p.Datacenter, p.Tag = "", "prod"
	if l, err := p.Open().Fetch(t.Context()); err != nil || says(l) != "" {
		t.Errorf("with a tag that none has %+v, %v", l, err)
	}
	p.Tag = ""
	for _, k := range []struct {
		change func(*standin.Instance)
		status string
	}{
		{func(i *standin.Instance) { i.Tags = []string{"leaving"} }, "draining"},
		{func(i *standin.Instance) { i.Checks = []standin.Check{{CheckID: "drain", Status: "warning"}} }, "draining"},
		{func(i *standin.Instance) {
			i.Checks = []standin.Check{{CheckID: "_node_maintenance", Status: "critical", Notes: "disk"}}
		}, "draining"},
		{func(i *standin.Instance) { i.Checks = []standin.Check{{CheckID: "tcp", Status: "critical"}} }, "removed"},
		{func(i *standin.Instance) {
			i.Checks = []standin.Check{{CheckID: "_service_maintenance:a", Status: "critical"}, {CheckID: "tcp", Status: "critical"}}
		}, "removed"},
	} {
		i := instance("a")
		k.change(&i)
		c.Set(i)
		if l, err := p.Open().Fetch(t.Context()); err != nil || l.Endpoints[0].Status != k.status || l.Endpoints[0].Reason == "" {
			t.Errorf("%+v is read as %+v, %v", i, l, err)
		}
	}
	for _, bad := range []func(*standin.Instance){func(i *standin.Instance) { i.Port = 0 }, func(i *standin.Instance) { i.Meta = map[string]string{"group": "x"} },
		func(i *standin.Instance) { i.Meta = map[string]string{"started_ms": "NaN"} }, func(i *standin.Instance) { i.Meta = map[string]string{"name": "cache9"} }} {
		i := instance("a")
		bad(&i)
		c.Set(i)
		if l, err := p.Open().Fetch(t.Context()); err == nil {
			t.Errorf("%+v is read as %+v", i, l)
		}
	}
}

// TestChangesAreFollowed goes through what a blocking query can meet that is no failure.
func TestChangesAreFollowed(t *testing.T) {
	c, a := start(t, "")
	c.Set(instance("a"))
	lists, ended := watch(t, SourceConfig{Agent: Agent{Address: a.Address()}, Service: "cache", WaitTime: 300 * time.Millisecond})
	expect := func(want string) {
		t.Helper()
		for {
			if got := says(testutil.Receive(t, want, lists)); got == want {
				return
			}
		}
	}
	expect("n1/a=up")
	c.SetMaintenance("n1", "a", true, "disk")
	expect("n1/a=draining")
	c.SetMaintenance("n1", "a", false, "")
	expect("n1/a=up")
	c.ResetIndex() // the index goes backwards
	c.Set(instance("b"))
	expect("n1/a=up n1/b=up")
	a.SetFault(standin.ZeroIndex)
	c.Remove("n1", "a")
	expect("n1/b=up")
	a.SetFault(standin.NoFault)
	c.Remove("n1", "b")
	expect("")
	for len(lists) > 0 {
		<-lists
	}
	time.Sleep(time.Second) // some waits that end without news
	if len(lists) > 0 || len(ended) > 0 {
		t.Errorf("%d lists told without a change, %d ends", len(lists), len(ended))
	}
}

// TestFailuresAreNoNews guards invariant 1, and that each failure ends in its time.
func TestFailuresAreNoNews(t *testing.T) {
	bodyTime = 2 * time.Second
	defer func() { bodyTime = 10 * time.Second }()
	for kind, want := range map[standin.FaultKind]string{
		standin.ACLFiltered: "token does not allow", standin.Leaderless: "no leader", standin.StaleLeader: "stale", standin.MalformedBody: "not a list",
		standin.TruncatedBody: "EOF", standin.HugeList: "more than 8192 instances", standin.RateLimited: "status 429", standin.Forbidden: "status 403",
		standin.ServerError: "status 500", standin.SlowBody: "no answer in time", standin.NoResponse: "no answer in time",
	} {
		c, a := start(t, "")
		c.Set(instance("a"))
		lists, ended := watch(t, SourceConfig{Agent: Agent{Address: a.Address()}, Service: "cache", WaitTime: 100 * time.Millisecond})
		testutil.Receive(t, "the first list", lists)
		a.SetFault(kind)
		c.Set(instance("b"))
		if err := testutil.Receive(t, string(kind), ended); !strings.Contains(err.Error(), want) {
			// A context's end shows under several names, the cause among them.
			if !(want == "no answer in time" && errors.Is(err, context.Canceled)) {
				t.Errorf("%s: ended with %v, want %q", kind, err, want)
			}
		}
		for len(lists) > 0 {
			if got := says(<-lists); got != "n1/a=up" {
				t.Errorf("%s: told %q", kind, got)
			}
		}
		a.Close()
	}
}

// TestTokenRotatesAndCertificatesCount guards what an agent is told and trusted by.
func TestTokenRotatesAndCertificatesCount(t *testing.T) {
	c, a := start(t, "second")
	c.Set(instance("a"))
	file := filepath.Join(t.TempDir(), "token")
	write := func(path string, text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file, []byte("first\n"))
	s := SourceConfig{Agent: Agent{Address: a.Address(), TokenFile: file}, Service: "cache"}.Open()
	var status *StatusError
	if _, err := s.Fetch(t.Context()); !errors.As(err, &status) || status.Status != http.StatusForbidden {
		t.Errorf("with the wrong token: %v", err)
	}
	write(file, []byte("second\n"))
	if _, err := s.Fetch(t.Context()); err != nil {
		t.Errorf("with the new token: %v", err)
	}
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "[]") }))
	defer server.Close()
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	place := SourceConfig{Agent: Agent{Address: strings.TrimPrefix(server.URL, "https://"), TLS: true}, Service: "cache"}
	if _, err := place.Open().Fetch(t.Context()); err == nil {
		t.Error("an unknown certificate was trusted")
	}
	place.CAFile = filepath.Join(t.TempDir(), "ca.pem")
	write(place.CAFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	if _, err := place.Open().Fetch(t.Context()); err != nil {
		t.Errorf("with the own CA: %v", err)
	}
	write(place.CAFile, []byte("nothing"))
	if _, err := place.Open().Fetch(t.Context()); err == nil {
		t.Error("a file without a certificate will do")
	}
}

func TestRegistration(t *testing.T) {
	c, a := start(t, "")
	r := NewRegistrar(Registration{Agent: Agent{Address: a.Address()}, Service: "proxy", ID: "p1", Host: "127.0.0.1", Port: 11211, TTL: 300 * time.Millisecond},
		slog.New(slog.DiscardHandler))
	status := func() string {
		list := c.Instances("proxy")
		if len(list) == 0 {
			return "gone"
		}
		text := ""
		for _, k := range list[0].Checks {
			text += k.Status + " "
		}
		return strings.TrimSpace(text)
	}
	until := func(want string) {
		t.Helper()
		testutil.WaitUntil(t, want, func() bool { return status() == want })
	}
	ctx, drain := context.WithCancel(context.Background())
	serves := make(chan bool, 1)
	serves <- true
	ended := make(chan struct{}, 1)
	run := func(ctx context.Context) {
		r.Run(ctx, func() bool {
			s := <-serves
			serves <- s
			return s
		})
		ended <- struct{}{}
	}
	go run(ctx)
	until("passing")
	time.Sleep(3 * r.TTL) // passed over and over
	until("passing")
	a.DropRegistrations()
	until("passing") // it got it again
	a.SetFault(standin.ServerError)
	until("critical") // nothing passes the check: the TTL does it
	a.SetFault(standin.NoFault)
	until("passing")
	<-serves
	serves <- false
	until("critical") // it is there, and does not serve
	<-serves
	serves <- true
	until("passing")
	drain()
	testutil.Receive(t, "the end", ended)
	until("passing critical") // in maintenance
	r.Deregister()
	until("gone")
	// A crash: nobody says anything any more.
	crash, kill := context.WithCancel(context.Background())
	go run(crash)
	until("passing")
	a.SetFault(standin.NoResponse)
	kill()
	testutil.Receive(t, "the end", ended)
	until("critical")
}

func BenchmarkReadList(b *testing.B) {
	c := standin.New()
	for i := range 2000 {
		x := instance(fmt.Sprint("cache", i))
		x.Checks = []standin.Check{{CheckID: "tcp", Status: "passing", Output: strings.Repeat("o", 60)}}
		x.Meta = map[string]string{"type": "gyors", "group": "3"}
		c.Set(x)
	}
	a, err := c.Start("here", "")
	if err != nil {
		b.Fatal(err)
	}
	defer a.Close()
	s := SourceConfig{Agent: Agent{Address: a.Address()}, Service: "cache"}.Open()
	b.ReportAllocs()
	for b.Loop() {
		if l, err := s.Fetch(context.Background()); err != nil || len(l.Endpoints) != 2000 {
			b.Fatal(len(l.Endpoints), err)
		}
	}
	_, _, bytes := a.Stats()
	queries, _, _ := a.Stats()
	b.ReportMetric(float64(bytes)/float64(queries), "B/list")
}

// FuzzEntries guards against what an agent sends in place of a list.
func FuzzEntries(f *testing.F) {
	text, err := json.Marshal([]entry{{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add(`[{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"dc1"},"Service":{"ID":"a","Port":1000,"Weights":{"Passing":1}},"Checks":[{"CheckID":"tcp","Status":"critical"}]}]`)
	f.Add("[]")
	f.Add("null")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := (&source{}).read(strings.NewReader(text))
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

// TestHalfAListIsNone guards against a body that ends between two entries: what is there
// would read as a list that lost the rest.
func TestHalfAListIsNone(t *testing.T) {
	const one = `{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"a","Port":1000}}`
	for text, good := range map[string]bool{"[]": true, "[" + one + "]": true, "[": false, "[" + one: false, "[" + one + ",": false, "{}": false, "": false} {
		if list, err := (&source{}).read(strings.NewReader(text)); (err == nil) != good {
			t.Errorf("%q read as %+v, %v", text, list, err)
		}
	}
}
