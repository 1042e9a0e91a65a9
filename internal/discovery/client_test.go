package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const completeList = `{"index":7,"snapshot":true,"endpoints":[{"name":"n1","address":"127.0.0.1:1","status":"up"},` +
	`{"name":"n2","address":"127.0.0.1:2","status":"draining","since_ms":5}]}`

// startService starts a service that answers each call with the next of responses and closes the connection, and
// returns a client of it.
func startService(t *testing.T, responses <-chan string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", <-responses)
	}))
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"))
}

// invalidLists are responses that are not a list.
var invalidLists = []string{
	"null", "{}", "[]", `""`, `{"error":"later"}`, `{"index":8,"snapshot":true}`, `{"endpoints":null}`,
	"<html>", "\x00\xff",
}

// TestInvalidListsDeliverNothing checks that a response that is not a list, or is truncated at any length, is an
// error and delivers nothing. If it were accepted as an empty or short list, nodes would be removed.
func TestInvalidListsDeliverNothing(t *testing.T) {
	responses := make(chan string, 1)
	c := startService(t, responses)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	invalid := invalidLists
	for n := range len(completeList) {
		invalid = append(invalid, completeList[:n])
	}
	for _, text := range invalid {
		responses <- text
		if l, err := c.Fetch(ctx); err == nil {
			t.Errorf("%q is accepted as a list of %d nodes", text, len(l.Endpoints))
		}
		responses <- text
		delivered := 0
		if err := c.Watch(ctx, 0, func(List) { delivered++ }); err == nil || delivered > 0 {
			t.Errorf("%q in a watch: %d delivered, error %v", text, delivered, err)
		}
	}
	responses <- completeList
	if l, err := c.Fetch(ctx); err != nil || len(l.Endpoints) != 2 || l.Index != 7 {
		t.Errorf("the complete list: %+v, %v", l, err)
	}
	// A complete list before a truncated one is delivered.
	responses <- completeList + "\n" + completeList[:40]
	delivered := 0
	if err := c.Watch(ctx, 0, func(List) { delivered++ }); err == nil || delivered != 1 {
		t.Errorf("a complete list and a part of one: %d delivered, error %v", delivered, err)
	}
}

// TestIndentedLists checks that lists that span lines and have braces in their strings are each delivered once,
// complete.
func TestIndentedLists(t *testing.T) {
	const indented = "\n\n{\n  \"index\": 7,\n  \"snapshot\": true,\n\n  \"endpoints\": [\n" +
		"    {\"name\": \"}n\\\"{1\", \"address\": \"127.0.0.1:1\", \"status\": \"up\"}\n  ]\n}\n"
	responses := make(chan string, 1)
	c := startService(t, responses)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	responses <- indented + completeList + "\r\n" + indented
	var lists []List
	err := c.Watch(ctx, 0, func(l List) { lists = append(lists, l) })
	if err == nil || len(lists) != 3 || lists[0].Endpoints[0].Name != "}n\"{1" || len(lists[1].Endpoints) != 2 {
		t.Errorf("delivered %+v, error %v", lists, err)
	}
	responses <- indented
	if l, err := c.Fetch(ctx); err != nil || l.Index != 7 {
		t.Errorf("a complete list: %+v, %v", l, err)
	}
}

// TestObjectsAreBounded checks that an object without an end is an error once it is too long, and that white space
// is not stored. Otherwise either would take unbounded memory.
func TestObjectsAreBounded(t *testing.T) {
	whiteSpace := strings.Repeat("\n", 3*maxListBytes)
	endless := `{"a":"` + strings.Repeat("x", 2*maxListBytes)
	in := bufio.NewReader(io.MultiReader(strings.NewReader(whiteSpace), strings.NewReader(completeList+endless)))
	text, err := appendObject(in, nil, func() {})
	if err != nil || string(text) != completeList {
		t.Errorf("an object after white space: %d bytes, %v", len(text), err)
	}
	if text, err = appendObject(in, nil, func() {}); !errors.Is(err, errTooLong) || len(text) > maxListBytes {
		t.Errorf("an endless object: %d bytes, %v", len(text), err)
	}
}

// TestSilenceLeavesTimeForDrain checks that the timeout of a silent watch leaves enough time to obey a drain. The
// proxy counts as notified of a drain 6 s after the watch fell silent, and must obey it within another 500 ms. The
// wait before the next call is tested in the package that decides on it.
func TestSilenceLeavesTimeForDrain(t *testing.T) {
	const heartbeatInterval, countsAsNotified = 2 * time.Second, 6 * time.Second
	if silenceTimeout <= heartbeatInterval || silenceTimeout > countsAsNotified/2 {
		t.Errorf("a watch counts as silent after %v", silenceTimeout)
	}
}

// TestWatchSilentFromItsHeaderOnEnds guards against a watch that falls silent before its first line and is given up
// only after the time for a call: it must leave as much time for a drain as one that falls silent later. The longest
// wait before the next call is 2.4 s.
func TestWatchSilentFromItsHeaderOnEnds(t *testing.T) {
	const countsAsNotified, longestWait = 6 * time.Second, 2400 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	c := NewClient(strings.TrimPrefix(server.URL, "http://"))
	started := time.Now()
	err := c.Watch(t.Context(), 7, func(List) {})
	if took := time.Since(started); err == nil || took > countsAsNotified-longestWait {
		t.Errorf("the watch ended after %v, want at most %v: %v", took, countsAsNotified-longestWait, err)
	}
}
