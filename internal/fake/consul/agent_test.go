package consul

import (
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"mulleinpier/internal/testutil"
)

// TestPublishedClientAgrees has the published Go client go through what proxies and
// nodes do, against the stand-in: what it understands is what Consul says.
func TestPublishedClientAgrees(t *testing.T) {
	c := New()
	a, err := c.Start("here", "secret")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	client, err := api.NewClient(&api.Config{Address: a.Address(), Token: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	if name, err := client.Agent().NodeName(); err != nil || name != "here" {
		t.Errorf("the agent is %q, %v", name, err)
	}
	if leader, err := client.Status().Leader(); err != nil || leader == "" {
		t.Errorf("leader %q, %v", leader, err)
	}
	if err := client.Agent().ServiceRegister(&api.AgentServiceRegistration{ID: "a1", Name: "cache", Address: "10.0.0.1", Port: 11211, Tags: []string{"x"},
		Meta: map[string]string{"type": "gyors"}, Weights: &api.AgentWeights{Passing: 7, Warning: 2},
		Check: &api.AgentServiceCheck{CheckID: "alive", TTL: "400ms"}}); err != nil {
		t.Fatal(err)
	}
	health := func(index uint64, wait time.Duration) ([]*api.ServiceEntry, *api.QueryMeta) {
		t.Helper()
		list, meta, err := client.Health().Service("cache", "", false, &api.QueryOptions{WaitIndex: index, WaitTime: wait})
		if err != nil {
			t.Fatal(err)
		}
		return list, meta
	}
	list, meta := health(0, 0)
	if len(list) != 1 || meta.LastIndex == 0 || !meta.KnownLeader {
		t.Fatalf("%+v, %+v", list, meta)
	}
	s := list[0].Service
	if list[0].Node.Node != "here" || s.ID != "a1" || s.Port != 11211 || s.Weights.Passing != 7 || s.Meta["type"] != "gyors" || s.Tags[0] != "x" {
		t.Errorf("read %+v of %+v", s, list[0].Node)
	}
	if got := list[0].Checks.AggregatedStatus(); got != api.HealthCritical {
		t.Errorf("before its check was passed it is %s", got)
	}
	if _, later := health(meta.LastIndex, 50*time.Millisecond); later.LastIndex != meta.LastIndex {
		t.Error("a wait without a change brought another index")
	}
	type seen struct {
		list []*api.ServiceEntry
		meta *api.QueryMeta
	}
	answers := make(chan seen, 1)
	await := func(change func() error, want string) {
		t.Helper()
		go func() {
			list, meta := health(meta.LastIndex, time.Minute)
			answers <- seen{list, meta}
		}()
		if err := change(); err != nil {
			t.Fatal(err)
		}
		got := testutil.Receive(t, want, answers)
		status := "gone"
		if len(got.list) > 0 {
			status = got.list[0].Checks.AggregatedStatus()
		}
		if meta = got.meta; status != want {
			t.Errorf("it is %s, want %s", status, want)
		}
	}
	await(func() error { return client.Agent().PassTTL("alive", "") }, api.HealthPassing)
	await(func() error { return client.Agent().UpdateTTL("alive", "", api.HealthWarning) }, api.HealthWarning)
	await(func() error { return client.Agent().PassTTL("alive", "") }, api.HealthPassing)
	await(func() error { return client.Agent().EnableServiceMaintenance("a1", "disk") }, api.HealthMaint)
	await(func() error { return client.Agent().DisableServiceMaintenance("a1") }, api.HealthPassing)
	await(func() error { return nil }, api.HealthCritical) // the TTL does it
	if services, err := client.Agent().Services(); err != nil || services["a1"] == nil {
		t.Errorf("the agent has %v, %v", services, err)
	}
	if list, _, err := client.Health().Service("cache", "", true, nil); err != nil || len(list) != 0 {
		t.Errorf("%d pass, %v", len(list), err)
	}
	if list, _, err := client.Catalog().Service("cache", "", nil); err != nil || len(list) != 1 || list[0].ServicePort != 11211 {
		t.Errorf("catalogue: %v, %v", list, err)
	}
	await(func() error { return client.Agent().ServiceDeregister("a1") }, "gone")
	if err := client.Agent().PassTTL("alive", ""); err == nil {
		t.Error("a check that is not there was passed")
	}
	stranger, err := api.NewClient(&api.Config{Address: a.Address()})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := stranger.Health().Service("cache", "", false, nil); err == nil {
		t.Error("a call without the token was answered")
	}
}

// TestWritingIsNoted guards what drains are measured by.
func TestWritingIsNoted(t *testing.T) {
	c := New()
	a, err := c.Start("here", "")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	client, err := api.NewClient(&api.Config{Address: a.Address()})
	if err != nil {
		t.Fatal(err)
	}
	ask := func() {
		t.Helper()
		if _, _, err := client.Health().Service("cache", "", false, nil); err != nil {
			t.Fatal(err)
		}
	}
	c.Set(Instance{Node: "n", ID: "a", Service: "cache", Address: "10.0.0.1", Port: 1})
	ask()
	c.SetMaintenance("n", "a", true, "")
	if _, ok := a.LeavingWrittenAt("n", "a"); ok {
		t.Error("noted before it was asked for")
	}
	ask()
	first, ok := a.LeavingWrittenAt("n", "a")
	ask()
	if again, _ := a.LeavingWrittenAt("n", "a"); !ok || again != first {
		t.Error("not noted, or noted anew")
	}
	c.SetMaintenance("n", "a", false, "")
	ask()
	if _, ok := a.LeavingWrittenAt("n", "a"); ok {
		t.Error("still noted when it is up")
	}
	c.Remove("n", "a")
	ask()
	if _, ok := a.LeavingWrittenAt("n", "a"); !ok {
		t.Error("its removal was not noted")
	}
}
