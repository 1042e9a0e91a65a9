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
)

// Registration is how a proxy stands in the catalogue.
type Registration struct {
	Agent
	Service string
	ID      string // of this proxy, no other's at the same agent
	Host    string
	Port    int
	TTL     time.Duration // of its check
	Tags    []string
	Meta    map[string]string
}

const (
	callTime = 2 * time.Second
	// A call that failed is made again after so long, up to the TTL's third.
	againFirst = 200 * time.Millisecond
	// An instance whose check has failed for so long is taken out by the agent.
	reapTime = "10m"
)

// Registrar keeps a proxy registered.
type Registrar struct {
	Registration
	client *client
	log    *slog.Logger
}

// NewRegistrar returns a Registrar that has done nothing yet.
func NewRegistrar(r Registration, log *slog.Logger) *Registrar {
	return &Registrar{Registration: r, client: newClient(r.Agent), log: log}
}

// checkID is that of the TTL check.
func (r *Registrar) checkID() string { return "service:" + r.ID }

func (r *Registrar) put(ctx context.Context, path string, query url.Values, body any) error {
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return err
		}
	}
	response, err := r.client.call(ctx, http.MethodPut, path, query, &text, callTime)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// register enters the proxy, with a check that fails unless it is passed within the TTL.
// An entry of the same ID is replaced, and its maintenance ended.
func (r *Registrar) register(ctx context.Context) error {
	err := r.put(ctx, "/v1/agent/service/register", url.Values{"replace-existing-checks": {"true"}}, map[string]any{
		"ID": r.ID, "Name": r.Service, "Address": r.Host, "Port": r.Port, "Tags": r.Tags, "Meta": r.Meta,
		"Check": map[string]any{"CheckID": r.checkID(), "Name": "serves", "TTL": r.TTL.String(), "DeregisterCriticalServiceAfter": reapTime},
	})
	if err != nil {
		return err
	}
	return r.maintain(ctx, false, "")
}

func (r *Registrar) maintain(ctx context.Context, on bool, reason string) error {
	q := url.Values{"enable": {"false"}}
	if on {
		q = url.Values{"enable": {"true"}, "reason": {reason}}
	}
	return r.put(ctx, "/v1/agent/service/maintenance/"+url.PathEscape(r.ID), q, nil)
}

// Run registers the proxy, and passes its check as long as serves tells true, until ctx
// ends: then it turns to maintenance. An agent that has forgotten the proxy, as one that was
// started anew, gets it again.
func (r *Registrar) Run(ctx context.Context, serves func() bool) {
	known, wrong := false, ""
	failed := againFirst
	for {
		err := error(nil)
		if !known {
			err = r.register(ctx)
		}
		if err == nil && serves() {
			err = r.put(ctx, "/v1/agent/check/pass/"+url.PathEscape(r.checkID()), nil, nil)
		}
		rest := r.TTL / 3
		if err == nil {
			if !known || wrong != "" {
				r.log.Info("registered", "service", r.Service, "id", r.ID, "agent", r.Address)
			}
			known, wrong, failed = true, "", againFirst
		} else if ctx.Err() == nil {
			if text := err.Error(); text != wrong { // once, not at each try
				r.log.Warn("registration failed", "service", r.Service, "id", r.ID, "error", err)
				wrong = text
			}
			known = false // the agent may know the proxy no more: entering it again does no harm
			rest, failed = min(failed, rest), 2*failed
			if status := (*StatusError)(nil); errors.As(err, &status) {
				rest = max(rest, status.RetryAfter)
			}
		}
		if pause(ctx, rest); ctx.Err() != nil {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
	defer cancel()
	if err := r.maintain(ctx, true, "draining"); err != nil {
		r.log.Warn("maintenance not told", "id", r.ID, "error", err)
	}
}

// Deregister takes the proxy out of the catalogue.
func (r *Registrar) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	if err := r.put(ctx, "/v1/agent/service/deregister/"+url.PathEscape(r.ID), nil, nil); err != nil {
		r.log.Warn("not deregistered", "id", r.ID, "error", err)
	}
}
