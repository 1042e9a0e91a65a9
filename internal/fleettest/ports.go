package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// newHost returns a loopback address that no outgoing connection uses and no other fleet listens on, so that no other
// socket can be given the port of a proxy that is down.
func newHost() string {
	pid, n := os.Getpid(), int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n%250)
}

var hostCount atomic.Int64

// portReserver reserves ports of a host, and never the same port twice, although the kernel may assign a port again as
// soon as its listener is closed.
type portReserver struct {
	host     string
	reserved map[string]bool // by address
}

func newPortReserver() *portReserver {
	return &portReserver{host: newHost(), reserved: make(map[string]bool)}
}

// reserve opens a listener at an address that was not reserved before. The caller closes the listener before the owner
// of the address listens at it.
func (p *portReserver) reserve() (net.Listener, error) {
	var rejected []net.Listener // open until a new address is found, so the kernel does not assign theirs again
	defer func() {
		for _, l := range rejected {
			l.Close()
		}
	}()
	for {
		l, err := net.Listen("tcp", p.host+":0")
		if err != nil {
			return nil, err
		}
		address := l.Addr().String()
		if !p.reserved[address] {
			p.reserved[address] = true
			return l, nil
		}
		rejected = append(rejected, l)
	}
}
