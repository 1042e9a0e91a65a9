package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/socket"
	"mulleinpier/internal/testutil"
)

// upperEcho is a dialect whose commands are lines; each is answered immediately with the same line in upper case.
type upperEcho struct{ conn *Conn }

func (e upperEcho) ServeCommand() (bool, error) {
	line, err := e.conn.In.ReadSlice('\n')
	if err == nil {
		e.conn.AddSlot(new(Slot)).Finish([]byte(strings.ToUpper(string(line))))
	}
	return false, err
}

func (e upperEcho) TimeoutAnswer() []byte { return nil }

// connectedClient returns a client connection that is not served yet, and the client's end of it.
func connectedClient(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	host := &Host{
		Core:         new(core.Core),
		BodyBudget:   NewBudget(1 << 20),
		AnswerBudget: NewBudget(1 << 20),
		NewSession:   func(c *Conn, _ byte) Session { return upperEcho{c} },
	}
	return New(host, accepted.(*net.TCPConn), host.Core.Now()), client.(*net.TCPConn)
}

// markGoneForTest stops the writer of a connection on which Serve does not run.
func markGoneForTest(c *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markGone("test ends")
}

// TestUnreadCommandIsNotIdle checks that a connection is not closed while a command on it has arrived but is unread, as
// happens in a process that was not scheduled for a while: closing never loses a command that has arrived (invariant
// 1).
func TestUnreadCommandIsNotIdle(t *testing.T) {
	c, client := connectedClient(t)
	fmt.Fprint(client, "mn\r\n")
	testutil.WaitUntil(t, "the command to arrive", func() bool { return socket.Readable(c.socket) })
	c.CloseIdle()
	if got := c.prepareNextCommand(); got != keepReading || c.closeIfIdle {
		t.Errorf("idle, with a command unread: decided %d, want %d", got, keepReading)
	}
	c.Drain()
	if got := c.prepareNextCommand(); got != keepReading {
		t.Errorf("draining, with a command unread: decided %d, want %d", got, keepReading)
	}
}

// TestCommandBeingReadIsNotIdle checks that a command that the reader has read from the socket just before the
// connection is closed as idle or drained is still answered: closing never loses a command that has arrived (invariant
// 1). The reader is then waiting for the connection's lock or for the core.
func TestCommandBeingReadIsNotIdle(t *testing.T) {
	for name, end := range map[string]func(*Conn){"idle": (*Conn).CloseIdle, "drain": (*Conn).Drain} {
		t.Run(name, func(t *testing.T) { testCommandBeingRead(t, end) })
	}
}

// testCommandBeingRead sends commands until the reader has read one just before end is applied to the connection.
func testCommandBeingRead(t *testing.T, end func(*Conn)) {
	c, client := connectedClient(t)
	served, ended := make(chan bool, 1), make(chan bool, 1)
	go func() {
		c.Serve()
		served <- true
	}()
	in := bufio.NewReader(client)
	client.SetDeadline(time.Now().Add(testutil.Timeout))
	expectAnswer := func() {
		if line, err := in.ReadString('\n'); line != "MN\r\n" {
			t.Errorf("answered %q, %v", line, err)
		}
	}
	fmt.Fprint(client, "mn\r\n")
	expectAnswer()
	for readBefore := false; !readBefore; {
		c.mu.Lock()
		go func() {
			end(c)
			ended <- true
		}()
		fmt.Fprint(client, "mn\r\n")
		for range 100 {
			if readBefore = !socket.Readable(c.socket); readBefore {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.mu.Unlock()
		expectAnswer()
		testutil.Receive(t, "the end to be requested", ended)
		if c.draining { // a drain can't be undone for another try
			break
		}
	}
	client.Close()
	testutil.Receive(t, "the end of the connection", served)
}

// TestFirstCommandInDrainIsAnswered checks that a client that is slow to send its first command on a connection
// accepted during a drain gets an answer. Closing the connection while the command is on its way would lose it.
func TestFirstCommandInDrainIsAnswered(t *testing.T) {
	c, client := connectedClient(t)
	c.openedAt = time.Now().Add(testutil.Timeout) // extends firstCommandGrace, so that a busy machine can't exceed it
	served := make(chan bool, 1)
	go func() {
		c.Serve()
		served <- true
	}()
	c.Drain()
	time.Sleep(2 * drainGrace)
	fmt.Fprint(client, "mn\r\n")
	client.SetDeadline(time.Now().Add(testutil.Timeout))
	in := bufio.NewReader(client)
	if line, err := in.ReadString('\n'); line != "MN\r\n" {
		t.Errorf("answered %q, %v", line, err)
	}
	if line, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("after the answer: %q, %v, want the end", line, err)
	}
	client.Close()
	testutil.Receive(t, "the end of the connection", served)
}

// TestEndReadingAnswersWhatWasRead guards against lost commands at the end of a drain: those that were read before
// [Conn.EndReading] are answered, and the connection is reset if others are unread, so that its client knows of them.
func TestEndReadingAnswersWhatWasRead(t *testing.T) {
	c, client := connectedClient(t)
	inCommand, proceed := make(chan bool, 1), make(chan bool, 1)
	c.host.NewSession = func(c *Conn, _ byte) Session {
		inCommand <- true
		<-proceed
		return upperEcho{c}
	}
	fmt.Fprint(client, "a\r\nb\r\nunfi")
	testutil.WaitUntil(t, "the commands to arrive", func() bool { return socket.Readable(c.socket) })
	served := make(chan bool, 1)
	go func() {
		c.Serve()
		served <- true
	}()
	testutil.Receive(t, "the first command", inCommand)
	c.Drain()
	c.EndReading()
	fmt.Fprint(client, "nished\r\nd\r\n")
	proceed <- true
	client.SetDeadline(time.Now().Add(testutil.Timeout))
	got, err := io.ReadAll(client)
	if string(got) != "A\r\nB\r\n" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("received %q, %v, want two answers and a reset", got, err)
	}
	testutil.Receive(t, "the end of the connection", served)
}

// TestAnswerBeingWrittenIsNotIdle checks that a connection whose answer is being written is not closed as idle, even
// if it had been idle for long before the command.
func TestAnswerBeingWrittenIsNotIdle(t *testing.T) {
	c, client := connectedClient(t)
	c.lastAnswerAt = time.Now().Add(-time.Hour)
	c.socket.SetWriteBuffer(4 << 10)
	client.SetReadBuffer(64 << 10)
	slot := c.AddSlot(new(Slot))
	writerEnded := make(chan bool, 1)
	go func() {
		c.writeAnswers()
		writerEnded <- true
	}()
	value := strings.Repeat("v", 1<<19)
	slot.Finish([]byte(value))
	testutil.WaitUntil(t, "the answer to be written", func() bool { return !c.WriteBlockedSince().IsZero() })
	if _, idle := c.IdleSince(); idle {
		t.Error("a connection whose answer is being written counts as idle")
	}
	c.CloseIdle()
	if c.closeIfIdle {
		t.Error("a connection whose answer is being written is to be closed")
	}
	got := make([]byte, len(value))
	client.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if n, err := io.ReadFull(client, got); err != nil {
		t.Errorf("%d bytes of the answer arrived: %v", n, err)
	}
	testutil.WaitUntil(t, "the write to end", func() bool { return c.WriteBlockedSince().IsZero() })
	markGoneForTest(c)
	testutil.Receive(t, "the writer's end", writerEnded)
}
