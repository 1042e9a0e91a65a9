package sasl

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func line(t testing.TB, name, secret string) string {
	t.Helper()
	l, err := FormatUser(name, secret, minIterations, [saltLen]byte{1, byte(len(name))})
	if err != nil {
		t.Fatal(err)
	}
	return l + "\n"
}

func users(t testing.TB, text string) *Users {
	t.Helper()
	us, err := ParseUsers(text, []byte("key"))
	if err != nil {
		t.Fatal(err)
	}
	return us
}

func TestSecretsAreChecked(t *testing.T) {
	us := users(t, "# tills\n\n"+line(t, "till", "rose")+line(t, "other", "lily"))
	for _, c := range []struct {
		name, secret string
		good         bool
	}{{"till", "rose", true}, {"till", "rose", true}, {"till", "lily", false}, {"other", "lily", true}, {"none", "rose", false},
		{"till", "", false}, {"", "rose", false}, {"till", strings.Repeat("x", 10000), false}} {
		if u := us.Authenticate(c.name, c.secret); (u != nil) != c.good || u != nil && u.Name != c.name {
			t.Errorf("%q with %q: %v", c.name, c.secret, u)
		}
	}
}

// TestChangedSecretIsAnotherUser guards sessions that outlive a reload.
func TestChangedSecretIsAnotherUser(t *testing.T) {
	before := users(t, line(t, "till", "rose")+line(t, "other", "lily"))
	till, other := before.Authenticate("till", "rose"), before.Authenticate("other", "lily")
	after := users(t, line(t, "till", "aster")+line(t, "other", "lily"))
	if after.Revalidate(till) != nil || after.Revalidate(other) == nil || before.Revalidate(till) == nil {
		t.Error("a session of the old secret lives on, or one of the same has ended")
	}
	if after.Authenticate("till", "rose") != nil || after.Authenticate("till", "aster") == nil {
		t.Error("the new secret is not in force")
	}
}

func TestBadFilesAreNamed(t *testing.T) {
	good := strings.TrimSpace(line(t, "till", "rose"))
	for want, text := range map[string]string{
		"names no user": "# none\n", "line 2: user \"till\" is there twice": good + "\n" + good,
		"line 1: want NAME": "till:rose", "iterations cannot be \"5\"": strings.Replace(good, ":1000:", ":5:", 1),
		"want a salt": good + "00", "a user cannot be": strings.Replace(good, "till", "ti ll", 1),
	} {
		if us, err := ParseUsers(text, nil); err == nil || us != nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := FormatUser("till", "", DefaultIterations, [saltLen]byte{}); err == nil {
		t.Error("an empty secret was taken")
	}
}

func TestPlainResponses(t *testing.T) {
	for text, want := range map[string]string{"\x00till\x00rose": "till rose", "till\x00till\x00rose": "till rose", "boss\x00till\x00rose": "",
		"till\x00rose": "", "": "", "\x00till\x00": "", "\x00\x00rose": "", "\x00till\x00ro\x00se": ""} {
		name, secret, ok := ParsePlain([]byte(text))
		if got := name + " " + secret; ok != (want != "") || ok && got != want {
			t.Errorf("%q: %q, %v", text, got, ok)
		}
	}
}

// TestGuessesAreBounded guards invariant 2, with many sources as well.
func TestGuessesAreBounded(t *testing.T) {
	g, now := NewGuessLimiter(), time.Unix(1000, 0)
	looked := func(source string, tries int) (n int) {
		for range tries {
			if g.Allow(now, source) {
				n++
			}
		}
		return n
	}
	if n := looked("a", 1000); n != GuessBurst {
		t.Errorf("%d of a loop were looked at, want %d", n, GuessBurst)
	}
	if n := looked("b", 1); n != 1 {
		t.Error("another source pays for the loop")
	}
	if now = now.Add(10 * GuessRefillInterval); looked("a", 1000) != GuessBurst {
		t.Error("the allowance does not come back whole")
	}
	if now = now.Add(3 * GuessRefillInterval); looked("a", 1000) != 3 {
		t.Error("the allowance does not come back in its time")
	}
	for range 1000 { // good ones are free
		if now = now.Add(time.Millisecond); !g.Allow(now, "till") {
			t.Fatal("a till that comes back often is kept out")
		}
		g.Refund(now, "till")
	}
	for i := range 100000 {
		g.Allow(now, fmt.Sprint("x", i))
	}
	if len(g.sources) > maxSources {
		t.Errorf("%d sources are remembered", len(g.sources))
	}
}
