// Package consul watches the instances of a service in Consul's catalogue, and registers a proxy there, through the
// published HTTP API (health, agent service and agent check endpoints, blocking queries, consistency modes, ACL
// tokens). The catalogue says only whether a process runs; it carries no load reports.
//
// Invariants:
//
//  1. A response is accepted as a list only if a leader was known, it was not too stale, no ACL has filtered it and it
//     is complete. Everything else is a failure of the source.
//  2. Memory is bounded by [MaxInstances] and one entry at a time; a body that has more, or arrives too slowly, ends
//     in an error.
//  3. Two queries are at least [MinQueryInterval] apart, whatever the index does.
//
// The package does not decide whether a list takes effect; package membership does. Sources and registrars run in
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

	"mulleinpier/internal/readlimit"
)

// Agent says how to reach a Consul agent and how to authenticate. It is comparable.
type Agent struct {
	Address   string // HOST:PORT
	TLS       bool
	CAFile    string // PEM certificates to trust in place of the system's; "" to trust the system's
	TokenFile string // file with the ACL token, read for each call since the token may rotate; "" for none
}

const (
	maxTokenBytes = 4 << 10
	// maxReasonBytes bounds how much of the body of an error response is reported.
	maxReasonBytes = 512
	maxHeaderBytes = 16 << 10
	dialTimeout    = 3 * time.Second
	// maxRetryAfter is the longest Retry-After that is obeyed.
	maxRetryAfter = 30 * time.Second
)

// bodyTimeout bounds the time from the start of a response to its end. Tests shorten it.
var bodyTimeout = 10 * time.Second

// StatusError is a response with a status other than 200.
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
	err   error // error of reading the agent's certificates; returned by every call
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
		err = fmt.Errorf("consul: %s contains no certificate", path)
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
	text, err := readlimit.All(f, maxTokenBytes)
	if err != nil {
		return "", fmt.Errorf("%s: %w", c.agent.TokenFile, err)
	}
	return strings.TrimSpace(string(text)), nil
}

type call struct {
	method, path string
	query        url.Values
	body         io.Reader     // nil for none
	timeout      time.Duration // bounds the wait for the start of the response
}

// do makes a call and returns its response if the status is 200. The caller closes the body. Reading it fails after
// bodyTimeout or when ctx ends.
func (c *client) do(ctx context.Context, call call) (*http.Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	token, err := c.token()
	if err != nil {
		return nil, fmt.Errorf("consul: token: %w", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(call.timeout, func() { cancel(errors.New("no response within the timeout")) })
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

// callBody is a response body whose Close also releases the timer and context of its call.
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

// retryAfter returns the Retry-After of a response, at most maxRetryAfter, 0 for none. Dates are ignored; only a number
// of seconds is accepted.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
