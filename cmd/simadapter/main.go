// Command simadapter hosts one balancer for each instance of the simulator's wire,
// read from standard input and answered on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"mulleinpier/internal/simwire"
	"mulleinpier/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one write to out.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	instances := make(map[string]*policy.Balancer)
	var reply simwire.Reply
	var actions []policy.Action
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		for _, item := range batch.Items {
			switch {
			case item.Stop:
				delete(instances, item.Instance)
			case item.Start != nil:
				b, err := start(item.Start)
				if err != nil {
					reply.AddFailure(item.Instance, err.Error())
					continue
				}
				instances[item.Instance] = b
			case instances[item.Instance] != nil:
				actions = instances[item.Instance].Handle(batch.Now, item.Event, actions[:0])
				reply.AddActions(item.Instance, actions)
			}
		}
		if _, err := out.Write(reply.Finish(batch.Sequence)); err != nil {
			return err
		}
	}
}

func start(s *simwire.Start) (*policy.Balancer, error) {
	if s.Err != nil {
		return nil, s.Err
	}
	return policy.New(s.Settings, s.Seed)
}
