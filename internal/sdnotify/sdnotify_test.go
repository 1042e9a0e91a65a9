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

// environment returns a getenv function for pairs, a list of alternating names and values.
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

func TestMessagesReachManager(t *testing.T) {
	for name, address := range map[string]string{
		"path":     filepath.Join(t.TempDir(), "notify"),
		"abstract": "@mulleinpier-test-" + strconv.Itoa(os.Getpid()),
	} {
		t.Run(name, func(t *testing.T) { expectMessagesAt(t, address) })
	}
	if !strings.HasPrefix(Reloading(), "RELOADING=1\nMONOTONIC_USEC=") {
		t.Errorf("got the reload message %q", Reloading())
	}
}

func expectMessagesAt(t *testing.T, address string) {
	t.Helper()
	socket, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: address, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	n, err := FromEnvironment(environment("NOTIFY_SOCKET", address, "WATCHDOG_USEC", "30000"))
	if err != nil {
		t.Fatal(err)
	}
	if n.WatchdogInterval != 30*time.Millisecond {
		t.Errorf("watchdog interval %v", n.WatchdogInterval)
	}
	for _, message := range []string{Ready, Reloading(), Stopping, WatchdogPing, Status("well")} {
		if err := n.Notify(message); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 100)
		socket.SetReadDeadline(time.Now().Add(30 * time.Second))
		length, err := socket.Read(buffer)
		if err != nil || string(buffer[:length]) != message {
			t.Errorf("received %q, %v, want %q", buffer[:length], err, message)
		}
	}
	socket.Close()
	if n.Notify(Ready) == nil {
		t.Error("notifying a manager whose socket is closed succeeded")
	}
}

func TestNoManagerIsNotNotified(t *testing.T) {
	n, err := FromEnvironment(environment("WATCHDOG_USEC", "1"))
	if err != nil || n.WatchdogInterval != 0 || n.Notify(Ready) != nil {
		t.Errorf("without a manager: %+v, %v", n, err)
	}
}

func TestInvalidEnvironmentIsRejected(t *testing.T) {
	for _, e := range [][]string{
		{"NOTIFY_SOCKET", "here"},
		{"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "0"},
		{"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "-1"},
		{"NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "often"},
	} {
		if _, err := FromEnvironment(environment(e...)); err == nil {
			t.Errorf("accepted: %q", e)
		}
	}
	own := strconv.Itoa(os.Getpid())
	if _, err := Listener(environment("LISTEN_PID", own, "LISTEN_FDS", "2")); err == nil {
		t.Error("two passed sockets were accepted")
	}
	for _, e := range [][]string{{}, {"LISTEN_FDS", "1"}, {"LISTEN_FDS", "1", "LISTEN_PID", own + "1"}} {
		if l, err := Listener(environment(e...)); l != nil || err != nil {
			t.Errorf("%q: %v, %v", e, l, err)
		}
	}
}

// TestWatchdogOfAnotherProcess checks that a watchdog that the manager set up for another process, such as the parent,
// is ignored.
func TestWatchdogOfAnotherProcess(t *testing.T) {
	n, err := FromEnvironment(environment("NOTIFY_SOCKET", "/x", "WATCHDOG_USEC", "1", "WATCHDOG_PID", "1"))
	if err != nil || n.WatchdogInterval != 0 {
		t.Errorf("watchdog interval %v, %v", n.WatchdogInterval, err)
	}
}
