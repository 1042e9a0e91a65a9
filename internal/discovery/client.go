package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"mulleinpier/internal/readlimit"
)

const (
	// dialTimeout is well below the 4 s after which a proxy is expected to know a new address of the service.
	dialTimeout = 1500 * time.Millisecond
	// responseTimeout bounds the wait for the start of a response; the service may queue calls.
	responseTimeout = 6 * time.Second
	// silenceTimeout is the silence after which a watch ends. The service sends a line every 2 s on an idle watch. A
	// proxy is expected to know a change that a silent watch did not deliver 6 s after the change. This leaves time for
	// the wait before the next call, which spreads the calls of all proxies, and for the call itself.
	silenceTimeout   = 3 * time.Second
	maxHeaderBytes   = 16 << 10
	watchBufferBytes = 16 << 10
)

// Client is the Source for a discovery service that speaks the platform's protocol.
type Client struct {
	base string
	http http.Client
}

// NewClient returns a client of the service at address, HOST:PORT.
func NewClient(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		base: "http://" + address + "/api/targets",
		http: http.Client{Transport: &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext:            dialer.DialContext,
		}},
	}
}

// Fetch implements Source.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	body, err := c.get(ctx, "")
	if err != nil {
		return List{}, err
	}
	defer body.Close()
	text, err := readlimit.All(body, maxListBytes)
	if err != nil {
		return List{}, fmt.Errorf("discovery: endpoint list: %w", err)
	}
	l, err := Parse(text)
	l.Snapshot = true
	return l, err
}

// Watch implements Source. Any received byte, also of the response's header, counts as a sign that the watch is alive.
func (c *Client) Watch(ctx context.Context, from uint64, deliver func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(responseTimeout, func() { cancel(errors.New("no data received within the timeout")) })
	defer silence.Stop()
	alive := func() { silence.Reset(silenceTimeout) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: alive})
	body, err := c.get(ctx, "?watch=1&from="+strconv.FormatUint(from, 10))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer body.Close()
	alive()
	in := bufio.NewReaderSize(notifyingReader{body, alive}, watchBufferBytes)
	text := make([]byte, 0, watchBufferBytes)
	arrival := arrivalOf(ctx)
	defer arrival.end()
	for {
		if text, err = appendObject(in, text[:0], arrival.begin); err != nil {
			return fmt.Errorf("discovery: watch ended: %w", errors.Join(err, context.Cause(ctx)))
		}
		l, err := Parse(text)
		if err != nil {
			return err
		}
		deliver(l)
		arrival.end()
	}
}

// notifyingReader calls notify after each read that returns data.
type notifyingReader struct {
	io.Reader
	notify func()
}

// Read implements io.Reader.
func (r notifyingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.notify()
	}
	return n, err
}

// get sends a request and returns the body of the response, which the caller closes. A status other than 200 is an
// error.
func (c *Client) get(ctx context.Context, query string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("discovery: status %s", response.Status)
	}
	return response.Body, nil
}
