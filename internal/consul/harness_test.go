package consul

import (
	"context"
	"os"
	"strings"
	"testing"

	"mulleinpier/internal/discovery"
	fakeconsul "mulleinpier/internal/fake/consul"
)

// startAgent starts an agent of a new catalogue. The agent requires token as ACL token, "" for none.
func startAgent(t *testing.T, token string) (*fakeconsul.Catalogue, *fakeconsul.Agent) {
	t.Helper()
	catalogue := fakeconsul.New()
	agent, err := catalogue.Start("here", token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return catalogue, agent
}

// instance returns an instance of the service that the tests watch.
func instance(id string) fakeconsul.Instance {
	return fakeconsul.Instance{Node: "n1", ID: id, Service: "cache", Address: "10.0.0.1", Port: 1000 + len(id)}
}

// watch watches a source. It returns the lists that the watch delivers and the error that it ends with.
func watch(t *testing.T, c SourceConfig) (<-chan discovery.List, <-chan error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	lists, ended := make(chan discovery.List, 1000), make(chan error, 1)
	go func() { ended <- c.Open().Watch(ctx, 0, func(l discovery.List) { lists <- l }) }()
	t.Cleanup(stop)
	return lists, ended
}

// statusesOf returns the names and statuses of a list as NAME=STATUS, separated by spaces.
func statusesOf(l discovery.List) string {
	var text []string
	for _, e := range l.Endpoints {
		text = append(text, e.Name+"="+e.Status)
	}
	return strings.Join(text, " ")
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
