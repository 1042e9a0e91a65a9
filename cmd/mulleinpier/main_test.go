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

// waitTimeout bounds each wait in these tests. No result depends on how long a wait takes.
const waitTimeout = 30 * time.Second

// TestMain runs the program instead of the tests if MULLEINPIER_RUN is 1, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("MULLEINPIER_RUN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startDiscovery starts a discovery service with an empty list. The service sends on the channel watched for each
// request that it receives.
func startDiscovery(t *testing.T) (address string, watched <-chan struct{}) {
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
	text, err := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    listen,
		"discovery": discovery,
		"seed":      "1f",
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":     map[string]any{"index": 1, "snapshot": true, "endpoints": []any{}},
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, text)
}

// replaceFile replaces a file by renaming a new one into place.
func replaceFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// startPlatformProgram starts the program as the platform does: without a command, with GW_CONFIG set. It returns the
// lines of the program's log.
func startPlatformProgram(t *testing.T, config string) (*exec.Cmd, <-chan string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	// By default the race detector's runtime sleeps for a second before a process exits; tests measure the exit time.
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

// waitLine waits for a line of the log that contains part, and returns it.
func waitLine(t *testing.T, lines <-chan string, part string) string {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				t.Fatalf("the program exited before it logged %q", part)
			}
			if strings.Contains(line, part) {
				return line
			}
		case <-timeout:
			t.Fatalf("no line with %q", part)
		}
	}
}

// waitWatched waits until a discovery service receives a request.
func waitWatched(t *testing.T, watched <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-watched:
	case <-time.After(waitTimeout):
		t.Fatalf("%s was not watched", what)
	}
}

// TestHangupChangesDiscovery checks that a reload changes the address of the discovery service while the program keeps
// serving, and that a reload with an invalid file fails.
func TestHangupChangesDiscovery(t *testing.T) {
	first, firstWatched := startDiscovery(t)
	second, secondWatched := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:0", first)
	cmd, lines := startPlatformProgram(t, path)
	line := waitLine(t, lines, "listener opened")
	_, address, _ := strings.Cut(line, "address=")
	waitWatched(t, firstWatched, "the first address")

	replaceFile(t, path, []byte(`{"name":`))
	cmd.Process.Signal(syscall.SIGHUP)
	waitLine(t, lines, "configuration reload failed")

	writeConfig(t, path, "127.0.0.1:0", second)
	cmd.Process.Signal(syscall.SIGHUP)
	waitWatched(t, secondWatched, "the second address")

	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(waitTimeout))
	io.WriteString(socket, "mn\r\n")
	if response, err := bufio.NewReader(socket).ReadString('\n'); response != "MN\r\n" {
		t.Errorf("after the reloads mn got %q, %v", response, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	waitLine(t, lines, "drain completed")
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// TestFailedPlatformStartNamesCause checks that a start with an invalid platform configuration fails, with an error
// that names the invalid key.
func TestFailedPlatformStartNamesCause(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replaceFile(t, path, []byte(`{"name":"n1","listen":"nowhere"}`))
	cmd, lines := startPlatformProgram(t, path)
	waitLine(t, lines, "mulleinpier: GW_CONFIG: listen")
	if err := cmd.Wait(); err == nil {
		t.Error("a failed start exited with success")
	}
}

// TestTerminationDuringPlatformStart checks that the program can be terminated during its start: the signal arrives 0
// to 80 ms after the start, while the discovery service accepts connections but does not respond.
func TestTerminationDuringPlatformStart(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for _, millis := range []time.Duration{0, 1, 5, 20, 80} {
		after := millis * time.Millisecond
		t.Run(after.String(), func(t *testing.T) { expectTerminationDuringStart(t, silent.Addr().String(), after) })
	}
}

// expectTerminationDuringStart terminates the program at the duration after its start. The program must exit with
// success or be ended by the signal.
func expectTerminationDuringStart(t *testing.T, discovery string, after time.Duration) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:0", discovery)
	cmd, lines := startPlatformProgram(t, path)
	time.Sleep(after)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitLogEnd(t, lines)
	err := cmd.Wait()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	endedBySignal := ok && status.Signaled() && status.Signal() == syscall.SIGTERM
	if err != nil && !endedBySignal {
		t.Errorf("exited with %v", err)
	}
}

// waitLogEnd waits until the program closes its log.
func waitLogEnd(t *testing.T, lines <-chan string) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case _, ok := <-lines:
			if !ok {
				return
			}
		case <-timeout:
			t.Fatal("the signal did not end the program")
		}
	}
}
