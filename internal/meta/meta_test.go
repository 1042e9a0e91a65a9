package meta

import (
	"strings"
	"testing"
	"time"
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
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := ParseCommand(line)
		if err != nil || c.Verb == Noop {
			return
		}
		if c.Size < 0 || c.Size > MaxValue || c.ID == "" || c.Class == "" || c.Wait > time.Hour {
			t.Fatalf("%q taken as %+v", line, c)
		}
		text := string(c.AppendForward(nil, 7*time.Millisecond))
		forwarded, ok := strings.CutSuffix(text, "\r\n")
		if !ok || strings.ContainsAny(forwarded, "\r\n") {
			t.Fatalf("%q forwarded as %q", line, text)
		}
		again, err := ParseCommand(forwarded)
		if err != nil || again.Wait != 7*time.Millisecond || again.Key != c.Key || again.ID != c.ID ||
			again.Size != c.Size || again.Class != c.Class || again.Tenant != c.Tenant || again.Keyed != c.Keyed {
			t.Fatalf("%q forwarded as %q, which reads %+v, %v", line, forwarded, again, err)
		}
	})
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
		if a.Size < 0 || a.Size > MaxValue || a.Hit && a.Miss {
			t.Fatalf("%q taken as %+v", line, a)
		}
		EachLoad(a.Load, func(name string, figure float64) {
			if figure != figure || figure > 1e12 || figure < -1e12 {
				t.Fatalf("%q reports %s=%v", line, name, figure)
			}
		})
	})
}
