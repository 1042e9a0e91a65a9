package sasl

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// userLine returns the line of a user in a users file.
func userLine(t testing.TB, name, secret string) string {
	t.Helper()
	line, err := FormatUser(name, secret, minIterations, [saltLen]byte{1, byte(len(name))})
	if err != nil {
		t.Fatal(err)
	}
	return line + "\n"
}

// validUsers returns the users of a valid file.
func validUsers(t testing.TB, text string) *Users {
	t.Helper()
	users, err := ParseUsers(text, []byte("key"))
	if err != nil {
		t.Fatal(err)
	}
	return users
}

func TestAuthenticate(t *testing.T) {
	users := validUsers(t, "# users\n\n"+userLine(t, "till", "rose")+userLine(t, "other", "lily"))
	for _, test := range []struct {
		name, secret string
		right        bool
	}{
		{"till", "rose", true},
		{"till", "rose", true}, // verified by the fast hash this time
		{"till", "lily", false},
		{"other", "lily", true},
		{"none", "rose", false},
		{"till", "", false},
		{"", "rose", false},
		{"till", strings.Repeat("x", 10000), false},
	} {
		user := users.Authenticate(test.name, test.secret)
		if (user != nil) != test.right || user != nil && user.Name != test.name {
			t.Errorf("%q with %.20q: %v, want %v", test.name, test.secret, user, test.right)
		}
	}
}

// TestChangedSecretIsAnotherUser checks that a reload ends the sessions of a changed secret, and no others.
func TestChangedSecretIsAnotherUser(t *testing.T) {
	before := validUsers(t, userLine(t, "till", "rose")+userLine(t, "other", "lily"))
	till, other := before.Authenticate("till", "rose"), before.Authenticate("other", "lily")
	after := validUsers(t, userLine(t, "till", "aster")+userLine(t, "other", "lily"))
	if after.Revalidate(till) != nil {
		t.Error("a session with the old secret is still valid")
	}
	if after.Revalidate(other) == nil || before.Revalidate(till) == nil {
		t.Error("a session with an unchanged secret is not valid")
	}
	if after.Authenticate("till", "rose") != nil || after.Authenticate("till", "aster") == nil {
		t.Error("the new secret is not used")
	}
}

func TestDefectsOfAFileAreNamed(t *testing.T) {
	valid := strings.TrimSpace(userLine(t, "till", "rose"))
	for want, text := range map[string]string{
		"lists no user":                         "# none\n",
		"line 2: user \"till\" is listed twice": valid + "\n" + valid,
		"line 1: want NAME":                     "till:rose",
		"iterations cannot be \"5\"":            strings.Replace(valid, ":1000:", ":5:", 1),
		"want a salt":                           valid + "00",
		"user name cannot be":                   strings.Replace(valid, "till", "ti ll", 1),
	} {
		users, err := ParseUsers(text, nil)
		if err == nil || users != nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := FormatUser("till", "", DefaultIterations, [saltLen]byte{}); err == nil {
		t.Error("an empty secret was accepted")
	}
}

func TestParsePlain(t *testing.T) {
	for response, want := range map[string]string{ // "" for an error
		"\x00till\x00rose":     "till rose",
		"till\x00till\x00rose": "till rose",
		"boss\x00till\x00rose": "",
		"till\x00rose":         "",
		"":                     "",
		"\x00till\x00":         "",
		"\x00\x00rose":         "",
		"\x00till\x00ro\x00se": "",
	} {
		name, secret, ok := ParsePlain([]byte(response))
		if got := name + " " + secret; ok != (want != "") || ok && got != want {
			t.Errorf("%q: %q, %v, want %q", response, got, ok, want)
		}
	}
}

// TestGuessesAreBounded checks that each source gets at most GuessBurst wrong guesses at once and one per
// GuessRefillInterval after that, and that at most maxSources sources are kept (invariant 2).
func TestGuessesAreBounded(t *testing.T) {
	limiter, now := NewGuessLimiter(), time.Unix(1000, 0)
	countAllowed := func(source string, guesses int) (allowed int) {
		for range guesses {
			if limiter.Allow(now, source) {
				allowed++
			}
		}
		return allowed
	}
	if n := countAllowed("a", 1000); n != GuessBurst {
		t.Errorf("%d of 1000 guesses were allowed, want %d", n, GuessBurst)
	}
	if n := countAllowed("b", 1); n != 1 {
		t.Error("the guesses of one source limit another source")
	}
	now = now.Add(10 * GuessRefillInterval)
	if n := countAllowed("a", 1000); n != GuessBurst {
		t.Errorf("%d allowed after a long time, want %d", n, GuessBurst)
	}
	now = now.Add(3 * GuessRefillInterval)
	if n := countAllowed("a", 1000); n != 3 {
		t.Errorf("%d allowed after three intervals, want 3", n)
	}
	for range 1000 { // correct guesses are refunded
		now = now.Add(time.Millisecond)
		if !limiter.Allow(now, "till") {
			t.Fatal("a client that logs in often is limited")
		}
		limiter.Refund(now, "till")
	}
	for i := range 100000 {
		limiter.Allow(now, fmt.Sprint("x", i))
	}
	if len(limiter.sources) > maxSources {
		t.Errorf("%d sources are kept, want at most %d", len(limiter.sources), maxSources)
	}
}
