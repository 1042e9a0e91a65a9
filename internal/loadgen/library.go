package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mulleinpier/client"
)

// naiveStream is the second seed of the random generators of naive clients.
const naiveStream = 8

// openClient opens one client of the configured kind.
func (r *recorder) openClient(rng *rand.Rand) (simulatedClient, error) {
	if r.config.Kind == Naive {
		return &naiveClient{
			recorder: r,
			rng:      rand.New(rand.NewPCG(rng.Uint64(), naiveStream)),
			idPrefix: rng.Uint64(),
		}, nil
	}
	o := r.config.Options
	o.Proxies = client.Static(r.config.Addresses...)
	o.Tenant = r.config.Tenant
	o.Trace = client.Trace{
		DialStart: func(string) { r.countDial() },
		DialDone: func(_ string, _ time.Duration, err error) {
			if err != nil {
				r.countDialFailure()
			}
		},
		TryDone:    r.auditor.TryDone,
		LateAnswer: r.auditor.LateAnswer,
	}
	c, err := client.New(o)
	if err != nil {
		return nil, err
	}
	return libraryClient{c}, nil
}

// libraryClient is a client that uses the client package.
type libraryClient struct{ client *client.Client }

func (c libraryClient) close() { c.client.Close() }

func (c libraryClient) call(q *request) outcome {
	var err error
	if q.isHandover() {
		_, err = c.client.Set(context.Background(), q.key, []byte(q.value))
	} else {
		_, err = c.client.Get(context.Background(), q.key)
	}
	switch {
	case err == nil || errors.Is(err, client.ErrMiss):
		return served
	case errors.Is(err, client.ErrRefused):
		return refused
	case errors.Is(err, client.ErrUnknown):
		return unknown
	}
	return failed
}
