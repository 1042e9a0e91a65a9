package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// newHost is a loopback address that no connection goes out from and no other fleet listens at: while a proxy is down,
// no other socket can take its port by chance.
func newHost() string {
	pid, n := os.Getpid(), int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n%250)
}

var hostCount atomic.Int64

// portReserver reserves ports of a host, each once: the kernel may deal a port again as soon as it is closed.
type portReserver struct {
	host     string
	reserved map[string]bool // addresses
}

func newPortReserver() *portReserver {
	return &portReserver{host: newHost(), reserved: make(map[string]bool)}
}

// reserve opens an address that was not reserved before. Its caller closes it for what is to listen there.
func (p *portReserver) reserve() (net.Listener, error) {
	var again []net.Listener // closed only after another one was found
	defer func() {
		for _, l := range again {
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
		again = append(again, l)
	}
}
