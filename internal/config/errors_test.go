package config

import (
	"strings"
	"testing"
)

// Parts of a minimal valid file.
const (
	listenLine  = "listen = \"h:1\"\n"
	nodesTable  = "[nodes]\naddresses = [\"h:1\"]\n"
	minimalFile = listenLine + nodesTable
	consulNodes = listenLine + "[nodes]\nconsul = \"h:1\"\n"
)

// invalidFiles are files with one error each, and a text that the error must contain.
var invalidFiles = []struct{ text, want string }{
	{nodesTable, "listen is missing: want HOST:PORT"},
	{"listen = 7\n" + nodesTable, "listen cannot be 7: want a string"},
	{"listen = \"h\"\n" + nodesTable, `listen cannot be "h": want HOST:PORT`},
	{listenLine, "nodes has no source: want addresses, file, consul or discovery"},
	{listenLine + "nodes = 3\n", "nodes cannot be 3: want a table"},
	{listenLine + "[nodes]\naddresses = []\n", "nodes.addresses cannot be empty"},
	{listenLine + "[nodes]\naddresses = [\"h:1\", \"x\"]\n", `nodes.addresses[1] cannot be "x": want HOST:PORT`},
	{listenLine + "[nodes]\naddresses = [\"h:1\", \"h:1\"]\n", `nodes.addresses has "h:1" twice`},
	{listenLine + "[nodes]\naddresses = \"h:1\"\n", `nodes.addresses cannot be "h:1": want a list of strings`},
	{listenLine + "[nodes]\nfile = \"none.toml\"\n", `nodes.file cannot be "none.toml"`},
	{consulNodes, "consul.service is missing"},
	{listenLine + "[nodes]\nconsul = \"h\"\n[consul]\nservice = \"c\"\n", `nodes.consul cannot be "h"`},
	{minimalFile + "[consul]\nservice = \"c\"\n", "consul requires nodes.consul"},
	{consulNodes + "[consul]\nservice = \"c\"\ntoken_file = \"none\"\n", "names a file that cannot be read"},
	{
		consulNodes + "[consul]\nservice = \"c\"\n[consul.register]\nttl = \"5s\"\n",
		"consul.register.service is missing",
	},
	{consulNodes + "[consul]\nservice = \"c\"\ndatacenters = [\"a\", \"a\"]\n", `consul.datacenters has "a" twice`},
	{consulNodes + "[consul]\nservice = \"c\"\nwait = \"1ms\"\n", "consul.wait cannot be"},
	{minimalFile + "[service]\npin = \"economy\"\n", "service.pin must be set together with service.pin_until"},
	{
		minimalFile + "[service]\npin = \"none\"\npin_until = \"2020-01-01T00:00:00Z\"\n",
		`service.pin cannot be "none": want one of full`,
	},
	{minimalFile + "[service]\npin = \"full\"\npin_until = \"soon\"\n", `service.pin_until cannot be "soon"`},
	{
		minimalFile + "[service]\npin = \"full\"\npin_until = \"9020-01-01T00:00:00Z\"\n",
		`service.pin_until cannot be "9020`,
	},
	{minimalFile + "[service]\nstay = \"1m\"\nmost_stay = \"10s\"\n", "service.most_stay cannot be 10s"},
	{listenLine + "zone = \"b\"\nzones = [\"a\"]\n" + nodesTable, `zone cannot be "b": want one of zones ["a"]`},
	{listenLine + "zones = [\"a\", \"a\"]\n" + nodesTable, `zones has "a" twice`},
	{minimalFile + "[limits]\nmemory_mb = 31\n", "limits.memory_mb cannot be 31: want a whole number from 32 to"},
	{minimalFile + "[limits]\nmemory_mb = 31.5\n", "limits.memory_mb cannot be 31.5: want a whole number"},
	{minimalFile + "[limits]\nsockets = 10\n", "limits.sockets cannot be 10"},
	{minimalFile + "[limits]\ncores = 0\n", "limits.cores cannot be 0: want a number from 0.01"},
	{minimalFile + "[limits]\ncores = nan\n", "limits.cores cannot be NaN"},
	{
		minimalFile + "[limits]\nconnect_timeout = 5\n",
		`limits.connect_timeout cannot be 5: want a duration from 1ms to 1m0s, such as "200ms"`,
	},
	{minimalFile + "[limits]\nattempts = 17\n", "limits.attempts cannot be 17: want a whole number from 1 to 16"},
	{minimalFile + "[limits]\nsecond_copies = \"no\"\n", `limits.second_copies cannot be "no": want true or false`},
	{minimalFile + "[limits]\nmemory = 64\n", "limits.memory is unknown: want one of"},
	{minimalFile + "[rules]\ncold_share = 2\n", "rules.cold_share cannot be 2: want a number from 0.01 to 1"},
	{minimalFile + "[rules]\ndrain_grace = \"-1s\"\n", "rules.drain_grace cannot be"},
	{minimalFile + "[log]\nlevel = \"loud\"\n", `log.level cannot be "loud": want one of debug, info, warn, error`},
	{minimalFile + "[log]\nformat = \"xml\"\n", `log.format cannot be "xml": want one of text, json`},
	{minimalFile + "[[class]]\naim = \"1s\"\n", "class[0].name is missing"},
	{minimalFile + "[[class]]\nname = \"a=b\"\n", `class[0].name cannot be "a=b"`},
	{minimalFile + "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n", `class has "a" twice`},
	{
		minimalFile + "[[class]]\nname = \"a\"\naim = \"3s\"\n",
		"class[0].aim cannot be 3s: want no more than the deadline, 2s",
	},
	{
		minimalFile + "[[class]]\nname = \"a\"\neffect = \"keyed\"\n",
		`class[0].window cannot be 0s: want above 0s for effect = "keyed"`,
	},
	{minimalFile + "[[class]]\nname = \"a\"\nwindow = \"1s\"\n", "class[0].window cannot be 1s"},
	{minimalFile + "[[class]]\nname = \"a\"\ngroup = \"all\"\n", `class[0].group requires effect = "keyed"`},
	{
		minimalFile + "[[class]]\nname = \"a\"\neffect = \"odd\"\n",
		`class[0].effect cannot be "odd": want one of safe, keyed, unsafe`,
	},
	{minimalFile + "[class]\nname = \"a\"\n", "want tables [[class]]"},
	{minimalFile + "[[tenant]]\nquota = 3\n", "tenant[0].name is missing"},
	{minimalFile + "[[tenant]]\nname = \"a\"\nquota = -3\n", "tenant[0].quota cannot be -3: want a number from 0"},
	{minimalFile + "[binary]\nlisten = \"x\"\n", `binary.listen cannot be "x": want HOST:PORT`},
	{minimalFile + "[binary]\nusers = \"none\"\n", "binary.users cannot be"},
	{minimalFile + "[binary]\ntypes = [\"b1\"]\n", `binary.types[0] cannot be "b1"`},
	{minimalFile + "[binary]\nclients = false\nusers = \"none\"\n", "binary.users requires binary.clients = true"},
	{minimalFile + "[[route]]\nclass = \"read\"\n", "route requires binary.clients = true"},
	{minimalFile + "[binary]\n[[route]]\nclass = \"none\"\n", `route[0].class cannot be "none"`},
	{minimalFile + "[binary]\n[[route]]\nclass = \"read\"\nverb = \"rade\"\n", `route[0].verb cannot be "rade"`},
	{minimalFile + "[binary]\n[[route]]\nclass = \"read\"\nwait = \"3s\"\n", "route[0].wait cannot be 3s"},
	{
		minimalFile + "[binary]\n[[route]]\nclass = \"read\"\nlistener = \"binary\"\n",
		`route[0].listener cannot be "binary": this listener accepts no binary clients`,
	},
	{
		minimalFile + "[binary]\n[[route]]\nclass = \"read\"\nuser = \"till\"\n",
		`route[0].user cannot be "till": binary.users names no valid file`,
	},
	{minimalFile + "[binary]\n[[tenant]]\nname = \"a\"\n", "route is missing: binary clients name no tenant"},
	{
		minimalFile + "[binary]\n[[class]]\nname = \"z\"\neffect = \"keyed\"\ngroup = \"zone\"\nwindow = \"2s\"\n" +
			"[[route]]\nclass = \"z\"\nverb = \"ticketed\"\n",
		"drop repeats in parts",
	},
	{listenLine + "tenants = 3\n" + nodesTable, "tenants is unknown: want one of"},
}

// TestEveryErrorNamesItsKey checks that each invalid value is rejected with exactly one error, which names the file,
// the key, the value and what is allowed.
func TestEveryErrorNamesItsKey(t *testing.T) {
	for _, c := range invalidFiles {
		path := writeFile(t, c.text)
		_, err := Read(path)
		if err == nil {
			t.Errorf("accepted: %s", c.text)
			continue
		}
		if got := err.Error(); !strings.HasPrefix(got, path+": ") || !strings.Contains(got, c.want) {
			t.Errorf("%q: got %q, want %q", c.text, got, c.want)
		}
		if n := len(Errors(err)); n != 1 {
			t.Errorf("%q: %d errors, want one: %v", c.text, n, err)
		}
	}
}
