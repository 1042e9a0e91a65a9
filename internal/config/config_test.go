package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinpier/policy"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestSmallestFile guards the defaults: three lines make a daemon.
func TestSmallestFile(t *testing.T) {
	c, err := Read(write(t, "listen = \"127.0.0.1:11211\"\n[nodes]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	p := c.Proxy
	if p.Listen != "127.0.0.1:11211" || p.ListSources[0].StaticAddresses != "127.0.0.1:1,127.0.0.1:2" || len(p.InitialList.Endpoints) != 2 {
		t.Errorf("listens at %s for %v, knows %v", p.Listen, p.ListSources, p.InitialList)
	}
	if len(p.Policy.Classes) != 3 || p.Binary != nil || p.Policy.Classes[1].Idempotency != policy.IdempotentWithKey || p.Policy.Classes[1].DedupWindow != 1500*time.Millisecond {
		t.Errorf("classes %+v", p.Policy.Classes)
	}
	if p.MemoryBytes != 64<<20 || p.MaxClients <= 0 || p.MaxInFlight <= 0 || p.Upstream.MaxPerNode != 4 {
		t.Errorf("limits %+v", p)
	}
	if _, err := policy.New(p.Policy, 1); err != nil {
		t.Errorf("the decision module refuses the defaults: %v", err)
	}
}

// TestExampleIsGood guards the commented example against drifting from the reader.
func TestExampleIsGood(t *testing.T) {
	c, err := Read("../../deploy/mulleinpier.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Proxy.Policy.Classes) == 0 || len(c.Proxy.Policy.Tenants) == 0 {
		t.Error("the example shows no class or tenant")
	}
}

// TestEveryDefectIsNamed guards against a bad value that is taken, or told
// without its key, its value or what is allowed.
func TestEveryDefectIsNamed(t *testing.T) {
	const head = "listen = \"h:1\"\n"
	const nodes = "[nodes]\naddresses = [\"h:1\"]\n"
	for _, c := range []struct{ text, want string }{
		{nodes, "listen is missing: want HOST:PORT"},
		{"listen = 7\n" + nodes, "listen cannot be 7: want a text"},
		{"listen = \"h\"\n" + nodes, `listen cannot be "h": want HOST:PORT`},
		{head, "nodes has no source: want addresses, file, consul or discovery"},
		{head + "nodes = 3\n", "nodes cannot be 3: want a table"},
		{head + "[nodes]\naddresses = []\n", "nodes.addresses cannot be empty"},
		{head + "[nodes]\naddresses = [\"h:1\", \"x\"]\n", `nodes.addresses[1] cannot be "x": want HOST:PORT`},
		{head + "[nodes]\naddresses = [\"h:1\", \"h:1\"]\n", `nodes.addresses has "h:1" twice`},
		{head + "[nodes]\naddresses = \"h:1\"\n", `nodes.addresses cannot be "h:1": want a list of texts`},
		{head + "[nodes]\nfile = \"none.toml\"\n", `nodes.file cannot be "none.toml"`},
		{head + "[nodes]\nconsul = \"h:1\"\n", "consul.service is missing"},
		{head + "[nodes]\nconsul = \"h\"\n[consul]\nservice = \"c\"\n", `nodes.consul cannot be "h"`},
		{head + nodes + "[consul]\nservice = \"c\"\n", "consul is for nodes.consul"},
		{head + "[nodes]\nconsul = \"h:1\"\n[consul]\nservice = \"c\"\ntoken_file = \"none\"\n", "names a file that cannot be read"},
		{head + "[nodes]\nconsul = \"h:1\"\n[consul]\nservice = \"c\"\n[consul.register]\nttl = \"5s\"\n", "consul.register.service is missing"},
		{head + "[nodes]\nconsul = \"h:1\"\n[consul]\nservice = \"c\"\ndatacenters = [\"a\", \"a\"]\n", `consul.datacenters has "a" twice`},
		{head + "[nodes]\nconsul = \"h:1\"\n[consul]\nservice = \"c\"\nwait = \"1ms\"\n", "consul.wait cannot be"},
		{head + nodes + "[service]\npin = \"economy\"\n", "service.pin goes with service.pin_until"},
		{head + nodes + "[service]\npin = \"none\"\npin_until = \"2020-01-01T00:00:00Z\"\n", `service.pin cannot be "none": want one of full`},
		{head + nodes + "[service]\npin = \"full\"\npin_until = \"soon\"\n", `service.pin_until cannot be "soon"`},
		{head + nodes + "[service]\npin = \"full\"\npin_until = \"9020-01-01T00:00:00Z\"\n", `service.pin_until cannot be "9020`},
		{head + nodes + "[service]\nstay = \"1m\"\nmost_stay = \"10s\"\n", "service.most_stay cannot be 10s"},
		{head + "zone = \"b\"\nzones = [\"a\"]\n" + nodes, `zone cannot be "b": want one of zones ["a"]`},
		{head + "zones = [\"a\", \"a\"]\n" + nodes, `zones has "a" twice`},
		{head + nodes + "[limits]\nmemory_mb = 31\n", "limits.memory_mb cannot be 31: want a whole number from 32 to"},
		{head + nodes + "[limits]\nmemory_mb = 31.5\n", "limits.memory_mb cannot be 31.5: want a whole number"},
		{head + nodes + "[limits]\nsockets = 10\n", "limits.sockets cannot be 10"},
		{head + nodes + "[limits]\ncores = 0\n", "limits.cores cannot be 0: want a number from 0.01"},
		{head + nodes + "[limits]\ncores = nan\n", "limits.cores cannot be NaN"},
		{head + nodes + "[limits]\nconnect_timeout = 5\n", `limits.connect_timeout cannot be 5: want a duration from 1ms to 1m0s, such as "200ms"`},
		{head + nodes + "[limits]\nattempts = 17\n", "limits.attempts cannot be 17: want a whole number from 1 to 16"},
		{head + nodes + "[limits]\nsecond_copies = \"no\"\n", `limits.second_copies cannot be "no": want true or false`},
		{head + nodes + "[limits]\nmemory = 64\n", "limits.memory is unknown: want one of"},
		{head + nodes + "[rules]\ncold_share = 2\n", "rules.cold_share cannot be 2: want a number from 0.01 to 1"},
		{head + nodes + "[rules]\ndrain_grace = \"-1s\"\n", "rules.drain_grace cannot be"},
		{head + nodes + "[log]\nlevel = \"loud\"\n", `log.level cannot be "loud": want one of debug, info, warn, error`},
		{head + nodes + "[log]\nformat = \"xml\"\n", `log.format cannot be "xml": want one of text, json`},
		{head + nodes + "[[class]]\naim = \"1s\"\n", "class[0].name is missing"},
		{head + nodes + "[[class]]\nname = \"a=b\"\n", `class[0].name cannot be "a=b"`},
		{head + nodes + "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n", `class has "a" twice`},
		{head + nodes + "[[class]]\nname = \"a\"\naim = \"3s\"\n", "class[0].aim cannot be 3s: want no more than the deadline, 2s"},
		{head + nodes + "[[class]]\nname = \"a\"\neffect = \"keyed\"\n", "class[0].window cannot be 0s: want above 0s for effect keyed"},
		{head + nodes + "[[class]]\nname = \"a\"\nwindow = \"1s\"\n", "class[0].window cannot be 1s"},
		{head + nodes + "[[class]]\nname = \"a\"\ngroup = \"all\"\n", "class[0].group is for effect keyed only"},
		{head + nodes + "[[class]]\nname = \"a\"\neffect = \"odd\"\n", `class[0].effect cannot be "odd": want one of safe, keyed, unsafe`},
		{head + nodes + "[class]\nname = \"a\"\n", "want tables [[class]]"},
		{head + nodes + "[[tenant]]\nquota = 3\n", "tenant[0].name is missing"},
		{head + nodes + "[[tenant]]\nname = \"a\"\nquota = -3\n", "tenant[0].quota cannot be -3: want a number from 0"},
		{head + nodes + "[binary]\nlisten = \"x\"\n", `binary.listen cannot be "x": want HOST:PORT`},
		{head + nodes + "[binary]\nusers = \"none\"\n", "binary.users cannot be"},
		{head + nodes + "[binary]\ntypes = [\"b1\"]\n", `binary.types[0] cannot be "b1"`},
		{head + nodes + "[binary]\nclients = false\nusers = \"none\"\n", "binary.users is for binary.clients = true only"},
		{head + nodes + "[[route]]\nclass = \"read\"\n", "route is for binary.clients = true only"},
		{head + nodes + "[binary]\n[[route]]\nclass = \"none\"\n", `route[0].class cannot be "none"`},
		{head + nodes + "[binary]\n[[route]]\nclass = \"read\"\nverb = \"rade\"\n", `route[0].verb cannot be "rade"`},
		{head + nodes + "[binary]\n[[route]]\nclass = \"read\"\nwait = \"3s\"\n", "route[0].wait cannot be 3s"},
		{head + nodes + "[binary]\n[[route]]\nclass = \"read\"\nlistener = \"binary\"\n", `route[0].listener cannot be "binary": no binary client`},
		{head + nodes + "[binary]\n[[route]]\nclass = \"read\"\nuser = \"till\"\n", `route[0].user cannot be "till": there is no file`},
		{head + nodes + "[binary]\n[[tenant]]\nname = \"a\"\n", "route is missing: binary clients name no tenant"},
		{head + nodes + "[binary]\n[[class]]\nname = \"z\"\neffect = \"keyed\"\ngroup = \"zone\"\nwindow = \"2s\"\n[[route]]\nclass = \"z\"\nverb = \"ticketed\"\n", "drop repeats in parts"},
		{head + "tenants = 3\n" + nodes, "tenants is unknown: want one of"},
	} {
		path := write(t, c.text)
		_, err := Read(path)
		if err == nil {
			t.Errorf("taken: %s", c.text)
			continue
		}
		if got := err.Error(); !strings.HasPrefix(got, path+": ") || !strings.Contains(got, c.want) {
			t.Errorf("%q: said %q, want %q", c.text, got, c.want)
		}
		if n := len(Errors(err)); n != 1 {
			t.Errorf("%q: %d defects told for one: %v", c.text, n, err)
		}
	}
}

func TestAllDefectsAreToldAtOnce(t *testing.T) {
	_, err := Read(write(t, "listen = 7\nport = 1\n[limits]\nsockets = 1\n[log]\nlevel = 3\n"))
	if n := len(Errors(err)); n != 5 {
		t.Errorf("%d defects, want 5: %v", n, err)
	}
}

// TestNodeFileIsPartOfTheConfiguration guards against a configuration that is
// good but for a node file which can't be read.
func TestNodeFileIsPartOfTheConfiguration(t *testing.T) {
	path := write(t, "listen = \"h:1\"\n[nodes]\nfile = \"nodes.toml\"\n")
	nodes := filepath.Join(filepath.Dir(path), "nodes.toml")
	for _, bad := range []string{"", "[[node]]\n", "[[node]]\naddress = \"h\"\n", "[[node]]\naddress = \"h:1\"\n[[node]]\naddress = \"h:1\"\n",
		"[[node]]\naddress = \"h:1\"\ncolour = 1\n", "[[node]]\naddress = \"h:1\"\nstatus = \"odd\"\n"} {
		if err := os.WriteFile(nodes, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), "nodes.file cannot be") {
			t.Errorf("node file %q: %v", bad, err)
		}
	}
	if err := os.WriteFile(nodes, []byte("[[node]]\naddress = \"h:1\"\n[[node]]\nname = \"b\"\naddress = \"h:2\"\nstatus = \"draining\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(c.Proxy.InitialList.Endpoints); !strings.Contains(got, "{h:1 h:1") || !strings.Contains(got, "{b h:2") {
		t.Errorf("knows %v", got)
	}
}

// TestFileBeingWrittenIsWaitedFor guards against a reload that puts the first half of
// a file into force, which reads as a whole one with a class less.
func TestFileBeingWrittenIsWaitedFor(t *testing.T) {
	const half = "listen = \"h:1\"\n[nodes]\naddresses = [\"h:1\"]\n[[class]]\nname = \"a\"\n"
	const whole = half + "[[class]]\nname = \"b\"\n"
	path := write(t, half)
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if c, err := Read(path); err != nil || len(c.Proxy.Policy.Classes) != 1 {
		t.Fatalf("the half is no file of its own: %v", err)
	}
	looks := 0
	c, err := ReadStable(path, func() {
		if looks++; looks == 1 {
			put(whole) // the writer goes on
		}
	})
	if err != nil || len(c.Proxy.Policy.Classes) != 2 {
		t.Errorf("taken after %d looks: %+v, %v", looks, c, err)
	}
	_, err = ReadStable(path, func() {
		looks++
		put(whole + strings.Repeat("#", looks))
	})
	if err == nil || !strings.Contains(err.Error(), "is still being written") || looks > 2*mostLooks {
		t.Errorf("a file that never settles: %v after %d looks", err, looks)
	}
	if _, err := ReadStable(path, func() { os.Remove(path) }); err == nil {
		t.Error("a file that vanishes was taken")
	}
}

// FuzzRead guards against files that bring the reader down, or through.
func FuzzRead(f *testing.F) {
	f.Add("listen = \"127.0.0.1:0\"\n[nodes]\naddresses = [\"127.0.0.1:1\"]\n[[class]]\nname = \"a\"\n[limits]\ncores = 2\n")
	f.Add("listen = 3\n[[tenant]]\nname = [1, {a = 1}]\n")
	f.Add("[nodes]\nfile = \"/\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Read(write(t, text))
		if err != nil {
			if c != nil || len(Errors(err)) == 0 || err.Error() == "" {
				t.Fatalf("half of a configuration, or an error without a word: %v, %v", c, err)
			}
			return
		}
		if _, err := policy.New(c.Proxy.Policy, 1); err != nil {
			t.Fatalf("taken, but the decision module refuses it: %v", err)
		}
	})
}
