package sdnotify

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func environment(pairs ...string) func(string) string {
	return func(name string) string {
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] == name {
				return pairs[i+1]
			}
		}
		return ""
	}
}

func TestMessagesReachTheManager(t *testing.T) {
	for _, name := range []string{filepath.Join(t.TempDir(), "notify"), "@mulleinpier-test-" + strconv.Itoa(os.Getpid())} {
		socket, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: name, Net: "unixgram"})
		if err != nil {
			t.Fatal(err)
		}
		m, err := FromEnvironment(environment("NOTIFY_SOCKET", name, "WATCHDOG_USEC", "30000"))
		if err != nil {
			t.Fatal(err)
		}
		if m.WatchdogInterval != 30*time.Millisecond {
			t.Errorf("watchdog %v", m.WatchdogInterval)
		}
		for _, text := range []string{Ready, Reloading(), Stopping, WatchdogPing, Status("well")} {
			if err := m.Notify(text); err != nil {
				t.Fatal(err)
			}
			buf := make([]byte, 100)
			socket.SetReadDeadline(time.Now().Add(30 * time.Second))
			n, err := socket.Read(buf)
			if err != nil || string(buf[:n]) != text {
				t.Errorf("heard %q, %v, want %q", buf[:n], err, text)
			}
		}
		socket.Close()
		if m.Notify(Ready) == nil {
			t.Error("a manager that is gone was told")
		}
	}
	if !strings.HasPrefix(Reloading(), "RELOADING=1\nMONOTONIC_USEC=") {
		t.Errorf("reloading is told as %q", Reloading())
	}
}

func TestNoManagerIsToldNothing(t *testing.T) {
	m, err := FromEnvironment(environment("WATCHDOG_USEC", "1"))
	if err != nil || m.WatchdogInterval != 0 || m.Notify(Ready) != nil {
		t.Errorf("without a manager: %+v, %v", m, err)
	}
}

func TestBadEnvironmentIsRefused(t *testing.T) {
	for _, e := range [][]string{{"NOTIFY_SOCKET", "here"}, {"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "0"},
		{"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "-1"}, {"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "often"}} {
		if _, err := FromEnvironment(environment(e...)); err == nil {
			t.Errorf("taken: %q", e)
		}
	}
	own := strconv.Itoa(os.Getpid())
	if _, err := Listener(environment("LISTEN_PID", own, "LISTEN_FDS", "2")); err == nil {
		t.Error("two sockets were taken")
	}
	for _, e := range [][]string{{}, {"LISTEN_FDS", "1"}, {"LISTEN_FDS", "1", "LISTEN_PID", own + "1"}} {
		if l, err := Listener(environment(e...)); l != nil || err != nil {
			t.Errorf("%q: %v, %v", e, l, err)
		}
	}
}

// TestWatchdogOfAnotherProcess guards against a sign of life that was asked of
// the parent.
func TestWatchdogOfAnotherProcess(t *testing.T) {
	m, err := FromEnvironment(environment("NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "1", "WATCHDOG_PID", "1"))
	if err != nil || m.WatchdogInterval != 0 {
		t.Errorf("watchdog %v, %v", m.WatchdogInterval, err)
	}
}
