package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const whole = `{"index":7,"snapshot":true,"endpoints":[{"name":"n1","address":"127.0.0.1:1","status":"up"},` +
	`{"name":"n2","address":"127.0.0.1:2","status":"draining","since_ms":5}]}`

// registry answers each call with what it is given next, and ends the connection.
func registry(t *testing.T, answers <-chan string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", <-answers)
	}))
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"))
}

// TestListsThatCannotBeRead guards against news made of a broken answer: cut at any length, or
// not a list at all, it is an error and tells nothing. An empty list would take every node away.
func TestListsThatCannotBeRead(t *testing.T) {
	answers := make(chan string, 1)
	c := registry(t, answers)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bad := []string{"null", "{}", "[]", `""`, `{"error":"later"}`, `{"index":8,"snapshot":true}`, `{"endpoints":null}`, "<html>", "\x00\xff"}
	for n := range len(whole) {
		bad = append(bad, whole[:n])
	}
	for _, text := range bad {
		answers <- text
		if l, err := c.Fetch(ctx); err == nil {
			t.Errorf("%q is taken for a list of %d nodes", text, len(l.Endpoints))
		}
		answers <- text
		told := 0
		if err := c.Watch(ctx, 0, func(List) { told++ }); err == nil || told > 0 {
			t.Errorf("%q in a watch: told %d times, error %v", text, told, err)
		}
	}
	answers <- whole
	if l, err := c.Fetch(ctx); err != nil || len(l.Endpoints) != 2 || l.Index != 7 {
		t.Errorf("the whole list: %+v, %v", l, err)
	}
	// What came before the break counts.
	answers <- whole + "\n" + whole[:40]
	told := 0
	if err := c.Watch(ctx, 0, func(List) { told++ }); err == nil || told != 1 {
		t.Errorf("a whole line and half of one: told %d times, error %v", told, err)
	}
}

// TestListsMayComeIndented guards against a source that breaks its objects over lines, has braces in its texts, and
// lets them come in pieces: each is told once, whole.
func TestListsMayComeIndented(t *testing.T) {
	const indented = "\n\n{\n  \"index\": 7,\n  \"snapshot\": true,\n\n  \"endpoints\": [\n    {\"name\": \"}n\\\"{1\", \"address\": \"127.0.0.1:1\", \"status\": \"up\"}\n  ]\n}\n"
	answers := make(chan string, 1)
	c := registry(t, answers)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answers <- indented + whole + "\r\n" + indented
	var told []List
	if err := c.Watch(ctx, 0, func(l List) { told = append(told, l) }); err == nil || len(told) != 3 || told[0].Endpoints[0].Name != "}n\"{1" || len(told[1].Endpoints) != 2 {
		t.Errorf("told %+v, error %v", told, err)
	}
	answers <- indented
	if l, err := c.Fetch(ctx); err != nil || l.Index != 7 {
		t.Errorf("a whole list: %+v, %v", l, err)
	}
}

// TestObjectsAreBounded guards against an object that never ends, and white space that never does: the one is an error once it is
// too long, the other takes no room.
func TestObjectsAreBounded(t *testing.T) {
	in := bufio.NewReader(io.MultiReader(strings.NewReader(strings.Repeat("\n", 3*maxList)), strings.NewReader(whole+`{"a":"`+strings.Repeat("x", 2*maxList))))
	text, err := object(in, nil)
	if err != nil || string(text) != whole {
		t.Errorf("behind white space: %d bytes, %v", len(text), err)
	}
	if text, err = object(in, nil); err != errTooLong || len(text) > maxList {
		t.Errorf("of an endless object: %d bytes, %v", len(text), err)
	}
}

// TestSilenceLeavesTimeForADrain holds the figures of a silent watch against the rule: what it misses counts as told 6 s after it fell
// silent, and a drain is to be heeded half a second later. The decision module's wait is tested there.
func TestSilenceLeavesTimeForADrain(t *testing.T) {
	const heartbeat, counts = 2 * time.Second, 6 * time.Second
	if silentWait <= heartbeat || silentWait > counts/2 {
		t.Errorf("a watch counts as silent after %v", silentWait)
	}
}
