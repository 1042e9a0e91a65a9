package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

const (
	crowdSize       = 400 // clients that are connected at once
	crowdTime       = 4 * time.Second
	crowdMemoryMB   = 32
	crowdValueBytes = 64 << 10
)

// crowdClients are the ways in which the clients of a crowd use their connections, until these end.
var crowdClients = map[string]func(id string, socket net.Conn){
	"stops half way through a large write": func(id string, socket net.Conn) {
		half := make([]byte, crowdValueBytes/2)
		fmt.Fprintf(socket, "ms k %d O%s Pc=write,k=%s\r\n%s", crowdValueBytes, id, id, half)
		io.Copy(io.Discard, socket)
	},
	"writes a head slowly": func(id string, socket net.Conn) {
		fmt.Fprintf(socket, "mg k v O%s Pc=read", id)
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(socket, ",f%d=1", i); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	},
	"sends heads of many fields": func(id string, socket net.Conn) {
		go io.Copy(io.Discard, socket)
		fields := strings.Repeat(",ab=1", 360)
		sendUntilEnd(socket, func(n int) string {
			return fmt.Sprintf("mg k%d v O%s-%d Pc=read%s\r\n", n%50, id, n, fields)
		})
	},
	"reads no answers": func(id string, socket net.Conn) {
		sendUntilEnd(socket, func(n int) string { return fmt.Sprintf("mg k%d v O%s-%d Pc=read\r\n", n%50, id, n) })
	},
}

func sendUntilEnd(socket net.Conn, command func(n int) string) {
	for n := 0; ; n++ {
		if _, err := io.WriteString(socket, command(n)); err != nil {
			return
		}
	}
}

// TestCrowdStaysWithinMemoryLimit guards against a process that passes its memory limit, and is killed, when hundreds
// of clients are connected at once and write slowly, stop half way, send heads of many fields or read no answers. The
// process is built without the race detector, which multiplies the memory.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mulleinpier")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, use := range crowdClients {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t, node.Config{ValueSize: crowdValueBytes})
			d.configure(fmt.Sprintf("limits.memory_mb = %d\nlimits.sockets = 1024\n", crowdMemoryMB))
			d.process = exec.Command(program, "serve", "--config", d.path)
			d.process.Env = append(os.Environ(), "GW_CONFIG=")
			d.run()
			testutil.WaitUntil(t, "the listener", func() bool { return isListening(d.address) })
			d.runCrowd(use)
			peak := peakResidentMB(t, d.process.Process.Pid)
			t.Logf("peak %.1f MB of %d", peak, crowdMemoryMB)
			if peak > crowdMemoryMB {
				t.Errorf("the process took %.1f MB, %d are allowed", peak, crowdMemoryMB)
			}
		})
	}
}

// runCrowd has all clients of a crowd use connections for crowdTime. They open a new one when one ends.
func (d *testDaemon) runCrowd(use func(id string, socket net.Conn)) {
	end := time.Now().Add(crowdTime)
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range crowdSize {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				socket, err := net.DialTimeout("tcp", d.address, time.Until(end))
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				socket.SetDeadline(end)
				use(fmt.Sprintf("c%d-%d", i, n), socket)
				socket.Close()
			}
		})
	}
}

func isListening(address string) bool {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	socket.Close()
	return true
}

// peakResidentMB returns the most memory that a running process has had resident.
func peakResidentMB(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the process has ended")
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return float64(kilobytes) / 1024
}
