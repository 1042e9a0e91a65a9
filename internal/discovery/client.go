package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// dialTimeout is well under the 4 s after which a new address of the service counts as known.
	dialTimeout = 1500 * time.Millisecond
	// responseTimeout bounds the wait for the beginning of a response; the service may queue calls.
	responseTimeout = 6 * time.Second
	// silenceTimeout ends a silent watch. An idle watch sends a line every 2 s. A change that a silent watch did not
	// deliver counts as known 6 s after it: that leaves time for the wait before a new call, which spreads the calls
	// of all proxies, and for that call.
	silenceTimeout = 3 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// watchBufferBytes is the size of the buffers of a watch.
	watchBufferBytes = 16 << 10
)

// Client is a client of a discovery service that speaks the platform's protocol.
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
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	l.Snapshot = true
	return l, err
}

// Watch implements Source. Any byte is a sign of life.
func (c *Client) Watch(ctx context.Context, from uint64, deliver func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(responseTimeout, func() { cancel(errors.New("silent for too long")) })
	defer silence.Stop()
	body, err := c.get(ctx, "?watch=1&from="+strconv.FormatUint(from, 10))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer body.Close()
	alive := func() { silence.Reset(silenceTimeout) }
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

// notifyingReader calls a function after each read that brings something.
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

// get returns the body of a successful response.
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
