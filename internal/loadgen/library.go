package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mulleinpier/client"
)

// library is a till that uses the client package.
type library struct{ client *client.Client }

func (t *tally) open(rng *rand.Rand) (till, error) {
	if t.config.Kind == Naive {
		return &brief{tally: t, rng: rand.New(rand.NewPCG(rng.Uint64(), 8)), base: rng.Uint64()}, nil
	}
	o := t.config.Options
	o.Proxies, o.Tenant = client.Static(t.config.Addresses...), t.config.Tenant
	o.Trace = client.Trace{
		DialStart: func(string) { t.dialled() },
		DialDone: func(_ string, _ time.Duration, err error) {
			if err != nil {
				t.add(func(f *PhaseResult) { f.DialFails++ })
			}
		},
		TryDone:    t.audit.TryDone,
		LateAnswer: t.audit.LateAnswer,
	}
	c, err := client.New(o)
	if err != nil {
		return nil, err
	}
	return library{c}, nil
}

func (l library) close() { l.client.Close() }

func (l library) call(o *order) end {
	var err error
	if o.value != "" {
		_, err = l.client.Set(context.Background(), o.key, []byte(o.value))
	} else {
		_, err = l.client.Get(context.Background(), o.key)
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
