package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"mulleinpier/internal/delay"
)

// Registration is the entry of a proxy in the catalogue, and the agent that keeps it.
type Registration struct {
	Agent
	Service string
	ID      string // unique among the agent's services
	Host    string
	Port    int
	TTL     time.Duration // of the proxy's check: the agent marks the check critical unless it is passed within TTL
	Tags    []string
	Meta    map[string]string
}

const (
	// callTimeout bounds the wait for the response to each call of a registrar.
	callTimeout = 2 * time.Second
	// firstRetryInterval is the wait after the first failed call. It doubles up to the interval of the checks.
	firstRetryInterval = 200 * time.Millisecond
	// checksPerTTL is the number of times that the check is passed within its TTL.
	checksPerTTL = 3
	// deregisterAfter is the time after which the agent removes an instance whose check fails.
	deregisterAfter = "10m"
)

// Registrar registers a proxy and keeps it registered while Run runs.
type Registrar struct {
	Registration
	client *client
	log    *slog.Logger
}

// NewRegistrar returns a Registrar that logs to log. It does no I/O.
func NewRegistrar(r Registration, log *slog.Logger) *Registrar {
	return &Registrar{Registration: r, client: newClient(r.Agent), log: log}
}

// checkID returns the ID of the TTL check.
func (r *Registrar) checkID() string { return "service:" + r.ID }

// put calls an endpoint of the agent with body encoded as JSON, nil for none.
func (r *Registrar) put(ctx context.Context, path string, query url.Values, body any) error {
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return err
		}
	}
	response, err := r.client.do(ctx, call{
		method: http.MethodPut, path: path, query: query, body: &text, timeout: callTimeout,
	})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// register registers the proxy with a check that fails unless it is passed within the TTL. It replaces a registration
// with the same ID and ends its maintenance.
func (r *Registrar) register(ctx context.Context) error {
	query := url.Values{"replace-existing-checks": {"true"}}
	err := r.put(ctx, "/v1/agent/service/register", query, map[string]any{
		"ID":      r.ID,
		"Name":    r.Service,
		"Address": r.Host,
		"Port":    r.Port,
		"Tags":    r.Tags,
		"Meta":    r.Meta,
		"Check": map[string]any{
			"CheckID":                        r.checkID(),
			"Name":                           "serves",
			"TTL":                            r.TTL.String(),
			"DeregisterCriticalServiceAfter": deregisterAfter,
		},
	})
	if err != nil {
		return err
	}
	return r.setMaintenance(ctx, url.Values{"enable": {"false"}})
}

func (r *Registrar) setMaintenance(ctx context.Context, query url.Values) error {
	return r.put(ctx, "/v1/agent/service/maintenance/"+url.PathEscape(r.ID), query, nil)
}

// passCheck reports the TTL check as passing.
func (r *Registrar) passCheck(ctx context.Context) error {
	return r.put(ctx, "/v1/agent/check/pass/"+url.PathEscape(r.checkID()), nil, nil)
}

// Run registers the proxy and passes its check while canServe reports true, until ctx ends; then it starts
// maintenance. It registers the proxy again if the agent has lost the registration, for example by a restart.
func (r *Registrar) Run(ctx context.Context, canServe func() bool) {
	s := registrationState{retryInterval: firstRetryInterval}
	for ctx.Err() == nil {
		err := r.update(ctx, &s, canServe)
		interval := r.TTL / checksPerTTL
		if err == nil {
			r.noteSuccess(&s)
		} else if ctx.Err() == nil {
			interval = r.noteFailure(&s, err, interval)
		}
		delay.Wait(ctx, interval)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	query := url.Values{"enable": {"true"}, "reason": {"draining"}}
	if err := r.setMaintenance(ctx, query); err != nil {
		r.log.Warn("maintenance update failed", "id", r.ID, "error", err)
	}
}

// registrationState is the state of Run.
type registrationState struct {
	registered    bool
	loggedError   string // the last logged error, "" after a success
	retryInterval time.Duration
}

// update registers the proxy if it is not registered, and passes its check if it can serve.
func (r *Registrar) update(ctx context.Context, s *registrationState, canServe func() bool) error {
	if !s.registered {
		if err := r.register(ctx); err != nil {
			return err
		}
	}
	if !canServe() {
		return nil
	}
	return r.passCheck(ctx)
}

// noteSuccess logs the registration at the start and after a failure, and resets the state.
func (r *Registrar) noteSuccess(s *registrationState) {
	if !s.registered || s.loggedError != "" {
		r.log.Info("service registered", "service", r.Service, "id", r.ID, "agent", r.Address)
	}
	*s = registrationState{registered: true, retryInterval: firstRetryInterval}
}

// noteFailure logs a failure unless it is the same as the last logged one, and returns the wait before the next call.
// It marks the proxy as not registered: the agent may have lost the registration, and registering again does no harm.
func (r *Registrar) noteFailure(s *registrationState, err error, interval time.Duration) time.Duration {
	if text := err.Error(); text != s.loggedError {
		r.log.Warn("service registration failed", "service", r.Service, "id", r.ID, "error", err)
		s.loggedError = text
	}
	s.registered = false
	interval = min(s.retryInterval, interval)
	s.retryInterval *= 2
	if status := (*StatusError)(nil); errors.As(err, &status) {
		interval = max(interval, status.RetryAfter)
	}
	return interval
}

// Deregister removes the proxy from the catalogue, in callTimeout at most. It only logs a failure.
func (r *Registrar) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.put(ctx, "/v1/agent/service/deregister/"+url.PathEscape(r.ID), nil, nil); err != nil {
		r.log.Warn("service deregistration failed", "id", r.ID, "error", err)
	}
}
