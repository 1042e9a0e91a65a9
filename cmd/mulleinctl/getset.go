package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/readlimit"
)

// proxyFlags select the proxies, and configure the requests to them.
type proxyFlags struct {
	Proxies []string      `short:"p" help:"Proxies, host:port, separated by commas."`
	File    string        `help:"Instead of --proxies: a file that lists them, one per line."`
	Wait    time.Duration `default:"2s" help:"Timeout of a call."`
	Tenant  string        `help:"Tenant of the requests."`
	Trace   bool          `help:"Print each try and each new connection on standard error."`
}

// open returns a client of the proxies.
func (f *proxyFlags) open(log io.Writer) (*client.Client, error) {
	o := client.Options{Tenant: f.Tenant, Read: client.Read, Write: client.Write}
	switch {
	case f.File != "" && len(f.Proxies) > 0:
		return nil, fmt.Errorf("%w: want --proxies or --file, not both", errUsage)
	case f.File != "":
		o.Proxies = client.File(f.File)
	case len(f.Proxies) > 0:
		o.Proxies = client.Static(f.Proxies...)
	default:
		return nil, fmt.Errorf("%w: want --proxies or --file", errUsage)
	}
	o.Read.Wait = f.Wait
	o.Write.Wait = f.Wait
	o.Trace = f.trace(log)
	c, err := client.New(o)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return c, nil
}

// trace returns hooks that print failures to read the list of proxies and, with --trace, each try and each new
// connection.
func (f *proxyFlags) trace(log io.Writer) (hooks client.Trace) {
	hooks.List = func(_ []string, err error) {
		if err != nil {
			fmt.Fprintln(log, "mulleinctl: list of proxies:", err)
		}
	}
	if !f.Trace {
		return hooks
	}
	hooks.TryDone = func(i client.TryInfo) {
		fmt.Fprintf(log, "%s %s: try %s at %s, repeat %v: %s after %v of %v\n",
			i.Op, i.Key, i.ID, i.Proxy, i.Repeat, i.Outcome, i.Took.Round(time.Microsecond), i.Wait)
	}
	hooks.DialDone = func(proxy string, took time.Duration, err error) {
		fmt.Fprintf(log, "connect to %s: %v after %v\n", proxy, err, took.Round(time.Microsecond))
	}
	return hooks
}

type getCommand struct {
	proxyFlags
	Keys []string `arg:"" help:"Keys to read."`
}

// run reads the keys one after another. It returns the last error other than a missing key, or, if there is none, the
// first error.
func (c *getCommand) run(ctx context.Context, out, log io.Writer) error {
	proxies, err := c.open(log)
	if err != nil {
		return err
	}
	defer proxies.Close()
	var worst error
	for _, key := range c.Keys {
		value, err := proxies.Get(ctx, key)
		if err != nil {
			fmt.Fprintln(log, err)
			if worst == nil || exitCode(err) != exitMiss {
				worst = err
			}
			continue
		}
		fmt.Fprintf(out, "%s\n", value)
	}
	return worst
}

type setCommand struct {
	proxyFlags
	Key         string `arg:"" help:"Key to write."`
	Value       string `arg:"" optional:"" help:"Value; read from standard input if omitted."`
	Class       string `default:"write" help:"Request class, from the proxies' configuration."`
	Effect      string `default:"keyed" enum:"keyed,unsafe,safe" help:"Repeated writes: keyed (dropped), unsafe, safe."`
	Idempotency string `help:"Idempotency key of a keyed write; random if omitted."`
}

// effects are the values of --effect.
var effects = map[string]client.Effect{
	"keyed":  client.Keyed,
	"unsafe": client.Unsafe,
	"safe":   client.Safe,
}

func (c *setCommand) run(ctx context.Context, in io.Reader, out, log io.Writer) error {
	proxies, err := c.open(log)
	if err != nil {
		return err
	}
	defer proxies.Close()
	value := []byte(c.Value)
	if c.Value == "" {
		value, err = readValue(in)
		if err != nil {
			return fmt.Errorf("read the value from standard input: %w", err)
		}
	}
	answer, err := proxies.Do(ctx, client.Request{
		Key:         c.Key,
		Value:       value,
		Set:         true,
		Idempotency: c.Idempotency,
		Class:       client.Class{Name: c.Class, Effect: effects[c.Effect], Wait: c.Wait},
	})
	if err != nil {
		c.explainUnknown(log, err)
		return err
	}
	fmt.Fprintln(out, answer.Receipt)
	return nil
}

// explainUnknown prints what to do after a write with an unknown outcome.
func (c *setCommand) explainUnknown(log io.Writer, err error) {
	var e *client.Error
	if !errors.Is(err, client.ErrUnknown) || !errors.As(err, &e) {
		return
	}
	fmt.Fprintf(log, "mulleinctl: the write may have been carried out, or may still be until %s: "+
		"read %s after that, and repeat the write only if it had no effect\n", e.Settled.Format(time.TimeOnly), c.Key)
}

// readValue reads a value. A value that is larger than proxies accept is a usage error.
func readValue(in io.Reader) ([]byte, error) {
	value, err := readlimit.All(in, meta.MaxValue)
	var tooLarge *readlimit.TooLargeError
	if errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("%w: value %w", errUsage, err)
	}
	return value, err
}
