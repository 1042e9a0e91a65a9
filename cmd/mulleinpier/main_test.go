package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience bounds each wait of these tests; none of them depends on its length.
const patience = 30 * time.Second

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("MULLEINPIER_RUN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// registry is a discovery service that tells when it is watched.
func registry(t *testing.T) (address string, watched <-chan struct{}) {
	t.Helper()
	calls := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[]}`+"\n")
		w.(http.Flusher).Flush()
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func writeConfig(t *testing.T, path, listen, discovery string) {
	t.Helper()
	settings, err := os.ReadFile("../../internal/proxy/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": listen, "discovery": discovery, "seed": "1f",
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":    map[string]any{"index": 1, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	replace(t, path, text)
}

func replace(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// program starts the program and returns it with the lines of its log.
func program(t *testing.T, config string) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	// The race detector's runtime sleeps for a second before a process exits: tests time the end.
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG="+config, "GORACE=atexit_sleep_ms=0")
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
	}()
	return cmd, lines
}

func waitLine(t *testing.T, lines <-chan string, part string) string {
	t.Helper()
	late := time.After(patience)
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				t.Fatalf("the program ended before it logged %q", part)
			}
			if strings.Contains(line, part) {
				return line
			}
		case <-late:
			t.Fatalf("no line with %q", part)
		}
	}
}

func waitCall(t *testing.T, calls <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-calls:
	case <-time.After(patience):
		t.Fatalf("%s was not watched", what)
	}
}

// TestHangupMovesDiscovery guards against a reload that ends the program, that
// heeds the old address, or that puts a bad file into force.
func TestHangupMovesDiscovery(t *testing.T) {
	first, firstWatched := registry(t)
	second, secondWatched := registry(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:0", first)
	cmd, lines := program(t, path)
	line := waitLine(t, lines, "listener opened")
	_, address, _ := strings.Cut(line, "address=")
	waitCall(t, firstWatched, "the first address")

	replace(t, path, []byte(`{"name":`))
	cmd.Process.Signal(syscall.SIGHUP)
	waitLine(t, lines, "configuration reload failed")

	writeConfig(t, path, "127.0.0.1:0", second)
	cmd.Process.Signal(syscall.SIGHUP)
	waitCall(t, secondWatched, "the second address")

	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(patience))
	io.WriteString(socket, "mn\r\n")
	if answer, err := bufio.NewReader(socket).ReadString('\n'); answer != "MN\r\n" {
		t.Errorf("after the reloads mn was answered %q, %v", answer, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	waitLine(t, lines, "drain completed")
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// TestBadStartSaysWhy guards against a start that fails without a clear word.
func TestBadStartSaysWhy(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replace(t, path, []byte(`{"name":"n1","listen":"nowhere"}`))
	cmd, lines := program(t, path)
	waitLine(t, lines, "mulleinpier: GW_CONFIG: listen")
	if err := cmd.Wait(); err == nil {
		t.Error("a bad start exited with zero")
	}
}

// TestTerminationDuringTheStart guards against a start that can't be ended: the signal comes at
// any moment of it, while discovery takes calls and answers none.
func TestTerminationDuringTheStart(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, path, "127.0.0.1:0", silent.Addr().String())
		cmd, lines := program(t, path)
		time.Sleep(after)
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range lines { // until the program has closed its end
			}
		}()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatalf("a signal %v after the start did not end it", after)
		}
		err := cmd.Wait()
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); err != nil && !(ok && status.Signaled() && status.Signal() == syscall.SIGTERM) {
			t.Errorf("a signal %v after the start: %v", after, err)
		}
	}
}
