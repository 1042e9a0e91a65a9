// Command simadapter hosts one balancer for each instance of the simulator's line protocol, which it reads from
// standard input and answers on standard output. If its input is invalid, it prints an error on standard error and
// exits with code 1.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"mulleinpier/internal/simwire"
	"mulleinpier/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch that it reads from in with one write to out, until in ends.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	a := adapter{balancers: make(map[string]*policy.Balancer)}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(a.answer(batch)); err != nil {
			return err
		}
	}
}

// adapter holds the balancers of all instances, and the buffers that are reused for each batch.
type adapter struct {
	balancers map[string]*policy.Balancer
	reply     simwire.Reply
	actions   []policy.Action
}

// answer returns the reply to a batch. The reply is valid until the next call.
func (a *adapter) answer(batch *simwire.Batch) []byte {
	a.reply.Reset()
	for i := range batch.Items {
		a.handle(batch.Now, &batch.Items[i])
	}
	return a.reply.Finish(batch.Sequence)
}

// handle starts or stops an instance, or passes an event to it. It ignores events for instances that do not run.
func (a *adapter) handle(now time.Duration, item *simwire.Item) {
	switch {
	case item.Stop:
		delete(a.balancers, item.Instance)
	case item.Start != nil:
		b, err := newBalancer(item.Start)
		if err != nil {
			a.reply.AddFailure(item.Instance, err.Error())
			return
		}
		a.balancers[item.Instance] = b
	case a.balancers[item.Instance] != nil:
		a.actions = a.balancers[item.Instance].Handle(now, item.Event, a.actions[:0])
		a.reply.AddActions(item.Instance, a.actions)
	}
}

func newBalancer(start *simwire.Start) (*policy.Balancer, error) {
	if start.Err != nil {
		return nil, start.Err
	}
	return policy.New(start.Settings, start.Seed)
}
