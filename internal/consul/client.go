// Package consul follows the instances of a service in Consul's catalogue, and registers a proxy there, by the
// published HTTP API (health, agent service and agent check endpoints, blocking queries, consistency modes, ACL
// tokens). What it reports is whether a process runs; nothing of it is load.
//
// Invariants:
//
//  1. A response is a list only if a leader was known, it was not too stale, no ACL has filtered it and it is
//     complete. Everything else is a failure of the source, never a list.
//  2. Memory is bounded by [MaxInstances] and one entry at a time; a body that goes on beyond them, or comes too
//     slowly, ends in an error.
//  3. Two queries are at least [MinQueryInterval] apart, whatever the index does.
//
// The package does not decide whether a list is believed; package membership does. Sources and registrars run in
// the goroutine of their caller and start none of their own.
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

// Agent is the address of a Consul agent, and how to authenticate. It is comparable.
type Agent struct {
	Address   string // HOST:PORT
	TLS       bool
	CAFile    string // certificates to trust in place of the system's; "" for those
	TokenFile string // of the ACL token, read for each call, as it may rotate; "" for none
}

const (
	maxTokenBytes = 4 << 10
	// maxReasonBytes is how much of the body of an error is reported.
	maxReasonBytes = 512
	maxHeaderBytes = 16 << 10
	dialTimeout    = 3 * time.Second
	// maxRetryAfter bounds a Retry-After that is obeyed.
	maxRetryAfter = 30 * time.Second
)

// bodyTimeout bounds the time from the beginning of a response to its end. Tests shorten it.
var bodyTimeout = 10 * time.Second

// StatusError is a response with a status other than success.
type StatusError struct {
	Status     int
	Reason     string        // the first maxReasonBytes of the body
	RetryAfter time.Duration // 0 if the response has none
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("consul: status %d: %s", e.Status, strings.TrimSpace(e.Reason))
}

// client calls one agent. It is safe for concurrent use.
type client struct {
	agent Agent
	base  string
	http  http.Client
	err   error // of reading the agent's certificates; returned by every call
}

func newClient(agent Agent) *client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        time.Minute,
		DialContext:            dialer.DialContext,
		TLSHandshakeTimeout:    dialTimeout,
	}
	c := &client{agent: agent, base: "http://" + agent.Address}
	if agent.TLS {
		c.base = "https://" + agent.Address
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
		if agent.CAFile != "" {
			transport.TLSClientConfig.RootCAs, c.err = readCertificates(agent.CAFile)
		}
	}
	c.http.Transport = transport
	return c
}

func readCertificates(path string) (*x509.CertPool, error) {
	roots := x509.NewCertPool()
	pem, err := os.ReadFile(path)
	if err == nil && !roots.AppendCertsFromPEM(pem) {
		err = fmt.Errorf("consul: %s holds no certificate", path)
	}
	return roots, err
}

// token returns the current ACL token, "" for none.
func (c *client) token() (string, error) {
	if c.agent.TokenFile == "" {
		return "", nil
	}
	f, err := os.Open(c.agent.TokenFile)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxTokenBytes))
	return strings.TrimSpace(string(text)), err
}

// call is a call of the HTTP API.
type call struct {
	method, path string
	query        url.Values
	body         io.Reader     // nil for none
	timeout      time.Duration // for the response to begin
}

// do makes a call and returns its response if it is a success. The caller closes the body, which ends by itself
// when it takes longer than bodyTimeout, or ctx ends.
func (c *client) do(ctx context.Context, call call) (*http.Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	token, err := c.token()
	if err != nil {
		return nil, fmt.Errorf("consul: token: %w", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(call.timeout, func() { cancel(errors.New("no answer in time")) })
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path+"?"+call.query.Encode(), call.body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if token != "" {
		request.Header.Set("X-Consul-Token", token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		timer.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		if cause != nil {
			err = cause
		}
		return nil, fmt.Errorf("consul: %s %s: %w", call.method, call.path, err)
	}
	timer.Reset(bodyTimeout)
	response.Body = &callBody{response.Body, func() {
		timer.Stop()
		cancel(nil)
	}}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return response, nil
}

// callBody is a body whose Close releases what its call holds.
type callBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *callBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

func statusError(response *http.Response) *StatusError {
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	return &StatusError{
		Status:     response.StatusCode,
		Reason:     string(reason),
		RetryAfter: retryAfter(response.Header),
	}
}

// retryAfter returns the Retry-After of a response, 0 for none. Only seconds are understood.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
