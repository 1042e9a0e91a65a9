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

// TestNumbersOfProxies guards what follows from the number of proxies: one that is missing, zero or
// absurd leads to bounds within reason, and one that is no number ends the start.
func TestNumbersOfProxies(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		proxies string // "" for none
		bad     bool
	}{{"80", false}, {"", false}, {"0", false}, {"-3", false}, {"1", false}, {"2000000000", false},
		{"1e30", true}, {"2.5", true}, {`"many"`, true}, {"[]", true}} {
		var settings map[string]json.RawMessage
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		delete(settings, "NInstances")
		if c.proxies != "" {
			settings["NInstances"] = json.RawMessage(c.proxies)
		}
		config, err := readConfig(t, map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "known": nil,
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": settings})
		if err != nil != c.bad {
			t.Errorf("%q proxies: %v", c.proxies, err)
		}
		if err != nil {
			continue
		}
		var b connlimit.Budget
		b.SetCapacity(config.Upstream.FleetShare)
		for _, nodes := range []int{1, 60} {
			if most := b.Limit(time.Second, nodes); most < connlimit.MinConnections || most > max(nodes*platformNodeConnections, connlimit.MinConnections) {
				t.Errorf("%q proxies: %d connections to %d nodes", c.proxies, most, nodes)
			}
		}
		if n := config.Upstream.MaxPerNode; n < 1 || n > platformNodeConnections {
			t.Errorf("%q proxies: %d connections to one node", c.proxies, n)
		}
	}
}

// TestSettingsOfOthers guards against a program that fits one customer: with other names, numbers, effects and deadlines, and without
// what may be left out, requests of every class are served.
func TestSettingsOfOthers(t *testing.T) {
	class := func(name, effect string, deadline any) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "HardLimit": deadline, "Aim": 50, "Window": 300, "DedupScope": "all"}
	}
	without := func(settings map[string]any, keys ...string) {
		for _, k := range keys {
			delete(settings, k)
		}
	}
	for name, change := range map[string]func(settings map[string]any){
		"one class": func(s map[string]any) { s["Services"] = []any{class("alles", "unsafe", 2000)} },
		"many classes": func(s map[string]any) {
			var list []any
			for i := range 40 {
				list = append(list, class(fmt.Sprint("c", i), []string{"safe", "keyed", "unsafe"}[i%3], 2000))
			}
			s["Services"] = list
		},
		"short deadlines": func(s map[string]any) {
			s["Services"] = []any{class("gyors", "safe", 100), class("kulcsos", "keyed", 100), class("egyszer", "unsafe", 100)}
		},
		"no tenants, zones, kinds or prices": func(s map[string]any) {
			without(s, "Realms", "Dcs", "Skus", "Charges", "Telemetry", "WeightKind", "OverShareWorth", "MyZone", "Me", "NInstances", "FamilyInfo")
		},
		"no limits": func(s map[string]any) { without(s, "Limits", "Quantum") },
		"no rules":  func(s map[string]any) { without(s, "Obligations") },
		"bare class": func(s map[string]any) {
			s["Services"] = []any{map[string]any{"Name": "x", "Effect": "safe", "HardLimit": 2000}}
		},
		"zeros": func(s map[string]any) {
			s["Limits"] = map[string]any{"MaxAttempts": 0, "ConnectTimeout": 0, "ConnIdle": 0, "StreamsPerConn": 0, "MostHeld": 0, "MaxRetryAfter": 0, "RetryAfter": true}
			s["Quantum"], s["OverShareWorth"] = 0, 0
		},
		"lists pushed": func(s map[string]any) { s["RegistryMode"] = "pushed" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var classes []policy.Class
			f := startFleetWith(t, 256, change, startNode(t, func(c command) {
				if strings.HasPrefix(c.line, "ms") {
					c.answer("HD O%s c7\r\n", c.id)
				} else {
					c.serve()
				}
			}))
			classes = f.server.config.Policy.Classes
			u := f.connect()
			for i, c := range classes {
				// Each verb in each class: the effect is the class's.
				for _, ask := range []struct{ line, want string }{
					{"mg k%[1]s v O%[1]s Pc=%[2]s,t=shops,k=%[1]s\r\n", "VA 2 O"}, {"ms k%[1]s 2 O%[1]s Pc=%[2]s,t=shops,k=%[1]s\r\nhi\r\n", "HD O"}} {
					for try := 0; ; try++ { // one may be late on a busy machine
						id := fmt.Sprintf("i%d.%s%d", i, ask.want[:1], try)
						u.send(ask.line, id, c.Name)
						got := u.line()
						if got == ask.want+id || got == ask.want+id+" c7" {
							if ask.want[0] == 'V' {
								u.expect("hi")
							}
							break
						}
						if try == 20 || !strings.HasPrefix(got, "SERVER_ERROR") {
							t.Fatalf("class %s: answered %q", c.Name, got)
						}
					}
				}
			}
		})
	}
}

// TestSettingsThatCannotBeServed guards against a start with settings that make no sense: each is an error of one line.
func TestSettingsThatCannotBeServed(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	service := func(key string, value any) func(map[string]any) {
		return func(s map[string]any) { s["Services"].([]any)[0].(map[string]any)[key] = value }
	}
	limit := func(key string, value any) func(map[string]any) {
		return func(s map[string]any) { s["Limits"].(map[string]any)[key] = value }
	}
	for name, change := range map[string]func(settings map[string]any){
		"no class":           func(s map[string]any) { s["Services"] = []any{} },
		"no deadline":        service("HardLimit", 0),
		"negative deadline":  service("HardLimit", -5),
		"endless deadline":   service("HardLimit", 1e300),
		"no effect":          service("Effect", ""),
		"other effect":       service("Effect", "mostly"),
		"other scope":        service("DedupScope", "street"),
		"negative window":    service("Window", -1),
		"two of a name":      service("Name", "put"),
		"name is no text":    service("Name", 7),
		"zone out of range":  func(s map[string]any) { s["MyZone"] = 9 },
		"two of a tenant":    func(s map[string]any) { s["Realms"] = []any{map[string]any{"Name": "x"}, map[string]any{"Name": "x"}} },
		"negative attempts":  limit("MaxAttempts", -1),
		"negative time-out":  limit("ConnectTimeout", -1),
		"negative streams":   limit("StreamsPerConn", -1),
		"half a connection":  limit("StreamsPerConn", 0.5),
		"limits are no list": func(s map[string]any) { s["Limits"] = []any{} },
	} {
		var settings map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		change(settings)
		_, err := readConfig(t, map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "known": nil,
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": settings})
		if err == nil {
			_, err = policy.New(settingsOf(t, settings), 1)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// settingsOf reads settings as a start does.
func settingsOf(t *testing.T, settings map[string]any) policy.Settings {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	set, err := simwire.ParseSettings(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return set
}
