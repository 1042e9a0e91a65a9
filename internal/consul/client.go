// Package consul follows the instances of a service in Consul's catalogue, and registers
// a proxy there, by the published HTTP API (health, agent service and agent check
// endpoints, blocking queries, consistency modes, ACL tokens). What it tells is whether
// a process runs; nothing of it is load.
//
// Invariants:
//
//  1. An answer is a list only if a leader was known, it was not too stale, no ACL has
//     filtered it and it came whole. All else is the source's failure, never news.
//  2. Memory is bounded by [MaxInstances] and one entry at a time; a body that goes on
//     beyond them, or comes too slowly, ends in an error.
//  3. Two queries are at least [LeastPause] apart, whatever the index does.
package consul

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

// Agent is where an agent of Consul's is, and how to speak with it. It is comparable.
type Agent struct {
	Address   string // HOST:PORT
	TLS       bool
	CAFile    string // certificates to trust in place of the system's; "" for those
	TokenFile string // holds the ACL token, read anew for each call as it may rotate; "" for none
}

// The bounds of a call.
const (
	maxToken  = 4 << 10
	maxReason = 512 // bytes of an error's body that are told
	dialTime  = 3 * time.Second
	// A Retry-After is heeded up to this.
	mostRetry = 30 * time.Second
)

// An answer that has begun is all there within so long. Tests shorten it.
var bodyTime = 10 * time.Second

// StatusError is an answer of a status that is no success.
type StatusError struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // when to come again, 0 if it does not say
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("consul: status %d: %s", e.Status, strings.TrimSpace(e.Reason))
}

// client speaks with one agent. It is safe for concurrent use.
type client struct {
	agent Agent
	base  string
	http  http.Client
	err   error // what is wrong with the agent's certificates
}

func newClient(a Agent) *client {
	c := &client{agent: a, base: "http://" + a.Address}
	transport := &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: 16 << 10, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: dialTime, KeepAlive: -1}).DialContext, TLSHandshakeTimeout: dialTime}
	if a.TLS {
		c.base = "https://" + a.Address
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
		if a.CAFile != "" {
			pem, err := os.ReadFile(a.CAFile)
			roots := x509.NewCertPool()
			if err == nil && !roots.AppendCertsFromPEM(pem) {
				err = fmt.Errorf("consul: %s holds no certificate", a.CAFile)
			}
			c.err, transport.TLSClientConfig.RootCAs = err, roots
		}
	}
	c.http.Transport = transport
	return c
}

// token returns the ACL token of this moment.
func (c *client) token() (string, error) {
	if c.agent.TokenFile == "" {
		return "", nil
	}
	f, err := os.Open(c.agent.TokenFile)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxToken))
	return strings.TrimSpace(string(text)), err
}

// call makes a call whose answer begins within wait. The caller closes the body, which
// ends by itself when it has taken bodyTime, or ctx ends.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body io.Reader, wait time.Duration) (*http.Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	token, err := c.token()
	if err != nil {
		return nil, fmt.Errorf("consul: token: %w", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	late := time.AfterFunc(wait, func() { cancel(errors.New("no answer in time")) })
	request, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if token != "" {
		request.Header.Set("X-Consul-Token", token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		late.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		if cause != nil {
			err = cause
		}
		return nil, fmt.Errorf("consul: %s %s: %w", method, path, err)
	}
	late.Reset(bodyTime)
	response.Body = &bounded{response.Body, func() {
		late.Stop()
		cancel(nil)
	}}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReason))
		return nil, &StatusError{Status: response.StatusCode, Reason: string(reason), RetryAfter: retryAfter(response.Header)}
	}
	return response, nil
}

// bounded is a body whose end frees what its call holds.
type bounded struct {
	io.ReadCloser
	end func()
}

func (b *bounded) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// retryAfter reads the header of that name, in seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, mostRetry)
}
