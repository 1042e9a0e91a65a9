package meta

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/request"
)

// FuzzParseCommand guards against client lines that panic, or that reach a
// node in another form than the client's.
func FuzzParseCommand(f *testing.F) {
	for _, line := range []string{
		"mg k v O1 Pc=read,t=acme,d=480",
		"mg k v O1 Pc=read,t=acme ",
		"ms k 5 O1 Pd=1.5,c=put,k=5c",
		"ms k -1 O1 Pc=put", "ms k 99999999999999999999 O1 Pc=put", "mn", "mn x", "mg  v", "mg k v O Pc=", "\xff",
		"mg k v O1 Pc=read,d=1e3", "mg k v O1 Pc=read,d=NaN", "mg k v O1 O2 Pc=read",
		"mg 0 v O0 Pc=0000,",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := ParseCommand(line)
		if err != nil || c.Noop {
			return
		}
		if c.ValueLen < 0 || c.ValueLen > MaxValue || c.ID == "" || c.Class == "" || c.Timeout > time.Hour {
			t.Fatalf("%q taken as %+v", line, c)
		}
		text := string(NodeDialect{}.AppendHead(nil, &c.Request, 7*time.Millisecond))
		forwarded, ok := strings.CutSuffix(text, "\r\n")
		if !ok || strings.ContainsAny(forwarded, "\r\n") {
			t.Fatalf("%q forwarded as %q", line, text)
		}
		again, err := ParseCommand(forwarded)
		if err != nil || again.Timeout != 7*time.Millisecond || again.Key != c.Key || again.ID != c.ID ||
			again.ValueLen != c.ValueLen || again.Class != c.Class || again.Tenant != c.Tenant || again.IdempotencyKey != c.IdempotencyKey {
			t.Fatalf("%q forwarded as %q, which reads %+v, %v", line, forwarded, again, err)
		}
	})
}

// TestRequestWithoutALineIsSaidWhole guards the way to a node of a request whose
// client spoke another dialect.
func TestRequestWithoutALineIsSaidWhole(t *testing.T) {
	for want, r := range map[string]request.Request{
		"mg k v O1 Pc=read,d=7\r\n":                   {Key: "k", ID: "1", Class: "read"},
		"mg k v O1 Pc=read,t=shops,d=7\r\n":           {Key: "k", ID: "1", Class: "read", Tenant: "shops"},
		"ms k 2 O1 Pc=put,t=shops,d=7,k=5c\r\nhi\r\n": {Verb: request.Set, Key: "k", ID: "1", Class: "put", Tenant: "shops", IdempotencyKey: "5c", Value: []byte("hi")},
	} {
		got := NodeDialect{}.AppendTail(append(NodeDialect{}.AppendHead(nil, &r, 7*time.Millisecond), r.Value...), &r)
		if string(got) != want {
			t.Errorf("said %q, want %q", got, want)
		}
		line, _, _ := strings.Cut(string(got), "\r\n")
		c, err := ParseCommand(line)
		if err != nil || c.Key != r.Key || c.ID != r.ID || c.Class != r.Class || c.Tenant != r.Tenant || c.IdempotencyKey != r.IdempotencyKey ||
			c.ValueLen != len(r.Value) || c.Verb != r.Verb {
			t.Errorf("%q is read as %+v, %v", line, c, err)
		}
	}
}

// TestAnswersGoThroughUnaltered guards the whole way of an answer: read from a node,
// said to a client.
func TestAnswersGoThroughUnaltered(t *testing.T) {
	get, set := &request.Request{ID: "7", HeaderRoom: AnswerHeaderRoom("7")}, &request.Request{Verb: request.Set, ID: "7"}
	for _, c := range []struct {
		r          *request.Request
		node, want string // "" for an answer that can't be
	}{
		{get, "VA 2 O7 h1 Linflight=3\r\nhi\r\n", "VA 2 O7\r\nhi\r\n"},
		{get, "VA 0 O7\r\n\r\n", "VA 0 O7\r\n\r\n"},
		{set, "HD O7 crec\r\n", "HD O7 crec\r\n"},
		{set, "SERVER_ERROR busy\r\n", "SERVER_ERROR busy\r\n"},
		{set, "SERVER_ERROR failed\r\n", "SERVER_ERROR failed\r\n"},
		{get, "ERROR\r\n", "SERVER_ERROR failed\r\n"},
		{get, "VA 2 O8\r\nhi\r\n", ""},
		{get, "HD O7 crec\r\n", ""},
		{set, "VA 2 O7\r\nhi\r\n", ""},
		{get, "VA 2 O7\r\nhi!!", ""},
		{get, "VA 3000000000 O7\r\n", ""},
		{get, "VA 2 O7\nhi\r\n", ""},
		{get, "VA 2 O7\r\nh", ""},
	} {
		a, err := NodeDialect{}.ReadAnswer(bufio.NewReader(strings.NewReader(c.node)), c.r)
		switch {
		case c.want == "" && err == nil:
			t.Errorf("%q was taken", c.node)
		case c.want != "" && err != nil:
			t.Errorf("%q: %v", c.node, err)
		case c.want != "":
			if got := string(FormatAnswer(&a, c.r.ID)); got != c.want {
				t.Errorf("%q goes on as %q, want %q", c.node, got, c.want)
			}
		}
	}
	busy := &request.Answer{Kind: request.Busy, RetryAfter: 250 * time.Millisecond}
	if got := string(FormatAnswer(busy, "7")); got != "SERVER_ERROR busy 250\r\n" {
		t.Errorf("a refusal with advice is said %q", got)
	}
}

// BenchmarkWay is a read's whole way through the dialect: command, request to a node,
// answer, answer to the client.
func BenchmarkWay(b *testing.B) {
	answer := "VA 64 O1f h1 Linflight=7,qps=12.5\r\n" + strings.Repeat("v", 64) + "\r\n"
	source := strings.NewReader(answer)
	in := bufio.NewReader(source)
	var text []byte
	b.ReportAllocs()
	for b.Loop() {
		c, err := ParseCommand("mg 7f3a9c21e0b4d655 v O1f Pc=read,t=acme,d=480")
		if err != nil {
			b.Fatal(err)
		}
		c.HeaderRoom = AnswerHeaderRoom(c.ID)
		text = NodeDialect{}.AppendHead(text[:0], &c.Request, 400*time.Millisecond)
		source.Reset(answer)
		in.Reset(source)
		a, err := NodeDialect{}.ReadAnswer(in, &c.Request)
		if err != nil || len(FormatAnswer(&a, c.ID)) == 0 {
			b.Fatal(err)
		}
	}
}

// FuzzParseAnswer guards against node lines that panic or promise an impossible value.
func FuzzParseAnswer(f *testing.F) {
	for _, line := range []string{
		"VA 5 O1 h1 Linflight=7,queue=2", "HD O1 c77", "SERVER_ERROR busy", "SERVER_ERROR failed", "VA 3000000000 O1",
		"VA -1 O1", "VA 5  O1", "\x00\xff", "SERVER_ERROR", "CLIENT_ERROR bad", "ERROR",
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		a, err := ParseAnswer(line)
		if err != nil {
			return
		}
		if a.ValueLen < 0 || a.ValueLen > MaxValue || a.Hit && a.Miss {
			t.Fatalf("%q taken as %+v", line, a)
		}
		EachLoadFigure(a.LoadReport, func(name string, figure float64) {
			if figure != figure || figure > 1e12 || figure < -1e12 {
				t.Fatalf("%q reports %s=%v", line, name, figure)
			}
		})
	})
}
