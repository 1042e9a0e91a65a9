package consul

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/discovery"
)

const (
	// MinQueryInterval is the shortest time between two queries. Each query returns the complete list, so the
	// interval bounds the cost however often the catalogue changes.
	MinQueryInterval = 50 * time.Millisecond
	// idlePerReadTime is the wait before the next query, as a multiple of the time that reading the last list took. So
	// reading takes at most a tenth of all time, unless maxQueryInterval cuts the wait short.
	idlePerReadTime = 9
	// maxQueryInterval bounds the wait before the next query, since a drain must be noticed within half a second
	// after it was entered in the catalogue.
	maxQueryInterval = 400 * time.Millisecond
	// pollInterval is the wait between queries of an agent that returns no index, or index 0.
	pollInterval = 400 * time.Millisecond
	// maxStaleness bounds the time since the server last heard of the leader.
	maxStaleness = 10 * time.Second
	// waitSlack is added to the timeout of a blocking query, besides the 1/16 of the wait that the agent may add. What
	// a silent query misses must be known 2 s after the wait, which leaves 1 s for the delay before the next query and
	// for that query.
	waitSlack = time.Second
	// fetchTimeout bounds a query that does not block.
	fetchTimeout = 3 * time.Second
)

// SourceConfig configures a source of the endpoint list: a service in one datacenter, as reported by one agent. It is
// comparable.
type SourceConfig struct {
	Agent
	Service    string
	Datacenter string        // "" for the agent's own
	Tag        string        // instances must have it; "" for any
	DrainTag   string        // instances with this tag are draining; "" for none
	DrainCheck string        // ID of a check; instances are draining while it does not pass; "" for none
	AllowStale bool          // any Consul server may respond, not only the leader, if it is within maxStaleness
	WaitTime   time.Duration // the longest wait of a blocking query
}

// String returns the name of the source.
func (c SourceConfig) String() string {
	text := "consul " + c.Address + " " + c.Service
	if c.Datacenter != "" {
		text += "@" + c.Datacenter
	}
	return text
}

// Open implements discovery.Opener.
func (c SourceConfig) Open() discovery.Source {
	return &source{SourceConfig: c, client: newClient(c.Agent)}
}

// source implements discovery.Source.
type source struct {
	SourceConfig
	client *client
}

type queryResult struct {
	list     discovery.List
	index    uint64
	readTime time.Duration // time taken to read the list
}

// fetchQuery returns the query for the current list, which the leader answers after confirming that it still leads.
func fetchQuery() (url.Values, time.Duration) { return url.Values{"consistent": {""}}, fetchTimeout }

// watchQuery returns the query that blocks until the list has changed since index. For index 0 it returns a query for
// the current list.
func (s *source) watchQuery(index uint64) (query url.Values, timeout time.Duration) {
	query = url.Values{}
	if s.AllowStale {
		query.Set("stale", "")
	}
	if index == 0 {
		return query, fetchTimeout
	}
	// The wait is random so that proxies that started together do not all query at the same time.
	wait := s.WaitTime/2 + rand.N(s.WaitTime/2+1)
	query.Set("index", strconv.FormatUint(index, 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	return query, wait + wait/16 + waitSlack
}

// query sends a query and returns the list if the response is current, unfiltered and complete (invariant 1).
func (s *source) query(ctx context.Context, query url.Values, timeout time.Duration) (queryResult, error) {
	if s.Datacenter != "" {
		query.Set("dc", s.Datacenter)
	}
	if s.Tag != "" {
		query.Set("tag", s.Tag)
	}
	path := "/v1/health/service/" + url.PathEscape(s.Service)
	response, err := s.client.do(ctx, call{method: http.MethodGet, path: path, query: query, timeout: timeout})
	if err != nil {
		return queryResult{}, err
	}
	defer response.Body.Close()
	if err := checkConsistency(response.Header); err != nil {
		return queryResult{}, err
	}
	result := queryResult{list: discovery.List{Snapshot: true}}
	result.index, _ = strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64) // 0 if missing or not a number
	result.list.Index = result.index
	start := time.Now()
	if result.list.Endpoints, err = s.readInstances(response.Body); err != nil {
		return queryResult{}, fmt.Errorf("consul: %s: %w", s.Service, err)
	}
	result.readTime = time.Since(start)
	if response.Header.Get("X-Consul-Results-Filtered-By-ACLs") == "true" {
		return queryResult{}, errors.New("consul: list is incomplete: the ACL token lacks permissions")
	}
	return result, nil
}

// checkConsistency returns an error if the responding server knew no leader or its response is too stale.
func checkConsistency(h http.Header) error {
	if h.Get("X-Consul-KnownLeader") == "false" {
		return errors.New("consul: no leader is known")
	}
	millis, err := strconv.ParseInt(h.Get("X-Consul-LastContact"), 10, 64)
	if err == nil && time.Duration(millis)*time.Millisecond > maxStaleness {
		return fmt.Errorf("consul: the response is stale by %d ms", millis)
	}
	return nil
}

// Fetch implements discovery.Source. It bypasses any cache of the agent.
func (s *source) Fetch(ctx context.Context) (discovery.List, error) {
	query, timeout := fetchQuery()
	result, err := s.query(ctx, query, timeout)
	return result.list, err
}

// Watch implements discovery.Source. An index is valid for one agent only, so Watch ignores from and begins with the
// complete list. If the agent responds with a Retry-After, Watch waits between half and 1.5 times as long before it
// returns the error.
func (s *source) Watch(ctx context.Context, _ uint64, deliver func(discovery.List)) error {
	index, delivered := uint64(0), false
	for {
		query, timeout := s.watchQuery(index)
		result, err := s.query(ctx, query, timeout)
		if err != nil {
			var status *StatusError
			if errors.As(err, &status) && status.RetryAfter > 0 {
				delay.Wait(ctx, status.RetryAfter/2+rand.N(status.RetryAfter))
			}
			return err
		}
		start := time.Now()
		// An index that goes backwards is from another server or a restarted agent. The list is complete nevertheless,
		// and the next query continues from the new index.
		changed := !delivered || result.index != index || result.index == 0
		index = result.index
		if changed {
			deliver(result.list)
			delivered = true
		}
		delay.Wait(ctx, queryInterval(index, result.readTime+time.Since(start)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// queryInterval returns the wait after a query whose list took readTime to read and deliver.
func queryInterval(index uint64, readTime time.Duration) time.Duration {
	if index == 0 {
		return pollInterval
	}
	return min(max(MinQueryInterval, idlePerReadTime*readTime), maxQueryInterval)
}
