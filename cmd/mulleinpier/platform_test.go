package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/scriptednode"
)

// startPlatformProgramWith starts the program as the platform does, with count scripted nodes and one class for each
// effect, whose deadline is given in milliseconds. It returns the lines of the program's log.
func startPlatformProgramWith(
	t *testing.T, nodes *scriptednode.Nodes, count, deadline int,
) (cmd *exec.Cmd, lines <-chan string) {
	t.Helper()
	text, err := os.ReadFile("../../internal/proxy/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		t.Fatal(err)
	}
	var classes []any
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		classes = append(classes, map[string]any{
			"Name": effect, "Effect": effect, "DedupScope": "all", "Aim": 300, "HardLimit": deadline, "Window": 400,
			"Importance": 1, "LateShare": 0.3,
		})
	}
	settings["Services"], settings["RegistryMode"] = classes, "pushed"
	config, err := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    "127.0.0.1:0",
		"discovery": startEndpointList(t, nodes, count),
		"seed":      "1f",
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
		"settings":  settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	replaceFile(t, path, config)
	return startPlatformProgram(t, path)
}

// startEndpointList starts a service for the endpoint list of scripted nodes, and returns its address.
func startEndpointList(t *testing.T, nodes *scriptednode.Nodes, count int) string {
	t.Helper()
	var entries []endpointlist.Entry
	for i := range count {
		entries = append(entries, endpointlist.Entry{
			Name: fmt.Sprint("n", i), Address: nodes.Address(i), Status: "up", Weight: 1,
		})
	}
	service := endpointlist.New(entries)
	t.Cleanup(service.Close)
	address, err := service.Open(0)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestLogLevelFromEnvironment checks that the log level is read from its environment variable, or from the variable's
// former name if that one is unset, and is info if it is invalid.
func TestLogLevelFromEnvironment(t *testing.T) {
	for _, c := range []struct {
		name       string
		env        map[string]string
		want       slog.Level
		deprecated int
	}{
		{"neither", nil, slog.LevelInfo, 0},
		{"present name", map[string]string{levelVariable: "debug"}, slog.LevelDebug, 0},
		{"former name", map[string]string{formerLevelVariable: "warn"}, slog.LevelWarn, 1},
		{"both", map[string]string{levelVariable: "error", formerLevelVariable: "debug"}, slog.LevelError, 0},
		{"no level", map[string]string{levelVariable: "loud"}, slog.LevelInfo, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			level, deprecated := logLevel(func(name string) string { return c.env[name] })
			if level != c.want || len(deprecated) != c.deprecated {
				t.Errorf("level %v with deprecated %v, want %v with %d", level, deprecated, c.want, c.deprecated)
			}
		})
	}
}
