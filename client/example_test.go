package client_test

import (
	"context"
	"errors"
	"fmt"
	"log"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/fake/scriptednode"
)

// reaction decides what the example proxies do with a request.
type reaction = func(number int, r scriptednode.ReceivedRequest) scriptednode.Reaction

// startProxies starts two scripted proxies for an example.
func startProxies(react reaction) (addresses []string, done func()) {
	ns, err := scriptednode.Start(scriptednode.Meta, 2, react)
	if err != nil {
		panic(err)
	}
	return []string{ns.Address(0), ns.Address(1)}, ns.Close
}

func Example() {
	addresses, done := startProxies(func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
		return scriptednode.Serve
	})
	defer done()

	c, err := client.New(client.Options{Proxies: client.Static(addresses...), Tenant: "fovaros"})
	if err != nil {
		log.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	value, err := c.Get(ctx, "order-17")
	fmt.Printf("%s %v\n", value, err)
	receipt, err := c.Set(ctx, "order-17", []byte("signed by Ilona"))
	fmt.Println(receipt, err)
	// Output:
	// v:order-17 <nil>
	// 7 <nil>
}

// This example reacts to each kind of error.
func ExampleClient_Set() {
	addresses, done := startProxies(func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
		return scriptednode.BusyRetryAfter
	})
	defer done()
	c, err := client.New(client.Options{Proxies: client.Static(addresses...)})
	if err != nil {
		log.Fatal(err)
	}
	defer c.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = c.Set(ctx, "order-17", []byte("signed by Ilona"))
	var e *client.Error
	switch {
	case err == nil:
		fmt.Println("recorded")
	case errors.Is(err, client.ErrRefused) && errors.As(err, &e):
		fmt.Println("not recorded; again in", e.RetryAfter)
	case errors.Is(err, client.ErrUnknown):
		fmt.Println("may be recorded: resolve")
	default:
		fmt.Println("not recorded:", err)
	}
	// Output:
	// not recorded; again in 1s
}

// This example resolves a write with an unknown outcome before it sends the write again.
func ExampleClient_Resolve() {
	addresses, done := startProxies(func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		if r.Value != "" {
			return scriptednode.Fail
		}
		return scriptednode.Serve
	})
	defer done()
	c, err := client.New(client.Options{Proxies: client.Static(addresses...), Window: 300 * time.Millisecond})
	if err != nil {
		log.Fatal(err)
	}
	defer c.Close()

	ctx := context.Background()
	_, err = c.Set(ctx, "order-17", []byte("v:order-17"))
	if errors.Is(err, client.ErrUnknown) {
		recorded, err := c.Resolve(ctx, err, func(value []byte) bool { return string(value) == "v:order-17" })
		fmt.Println(recorded, err)
	}
	// Output:
	// true <nil>
}
