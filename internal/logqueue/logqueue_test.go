package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// output is a writer whose write function can be replaced.
type output func(data []byte) (int, error)

func (o output) Write(data []byte) (int, error) { return o(data) }

// line returns line i, of 100 bytes.
func line(i int) string { return fmt.Sprintf("%099d\n", i) }

// lines returns lines from up to, but not including, to.
func lines(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// TestWritesReturnWhileOutputIsBlocked checks that writes return while the output is blocked, that the queue keeps what
// fits, and that the number of dropped lines is reported at their place once the output accepts data again.
func TestWritesReturnWhileOutputIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got bytes.Buffer
		unblock := make(chan struct{})
		q := New(output(func(data []byte) (int, error) {
			<-unblock
			return got.Write(data)
		}))
		fmt.Fprint(q, line(0))
		synctest.Wait() // line 0 is being written
		const fit, dropped = maxQueuedBytes / 100, 17
		for i := range fit + dropped {
			fmt.Fprint(q, line(1+i))
		}
		if q.Close(time.Hour) {
			t.Error("closed while the output is blocked")
		}
		close(unblock)
		if !q.Close(time.Hour) {
			t.Error("not closed although the output accepts data")
		}
		if want := lines(0, 1+fit) + string(defaultReport(dropped)); got.String() != want {
			t.Errorf("wrote %d bytes, want %d", got.Len(), len(want))
		}
	})
}

// TestLinesContinueAfterDrops checks that a report stands between the lines before and after the dropped ones.
func TestLinesContinueAfterDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got bytes.Buffer
		allowed := make(chan struct{}, 10)
		q := New(output(func(data []byte) (int, error) {
			<-allowed
			return got.Write(data)
		}))
		q.SetReport(func(dropped int) []byte { return fmt.Appendf(nil, "%d dropped\n", dropped) })
		big := strings.Repeat("x", maxQueuedBytes-1) + "\n"
		for _, text := range []string{"first\n", big, "second\n", "third\n"} {
			synctest.Wait()
			fmt.Fprint(q, text)
		}
		allowed <- struct{}{} // first; then big leaves the queue, which accepts lines again
		synctest.Wait()
		fmt.Fprint(q, "fourth\n")
		close(allowed)
		q.Close(time.Hour)
		if want := "first\n" + big + "2 dropped\nfourth\n"; got.String() != want {
			t.Errorf("wrote %q after the big line", strings.TrimPrefix(got.String(), "first\n"+big))
		}
	})
}

// TestFailedWrites checks what is written to an output that fails as write(2) documents it.
func TestFailedWrites(t *testing.T) {
	type step struct {
		n   int // bytes accepted, or all if negative
		err error
	}
	const all = -1
	for name, c := range map[string]struct {
		steps []step // of the first writes; later ones succeed
		want  string
	}{
		"gone reader":      {[]step{{0, syscall.EPIPE}, {0, syscall.EPIPE}}, "2 dropped\nc\n"},
		"full, continued":  {[]step{{0, syscall.EAGAIN}, {1, syscall.EAGAIN}}, "a\nb\nc\n"},
		"short write":      {[]step{{1, nil}}, "a\nb\nc\n"},
		"gone at the end":  {[]step{{all, nil}, {all, nil}, {0, syscall.EPIPE}}, "a\nb\n1 dropped\n"},
		"disk full inside": {[]step{{1, syscall.ENOSPC}}, "a\n1 dropped\nb\nc\n"},
		"disk full later":  {[]step{{all, nil}, {0, syscall.ENOSPC}}, "a\n1 dropped\nc\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got bytes.Buffer
				writes := 0
				q := New(output(func(data []byte) (int, error) {
					s := step{n: all}
					if writes < len(c.steps) {
						s = c.steps[writes]
					}
					writes++
					if s.n == all {
						s.n = len(data)
					}
					got.Write(data[:s.n])
					return s.n, s.err
				}))
				q.SetReport(func(dropped int) []byte { return fmt.Appendf(nil, "%d dropped\n", dropped) })
				fmt.Fprint(q, "a\n")
				fmt.Fprint(q, "b\n")
				fmt.Fprint(q, "c\n")
				q.Close(time.Hour)
				if got.String() != c.want {
					t.Errorf("wrote %q, want %q", got.String(), c.want)
				}
			})
		})
	}
}

// BenchmarkWrite measures a write to an output that accepts everything.
func BenchmarkWrite(b *testing.B) {
	q := New(io.Discard)
	text := []byte(line(1))
	for b.Loop() {
		q.Write(text)
	}
	q.Close(time.Second)
}
