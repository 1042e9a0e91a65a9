package link

import (
	"io"
	"net"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestDeliversAfterACut checks that what is sent during a cut arrives once the network is restored, followed by the end
// of the connection, and that nothing arrives if the sender has reset the connection meanwhile.
func TestDeliversAfterACut(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want string
	}{
		"closed": {func(c *net.TCPConn) { c.Close() }, "before during"},
		"reset":  {reset, "before "},
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.Listen(t)
			l, err := Start(server.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(client, "before ")
			accepted, err := server.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			accepted.SetDeadline(time.Now().Add(testutil.Timeout))
			received := make([]byte, len("before "))
			if _, err := io.ReadFull(accepted, received); err != nil {
				t.Fatal(err)
			}
			l.Cut()
			io.WriteString(client, "during")
			accepted.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := accepted.Read(make([]byte, 1)); n > 0 {
				t.Fatal("delivered during the cut")
			}
			c.end(client.(*net.TCPConn))
			l.Restore()
			accepted.SetReadDeadline(time.Now().Add(testutil.Timeout))
			rest, _ := io.ReadAll(accepted)
			if got := string(received) + string(rest); got != c.want {
				t.Fatalf("received %q, want %q", got, c.want)
			}
		})
	}
}
