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
	"mulleinpier/internal/readlimit"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/takeover/coordinator"
)

// workCommand has the verbs that show the writes that a proxy has recorded.
type workCommand struct {
	List workListCommand `cmd:"" help:"List the writes that a proxy has recorded, those with unknown outcomes first."`
}

type workListCommand struct {
	At     string        `required:"" help:"Address on which the proxy listens for peers (peers.listen), host:port."`
	JSON   bool          `help:"Print JSON."`
	Within time.Duration `default:"2s" help:"Timeout of the request."`
}

func (c *workListCommand) run(ctx context.Context, out io.Writer) error {
	writes, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(writes)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "work\tstate\towner\tnumber\towners\tsince\treceipt")
	for _, x := range writes {
		fmt.Fprintf(w, "%q\t%s\t%s\t%d\t%d\t%v\t%s\n",
			x.ID, x.State, x.Owner, x.Epoch, x.OwnerCount, x.Age.Round(time.Millisecond), x.Receipt)
	}
	return w.Flush()
}

// fetch requests the list of writes from the proxy.
func (c *workListCommand) fetch(ctx context.Context) (writes []takeover.WriteStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	url := "http://" + c.At + coordinator.WritesPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list the writes of %s: %s", c.At, response.Status)
	}
	body := readlimit.NewReader(response.Body, rpc.MaxBodyBytes)
	if err := json.NewDecoder(body).Decode(&writes); err != nil {
		return nil, fmt.Errorf("decode the writes of %s: %w", c.At, err)
	}
	return writes, nil
}
