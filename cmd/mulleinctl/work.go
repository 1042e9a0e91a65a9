package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/takeover/coordinator"
)

// workCommand tells of works in hand.
type workCommand struct {
	List workListCommand `cmd:"" help:"List the works that a proxy holds, the unknown ones first."`
}

type workListCommand struct {
	At     string        `required:"" help:"Where the proxy takes works (peers.listen), host:port."`
	JSON   bool          `help:"As JSON."`
	Within time.Duration `default:"2s" help:"How long to wait."`
}

func (c *workListCommand) run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.At+coordinator.WritesPath, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", c.At, response.Status)
	}
	var list []takeover.WriteStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, rpc.MaxBodyBytes)).Decode(&list); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(list)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "work\tstate\towner\tnumber\towners\tsince\treceipt")
	for _, h := range list {
		fmt.Fprintf(w, "%q\t%s\t%s\t%d\t%d\t%v\t%s\n", h.ID, h.State, h.Owner, h.Epoch, h.OwnerCount, h.Age.Round(time.Millisecond), h.Receipt)
	}
	return w.Flush()
}
