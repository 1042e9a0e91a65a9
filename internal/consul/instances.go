package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/readlimit"
)

const (
	// MaxInstances is the largest number of instances in a list; a longer list is an error.
	MaxInstances     = 8192
	maxListBytes     = 64 << 20
	maxPort          = 1<<16 - 1
	maxStartedMillis = 1e15 // started_ms must be less
)

// entry is an instance with its checks in a response of /v1/health/service/NAME. It has only the fields that are used.
type entry struct {
	Node    entryNode    `json:"Node"`
	Service entryService `json:"Service"`
	Checks  []entryCheck `json:"Checks"`
}

type entryNode struct {
	Node       string `json:"Node"`
	Address    string `json:"Address"`
	Datacenter string `json:"Datacenter"`
}

type entryService struct {
	ID          string            `json:"ID"`
	Address     string            `json:"Address"`
	Port        int               `json:"Port"`
	Tags        []string          `json:"Tags"`
	Meta        map[string]string `json:"Meta"`
	Weights     entryWeights      `json:"Weights"`
	CreateIndex uint64            `json:"CreateIndex"`
}

type entryWeights struct {
	Passing float64 `json:"Passing"`
	Warning float64 `json:"Warning"`
}

type entryCheck struct {
	CheckID string `json:"CheckID"`
	Status  string `json:"Status"`
	Notes   string `json:"Notes"`
	Output  string `json:"Output"`
}

// readInstances decodes a list one entry at a time, which bounds the memory in use.
func (s *source) readInstances(body io.Reader) ([]discovery.Endpoint, error) {
	in := json.NewDecoder(readlimit.NewReader(body, maxListBytes))
	if t, err := in.Token(); err != nil || t != json.Delim('[') {
		return nil, fmt.Errorf("not a JSON list: %v, %w", t, errors.Join(err, io.ErrUnexpectedEOF))
	}
	list := []discovery.Endpoint{}
	names := make(map[string]bool)
	for in.More() {
		if len(list) >= MaxInstances {
			return nil, fmt.Errorf("more than %d instances", MaxInstances)
		}
		var e entry
		if err := in.Decode(&e); err != nil {
			return nil, err
		}
		endpoint, err := s.endpoint(&e)
		if err != nil {
			return nil, err
		}
		if names[endpoint.Name] {
			return nil, fmt.Errorf("two instances are named %s", endpoint.Name)
		}
		names[endpoint.Name] = true
		list = append(list, endpoint)
	}
	if _, err := in.Token(); err != nil { // the closing bracket, which a truncated body lacks
		return nil, err
	}
	return list, nil
}

// endpoint converts an instance to an entry of the endpoint list. Its name consists of the name of Consul's node and
// the service ID, which together are its identity. Service meta can replace the name and set zone, type, group,
// started_ms and instance.
func (s *source) endpoint(e *entry) (discovery.Endpoint, error) {
	service, meta := &e.Service, e.Service.Meta
	host := service.Address
	if host == "" {
		host = e.Node.Address
	}
	endpoint := discovery.Endpoint{
		Name:     e.Node.Node + "/" + service.ID,
		Address:  net.JoinHostPort(host, strconv.Itoa(service.Port)),
		Zone:     e.Node.Datacenter,
		Type:     meta["type"],
		Status:   "up",
		Weight:   service.Weights.Passing,
		Instance: strconv.FormatUint(service.CreateIndex, 10),
	}
	if service.ID == "" || host == "" || service.Port < 1 || service.Port > maxPort {
		return endpoint, fmt.Errorf("instance %q: invalid ID, address %q or port %d", endpoint.Name, host, service.Port)
	}
	overrideText(&endpoint.Name, meta["name"])
	overrideText(&endpoint.Zone, meta["zone"])
	overrideText(&endpoint.Instance, meta["instance"])
	if err := parseNumbers(&endpoint, meta); err != nil {
		return endpoint, err
	}
	s.setStatus(&endpoint, e)
	return endpoint, nil
}

// overrideText sets *to to text unless text is empty.
func overrideText(to *string, text string) {
	if text != "" {
		*to = text
	}
}

// parseNumbers sets the numeric fields of an endpoint from the service meta.
func parseNumbers(endpoint *discovery.Endpoint, meta map[string]string) (err error) {
	if text := meta["group"]; text != "" {
		if endpoint.Group, err = strconv.Atoi(text); err != nil {
			return fmt.Errorf("instance %q: meta group: %w", endpoint.Name, err)
		}
	}
	if text := meta["started_ms"]; text != "" {
		endpoint.StartedMillis, err = strconv.ParseFloat(text, 64)
		inRange := endpoint.StartedMillis >= 0 && endpoint.StartedMillis < maxStartedMillis // NaN is not
		if err != nil || !inRange {
			return fmt.Errorf("instance %q: invalid meta started_ms %q", endpoint.Name, text)
		}
	}
	return nil
}

// severity is the status that a tag or a check gives an instance; the highest severity counts.
type severity uint8

const (
	severityUp severity = iota
	severityDraining
	severityRemoved
)

// String returns the status as it stands in the endpoint list.
func (s severity) String() string { return [...]string{"up", "draining", "removed"}[s] }

// setStatus sets status, reason and weight by tags and checks. Maintenance means draining although its check is
// critical, since the process still runs.
func (s *source) setStatus(endpoint *discovery.Endpoint, e *entry) {
	worst, reason := severityUp, ""
	raise := func(to severity, why string) {
		if to > worst {
			worst, reason = to, why
		}
	}
	for _, tag := range e.Service.Tags {
		if s.DrainTag != "" && tag == s.DrainTag {
			raise(severityDraining, "tag "+tag)
		}
	}
	for _, c := range e.Checks {
		switch {
		case c.Status == "passing":
		case c.CheckID == "_node_maintenance", strings.HasPrefix(c.CheckID, "_service_maintenance"):
			raise(severityDraining, "in maintenance: "+c.Notes)
		case s.DrainCheck != "" && c.CheckID == s.DrainCheck:
			raise(severityDraining, "check "+c.CheckID+" is "+c.Status)
		case c.Status == "critical":
			raise(severityRemoved, "check "+c.CheckID+" is critical")
		case c.Status == "warning":
			endpoint.Weight = e.Service.Weights.Warning
		}
	}
	endpoint.Status, endpoint.Reason = worst.String(), reason
}
