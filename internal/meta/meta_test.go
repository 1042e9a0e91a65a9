package meta

import (
	"bufio"
	"math"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/request"
)

// FuzzParseCommand checks that no line panics, exceeds the limits (guarantee 2), or reaches a node in a form that is
// parsed differently (guarantee 1).
func FuzzParseCommand(f *testing.F) {
	for _, line := range []string{
		"mg k v O1 Pc=read,t=acme,d=480",
		"mg k v O1 Pc=read,t=acme ",
		"ms k 5 O1 Pd=1.5,c=put,k=5c",
		"ms k -1 O1 Pc=put",
		"ms k 99999999999999999999 O1 Pc=put",
		"mn",
		"mn x",
		"mg  v",
		"mg k v O Pc=",
		"\xff",
		"mg k v O1 Pc=read,d=1e3",
		"mg k v O1 Pc=read,d=NaN",
		"mg k v O1 O2 Pc=read",
		"mg 0 v O0 Pc=0000,",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		command, err := ParseCommand(line)
		if err != nil || command.Noop {
			return
		}
		if command.ValueLen < 0 || command.ValueLen > MaxValue || command.ID == "" || command.Class == "" ||
			command.Timeout > time.Hour {
			t.Fatalf("%q parsed as %+v", line, command)
		}
		text := string(NodeDialect{}.AppendHead(nil, &command.Request, 7*time.Millisecond))
		forwarded, ok := strings.CutSuffix(text, "\r\n")
		if !ok || strings.ContainsAny(forwarded, "\r\n") {
			t.Fatalf("%q forwarded as %q", line, text)
		}
		again, err := ParseCommand(forwarded)
		if err != nil || again.Timeout != 7*time.Millisecond || again.ValueLen != command.ValueLen ||
			!sameNames(&again.Request, &command.Request) {
			t.Fatalf("%q forwarded as %q, which parses as %+v, %v", line, forwarded, again, err)
		}
	})
}

// sameNames reports whether two requests have the same key, id, class, tenant and idempotency key.
func sameNames(a, b *request.Request) bool {
	return a.Key == b.Key && a.ID == b.ID && a.Class == b.Class && a.Tenant == b.Tenant &&
		a.IdempotencyKey == b.IdempotencyKey
}

// TestRequestWithoutARawLine checks what a node receives for a request of a client of another dialect.
func TestRequestWithoutARawLine(t *testing.T) {
	for want, r := range map[string]request.Request{
		"mg k v O1 Pc=read,d=7\r\n":         {Key: "k", ID: "1", Class: "read"},
		"mg k v O1 Pc=read,t=shops,d=7\r\n": {Key: "k", ID: "1", Class: "read", Tenant: "shops"},
		"ms k 2 O1 Pc=put,t=shops,d=7,k=5c\r\nhi\r\n": {Verb: request.Set, Key: "k", ID: "1", Class: "put",
			Tenant: "shops", IdempotencyKey: "5c", Value: []byte("hi")},
	} {
		got := NodeDialect{}.AppendHead(nil, &r, 7*time.Millisecond)
		got = append(got, r.Value...)
		got = NodeDialect{}.AppendTail(got, &r)
		if string(got) != want {
			t.Errorf("written as %q, want %q", got, want)
		}
		line, _, _ := strings.Cut(string(got), "\r\n")
		command, err := ParseCommand(line)
		if err != nil || command.ValueLen != len(r.Value) || command.Verb != r.Verb ||
			!sameNames(&command.Request, &r) {
			t.Errorf("%q parses as %+v, %v", line, command, err)
		}
	}
}

// TestAnswersPassThroughUnaltered checks that reading a node's answer returns the answer to the request or an error
// (guarantee 3), and how the answer is written to the client.
func TestAnswersPassThroughUnaltered(t *testing.T) {
	get := &request.Request{ID: "7", HeaderRoom: AnswerHeaderRoom("7")}
	set := &request.Request{Verb: request.Set, ID: "7"}
	for _, test := range []struct {
		request *request.Request
		node    string
		want    string // "" for an error
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
		in := bufio.NewReader(strings.NewReader(test.node))
		answer, _, err := NodeDialect{}.ReadAnswer(in, []*request.Request{test.request})
		switch {
		case test.want == "" && err == nil:
			t.Errorf("%q was accepted", test.node)
		case test.want != "" && err != nil:
			t.Errorf("%q: %v", test.node, err)
		case test.want != "":
			if got := string(FormatAnswer(&answer, test.request.ID)); got != test.want {
				t.Errorf("%q is passed on as %q, want %q", test.node, got, test.want)
			}
		}
	}
	busy := &request.Answer{Kind: request.Busy, RetryAfter: 250 * time.Millisecond}
	if got := string(FormatAnswer(busy, "7")); got != "SERVER_ERROR busy 250\r\n" {
		t.Errorf("busy with a Retry-After of 250 ms is written as %q", got)
	}
}

// BenchmarkRead measures a read's path through the dialect: it parses the command, writes the request to a node, reads
// the answer and writes it to the client.
func BenchmarkRead(b *testing.B) {
	nodeAnswer := "VA 64 O1f h1 Linflight=7,qps=12.5\r\n" + strings.Repeat("v", 64) + "\r\n"
	source := strings.NewReader(nodeAnswer)
	in := bufio.NewReader(source)
	var text []byte
	b.ReportAllocs()
	for b.Loop() {
		command, err := ParseCommand("mg 7f3a9c21e0b4d655 v O1f Pc=read,t=acme,d=480")
		if err != nil {
			b.Fatal(err)
		}
		command.HeaderRoom = AnswerHeaderRoom(command.ID)
		text = NodeDialect{}.AppendHead(text[:0], &command.Request, 400*time.Millisecond)
		source.Reset(nodeAnswer)
		in.Reset(source)
		answer, _, err := NodeDialect{}.ReadAnswer(in, []*request.Request{&command.Request})
		if err != nil || len(FormatAnswer(&answer, command.ID)) == 0 {
			b.Fatal(err)
		}
	}
}

// FuzzParseAnswer checks that no line of a node panics or gives a value or a load figure beyond its limits (guarantee
// 2).
func FuzzParseAnswer(f *testing.F) {
	for _, line := range []string{
		"VA 5 O1 h1 Linflight=7,queue=2",
		"HD O1 c77",
		"SERVER_ERROR busy",
		"SERVER_ERROR failed",
		"VA 3000000000 O1",
		"VA -1 O1",
		"VA 5  O1",
		"\x00\xff",
		"SERVER_ERROR",
		"CLIENT_ERROR bad",
		"ERROR",
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		answer, err := ParseAnswer(line)
		if err != nil {
			return
		}
		if answer.ValueLen < 0 || answer.ValueLen > MaxValue || answer.Hit && answer.Miss {
			t.Fatalf("%q parsed as %+v", line, answer)
		}
		EachLoadFigure(answer.LoadReport, func(name string, figure float64) {
			if math.IsNaN(figure) || figure > 1e12 || figure < -1e12 {
				t.Fatalf("%q reports %s=%v", line, name, figure)
			}
		})
	})
}
