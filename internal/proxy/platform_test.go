package proxy

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/simwire"
	"mulleinpier/policy"
)

// proxyCounts maps JSON values for the number of proxies, "" for none, to whether they are invalid.
var proxyCounts = map[string]bool{
	"80": false, "": false, "0": false, "-3": false, "1": false, "2000000000": false,
	"1e30": true, "2.5": true, `"many"`: true, "[]": true,
}

// TestAbsurdProxyCountsGetReasonableLimits checks the connection limits that follow from the number of proxies: a
// number that is missing, zero or absurd leads to reasonable limits, and one that is not a whole number fails the
// start.
func TestAbsurdProxyCountsGetReasonableLimits(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for proxies, invalid := range proxyCounts {
		var settings map[string]json.RawMessage
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		delete(settings, "NInstances")
		if proxies != "" {
			settings["NInstances"] = json.RawMessage(proxies)
		}
		config, err := readConfig(t, platformFields(settings))
		if (err != nil) != invalid {
			t.Errorf("%q proxies: %v", proxies, err)
		}
		if err != nil {
			continue
		}
		var b connlimit.Budget
		b.SetCapacity(config.Upstream.FleetShare)
		for _, nodes := range []int{1, 60} {
			limit := b.Limit(time.Second, nodes)
			maximum := max(nodes*platformNodeConnections, connlimit.MinConnections)
			if limit < connlimit.MinConnections || limit > maximum {
				t.Errorf("%q proxies: %d connections to %d nodes", proxies, limit, nodes)
			}
		}
		if n := config.Upstream.MaxPerNode; n < 1 || n > platformNodeConnections {
			t.Errorf("%q proxies: %d connections to one node", proxies, n)
		}
	}
}

// platformFields returns the fields of a platform configuration with settings.
func platformFields(settings any) map[string]any {
	return map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "known": nil,
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": settings,
	}
}

// classSetting returns the settings of a class with a deadline in milliseconds.
func classSetting(name, effect string, deadline int) map[string]any {
	return map[string]any{
		"Name": name, "Effect": effect, "HardLimit": deadline, "Aim": 50, "Window": 300, "DedupScope": "all",
	}
}

// without returns a change that removes settings.
func without(keys ...string) func(settings map[string]any) {
	return func(settings map[string]any) {
		for _, key := range keys {
			delete(settings, key)
		}
	}
}

// otherSettings are changes to the platform's settings under which requests of every class must be served.
var otherSettings = map[string]func(settings map[string]any){
	"one class": func(s map[string]any) { s["Services"] = []any{classSetting("alles", "unsafe", 2000)} },
	"many classes": func(s map[string]any) {
		var list []any
		for i := range 40 {
			list = append(list, classSetting(fmt.Sprint("c", i), []string{"safe", "keyed", "unsafe"}[i%3], 2000))
		}
		s["Services"] = list
	},
	"short deadlines": func(s map[string]any) {
		s["Services"] = []any{
			classSetting("gyors", "safe", 100),
			classSetting("kulcsos", "keyed", 100),
			classSetting("egyszer", "unsafe", 100),
		}
	},
	"no tenants, zones, kinds or prices": without("Realms", "Dcs", "Skus", "Charges", "Telemetry", "WeightKind",
		"OverShareWorth", "MyZone", "Me", "NInstances", "FamilyInfo"),
	"no limits": without("Limits", "Quantum"),
	"no rules":  without("Obligations"),
	"bare class": func(s map[string]any) {
		s["Services"] = []any{map[string]any{"Name": "x", "Effect": "safe", "HardLimit": 2000}}
	},
	"zeros": func(s map[string]any) {
		s["Limits"] = map[string]any{
			"MaxAttempts": 0, "ConnectTimeout": 0, "ConnIdle": 0, "StreamsPerConn": 0, "MostHeld": 0,
			"MaxRetryAfter": 0, "RetryAfter": true,
		}
		s["Quantum"], s["OverShareWorth"] = 0, 0
	},
	"lists pushed": func(s map[string]any) { s["RegistryMode"] = "pushed" },
}

// TestOtherPlatformSettings checks that requests of every class are served when the settings have other names, numbers,
// effects and deadlines, and lack the optional settings. Code that works with one customer's settings only would fail
// here.
func TestOtherPlatformSettings(t *testing.T) {
	for name, change := range otherSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarnessWith(t, 256, change, startNode(t, func(c nodeCommand) {
				if strings.HasPrefix(c.line, "ms") {
					c.respond("HD O%s c7\r\n", c.id)
				} else {
					c.serve()
				}
			}))
			u := h.connect()
			for i, class := range h.server.config.Policy.Classes {
				// Each verb in each class: the effect is that of the class.
				expectServed(u, class.Name, fmt.Sprint("i", i, ".V"),
					"mg k%[1]s v O%[1]s Pc=%[2]s,t=shops,k=%[1]s\r\n", "VA 2 O")
				expectServed(u, class.Name, fmt.Sprint("i", i, ".H"),
					"ms k%[1]s 2 O%[1]s Pc=%[2]s,t=shops,k=%[1]s\r\nhi\r\n", "HD O")
			}
		})
	}
}

// expectServed sends a command until it is served, each time under a new id with a prefix. On a busy machine some
// responses may be late.
func expectServed(u *client, class, idPrefix, format, want string) {
	u.t.Helper()
	const maxTries = 20
	for try := 0; ; try++ {
		id := fmt.Sprint(idPrefix, try)
		u.send(format, id, class)
		got := u.line()
		if got == want+id || got == want+id+" c7" {
			if want[0] == 'V' {
				u.expect("hi")
			}
			return
		}
		if try == maxTries || !strings.HasPrefix(got, "SERVER_ERROR") {
			u.t.Fatalf("class %s: got %q", class, got)
		}
	}
}

// setClass returns a change to a setting of the first class.
func setClass(key string, value any) func(settings map[string]any) {
	return func(s map[string]any) { s["Services"].([]any)[0].(map[string]any)[key] = value }
}

// setLimit returns a change to a limit.
func setLimit(key string, value any) func(settings map[string]any) {
	return func(s map[string]any) { s["Limits"].(map[string]any)[key] = value }
}

// invalidSettings are changes that make the platform's settings invalid.
var invalidSettings = map[string]func(settings map[string]any){
	"no class":          func(s map[string]any) { s["Services"] = []any{} },
	"no deadline":       setClass("HardLimit", 0),
	"negative deadline": setClass("HardLimit", -5),
	"infinite deadline": setClass("HardLimit", 1e300),
	"no effect":         setClass("Effect", ""),
	"unknown effect":    setClass("Effect", "mostly"),
	"unknown scope":     setClass("DedupScope", "street"),
	"negative window":   setClass("Window", -1),
	"duplicate class":   setClass("Name", "put"),
	"name is no text":   setClass("Name", 7),
	"zone out of range": func(s map[string]any) { s["MyZone"] = 9 },
	"duplicate tenant": func(s map[string]any) {
		s["Realms"] = []any{map[string]any{"Name": "x"}, map[string]any{"Name": "x"}}
	},
	"negative attempts":  setLimit("MaxAttempts", -1),
	"negative time-out":  setLimit("ConnectTimeout", -1),
	"infinite time-out":  setLimit("ConnectTimeout", 1e300),
	"infinite idle time": setLimit("ConnIdle", 1e300),
	"negative streams":   setLimit("StreamsPerConn", -1),
	"half a connection":  setLimit("StreamsPerConn", 0.5),
	"limits are no list": func(s map[string]any) { s["Limits"] = []any{} },
}

// TestInvalidPlatformSettings checks that invalid settings prevent the start with an error of one line.
func TestInvalidPlatformSettings(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range invalidSettings {
		var settings map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		change(settings)
		_, err := readConfig(t, platformFields(settings))
		if err == nil {
			_, err = policy.New(parseSettings(t, settings), 1)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// parseSettings parses settings as a start does.
func parseSettings(t *testing.T, settings map[string]any) policy.Settings {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := simwire.ParseSettings(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
