package consul

import (
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"mulleinpier/internal/testutil"
)

const testToken = "secret"

// startAgent returns a new catalogue, an agent of it, and Consul's published Go client for this agent.
func startAgent(t *testing.T, token string) (*Catalogue, *Agent, *api.Client) {
	t.Helper()
	c := New()
	a, err := c.Start("here", token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return c, a, newClient(t, a, token)
}

func newClient(t *testing.T, a *Agent, token string) *api.Client {
	t.Helper()
	client, err := api.NewClient(&api.Config{Address: a.Address(), Token: token})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// registerWithTTL registers instance a1 of service cache with the TTL check "alive".
func registerWithTTL(t *testing.T, client *api.Client) {
	t.Helper()
	registration := &api.AgentServiceRegistration{
		ID:      "a1",
		Name:    "cache",
		Address: "10.0.0.1",
		Port:    11211,
		Tags:    []string{"x"},
		Meta:    map[string]string{"type": "gyors"},
		Weights: &api.AgentWeights{Passing: 7, Warning: 2},
		Check:   &api.AgentServiceCheck{CheckID: "alive", TTL: "400ms"},
	}
	if err := client.Agent().ServiceRegister(registration); err != nil {
		t.Fatal(err)
	}
}

type healthAnswer struct {
	list []*api.ServiceEntry
	meta *api.QueryMeta
}

func health(t *testing.T, client *api.Client, index uint64, wait time.Duration) healthAnswer {
	t.Helper()
	options := &api.QueryOptions{WaitIndex: index, WaitTime: wait}
	list, meta, err := client.Health().Service("cache", "", false, options)
	if err != nil {
		t.Fatal(err)
	}
	return healthAnswer{list, meta}
}

// checkIsListed checks that instance a1 is among the agent's services and in the catalogue.
func checkIsListed(t *testing.T, client *api.Client) {
	t.Helper()
	if services, err := client.Agent().Services(); err != nil || services["a1"] == nil {
		t.Errorf("the agent has %v, %v", services, err)
	}
	list, _, err := client.Catalog().Service("cache", "", nil)
	if err != nil || len(list) != 1 || list[0].ServicePort != 11211 {
		t.Errorf("catalogue: %v, %v", list, err)
	}
}

// TestPublishedClientReadsRegistration checks that the published Go client understands the answers of an agent
// (guarantee 1) about its own data, registrations, lists and tokens.
func TestPublishedClientReadsRegistration(t *testing.T) {
	_, a, client := startAgent(t, testToken)
	if name, err := client.Agent().NodeName(); err != nil || name != "here" {
		t.Errorf("the agent is %q, %v", name, err)
	}
	if leader, err := client.Status().Leader(); err != nil || leader == "" {
		t.Errorf("leader %q, %v", leader, err)
	}
	registerWithTTL(t, client)
	got := health(t, client, 0, 0)
	if len(got.list) != 1 || got.meta.LastIndex == 0 || !got.meta.KnownLeader {
		t.Fatalf("%+v, %+v", got.list, got.meta)
	}
	node, s := got.list[0].Node, got.list[0].Service
	if node.Node != "here" || s.ID != "a1" || s.Port != 11211 || s.Weights.Passing != 7 {
		t.Errorf("read %+v of %+v", s, node)
	}
	if s.Meta["type"] != "gyors" || s.Tags[0] != "x" {
		t.Errorf("read metadata %v and tags %v", s.Meta, s.Tags)
	}
	checkIsListed(t, client)
	unauthorized := newClient(t, a, "")
	if _, _, err := unauthorized.Health().Service("cache", "", false, nil); err == nil {
		t.Error("a call without the token was answered")
	}
}

// TestPublishedClientFollowsStatus checks that the published Go client understands the answers of an agent
// (guarantee 1) to blocking queries, TTL checks and maintenance.
func TestPublishedClientFollowsStatus(t *testing.T) {
	_, _, client := startAgent(t, testToken)
	agent := client.Agent()
	registerWithTTL(t, client)
	first := health(t, client, 0, 0)
	if got := first.list[0].Checks.AggregatedStatus(); got != api.HealthCritical {
		t.Errorf("before its check passed it is %s", got)
	}
	index := first.meta.LastIndex
	if later := health(t, client, index, 50*time.Millisecond); later.meta.LastIndex != index {
		t.Error("a blocking query without a change returned another index")
	}
	answers := make(chan healthAnswer, 1)
	const gone = "gone"
	awaitStatus := func(want string, change func() error) {
		t.Helper()
		go func(known uint64) { answers <- health(t, client, known, time.Minute) }(index)
		if err := change(); err != nil {
			t.Fatal(err)
		}
		got := testutil.Receive(t, want, answers)
		index = got.meta.LastIndex
		status := gone
		if len(got.list) > 0 {
			status = got.list[0].Checks.AggregatedStatus()
		}
		if status != want {
			t.Errorf("it is %s, want %s", status, want)
		}
	}
	awaitStatus(api.HealthPassing, func() error { return agent.PassTTL("alive", "") })
	awaitStatus(api.HealthWarning, func() error { return agent.UpdateTTL("alive", "", api.HealthWarning) })
	awaitStatus(api.HealthPassing, func() error { return agent.PassTTL("alive", "") })
	awaitStatus(api.HealthMaint, func() error { return agent.EnableServiceMaintenance("a1", "disk") })
	awaitStatus(api.HealthPassing, func() error { return agent.DisableServiceMaintenance("a1") })
	awaitStatus(api.HealthCritical, func() error { return nil }) // the TTL of the check expires
	checkIsListed(t, client)
	if list, _, err := client.Health().Service("cache", "", true, nil); err != nil || len(list) != 0 {
		t.Errorf("%d pass, %v", len(list), err)
	}
	awaitStatus(gone, func() error { return agent.ServiceDeregister("a1") })
	if err := agent.PassTTL("alive", ""); err == nil {
		t.Error("a check that does not exist was passed")
	}
}

// TestUnavailabilityIsRecordedWhenReported checks that an agent records when it first reported an instance as no longer
// available (guarantee 2). Fault tests use this time to measure drains.
func TestUnavailabilityIsRecordedWhenReported(t *testing.T) {
	c, a, client := startAgent(t, "")
	query := func() {
		t.Helper()
		if _, _, err := client.Health().Service("cache", "", false, nil); err != nil {
			t.Fatal(err)
		}
	}
	c.Set(Instance{Node: "n", ID: "a", Service: "cache", Address: "10.0.0.1", Port: 1})
	query()
	c.SetMaintenance("n", "a", true, "")
	if _, ok := a.UnavailableReportedAt("n", "a"); ok {
		t.Error("recorded before it was queried")
	}
	query()
	first, ok := a.UnavailableReportedAt("n", "a")
	query()
	if again, _ := a.UnavailableReportedAt("n", "a"); !ok || !again.Equal(first) {
		t.Error("not recorded, or recorded again")
	}
	c.SetMaintenance("n", "a", false, "")
	query()
	if _, ok := a.UnavailableReportedAt("n", "a"); ok {
		t.Error("still recorded when it is available")
	}
	c.Remove("n", "a")
	query()
	if _, ok := a.UnavailableReportedAt("n", "a"); !ok {
		t.Error("its removal was not recorded")
	}
}
