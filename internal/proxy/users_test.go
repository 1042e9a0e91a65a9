package proxy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/sasl"
	"mulleinpier/internal/testutil"
)

// writeUsers writes a users file.
func writeUsers(t *testing.T, path string, secrets map[string]string) {
	t.Helper()
	var text string
	for name, secret := range secrets {
		line, err := sasl.FormatUser(name, secret, 1000, [16]byte{1})
		if err != nil {
			t.Fatal(err)
		}
		text += line + "\n"
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// singleRouteConfig returns a configuration with a users file, in which only user till has a route.
func singleRouteConfig(usersPath string) string {
	const text = `[binary]
users = "USERS"
[[route]]
user = "till"
class = "read"
`
	return strings.Replace(text, "USERS", usersPath, 1)
}

const authOpaque = 9

func authCommand(user, secret string) []byte {
	return rawclient.AppendSASLPlain(nil, user, secret, authOpaque)
}

// TestReloadWithConnectionsOpen checks that changed routes apply from the next command on open connections, and that a
// session whose user's secret has changed must authenticate again.
func TestReloadWithConnectionsOpen(t *testing.T) {
	f := startNodes(t)
	file := filepath.Join(t.TempDir(), "users")
	writeUsers(t, file, map[string]string{"till": "rose", "boss": "lily"})
	text := singleRouteConfig(file)
	p := startProxy(t, f.addresses, text)
	till := p.dial()
	till.send(getCommand("k", 1), emptyCommand(codec.Version, 2), emptyCommand(codec.SASLList, 3))
	till.next(codec.AuthError, 1) // only the next two are served before authentication
	till.next(codec.OK, 2)
	till.next(codec.OK, 3)
	till.send(authCommand("till", "rose"), getCommand("k", 4))
	till.next(codec.OK, authOpaque)
	till.next(codec.OK, 4)
	boss := p.dial()
	boss.send(authCommand("boss", "lily"), getCommand("k", 4))
	boss.next(codec.OK, authOpaque)
	boss.next(codec.NotSupported, 4) // boss has no route
	p.reload(text + "[[route]]\nprefix = \"k\"\nuser = \"boss\"\nclass = \"read\"\n")
	boss.send(getCommand("k", 5), getCommand("other", 6))
	boss.next(codec.OK, 5)
	boss.next(codec.NotSupported, 6)
	writeUsers(t, file, map[string]string{"till": "aster", "boss": "lily"})
	p.reload(text)
	till.send(getCommand("k", 7), authCommand("till", "rose"), authCommand("till", "aster"), getCommand("k", 8))
	till.next(codec.AuthError, 7)
	till.next(codec.AuthError, authOpaque)
	till.next(codec.OK, authOpaque)
	till.next(codec.OK, 8)
	boss.send(getCommand("k", 7)) // the secret is unchanged, and the first routing table applies again
	boss.next(codec.NotSupported, 7)
}

// TestPasswordGuessing checks that a connection is closed after three guesses, that known and unknown users get the
// same response, and that once the allowance for guesses is used up not even the right secret is checked, so that
// further guesses are of no use.
func TestPasswordGuessing(t *testing.T) {
	f := startNodes(t)
	file := filepath.Join(t.TempDir(), "users")
	writeUsers(t, file, map[string]string{"till": "rose"})
	p := startProxy(t, f.addresses, singleRouteConfig(file))
	var responses []string
	for i := range 12 {
		c := p.dial()
		for range 3 {
			c.send(authCommand([]string{"till", "nobody"}[i%2], "guess"))
			r := c.next(codec.AuthError, authOpaque)
			responses = append(responses, r.Value)
		}
		c.expectEnd()
	}
	for _, text := range responses {
		if text != responses[0] {
			t.Errorf("one guess got %q, another %q", text, responses[0])
		}
	}
	c := p.dial()
	c.send(authCommand("till", "rose"))
	c.next(codec.AuthError, authOpaque)
	testutil.WaitUntil(t, "the allowance to be restored", func() bool {
		c := p.dial()
		c.send(authCommand("till", "rose"))
		r, err := rawclient.ReadResponse(c.Reader)
		return err == nil && r.Status == codec.OK
	})
}
