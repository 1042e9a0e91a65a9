package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mulleinpier/client"
)

const (
	// An answer this much after its try was given up counts as overdue; a later one as lost.
	slack = 500 * time.Millisecond
	// What a node has seen of a broken connection's request is known after so long.
	seeTime = time.Second
	// How long late answers are waited for at the end.
	settleTime = 2 * time.Second
)

// library is a till that uses the client package.
type library struct{ client *client.Client }

func (t *tally) open(rng *rand.Rand) (till, error) {
	if t.config.Kind == Brief {
		return &brief{tally: t, rng: rand.New(rand.NewPCG(rng.Uint64(), 8)), base: rng.Uint64()}, nil
	}
	o := t.config.Options
	o.Proxies, o.Tenant = client.Static(t.config.Addresses...), t.config.Tenant
	o.Trace = client.Trace{
		DialStart: func(string) { t.dialled() },
		DialDone: func(_ string, _ time.Duration, err error) {
			if err != nil {
				t.add(func(f *Figures) { f.DialFails++ })
			}
		},
		TryDone: t.tryDone,
		Late:    t.late,
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

// tryDone judges a try: whether its proxy kept the rule that what it takes is answered.
func (t *tally) tryDone(i client.TryInfo) {
	if i.Outcome == "unsent" {
		return
	}
	t.tried()
	if t.config.Seen == nil {
		return
	}
	switch i.Outcome {
	case "silent":
		t.mu.Lock()
		t.silent[i.ID] = i.Proxy
		t.mu.Unlock()
	case "broken":
		t.broken(i.Proxy, i.ID, i.Kept)
	case "spoilt":
		t.lose("proxy %s answered %s with what is no answer to it", i.Proxy, i.ID)
	}
}

// broken judges a request whose connection ended: it may have crossed a close between requests.
func (t *tally) broken(proxy, id string, kept bool) {
	if t.config.Excused != nil && t.config.Excused(proxy) {
		t.add(func(f *Figures) { f.Excused++ })
		return
	}
	time.AfterFunc(seeTime, func() {
		if kept && !t.config.Seen(id) {
			t.add(func(f *Figures) { f.Crossed++ })
		} else {
			t.lose("proxy %s ended the connection of %s, used before: %v", proxy, id, kept)
		}
	})
}

func (t *tally) late(i client.TryInfo) {
	t.mu.Lock()
	_, waits := t.silent[i.ID]
	delete(t.silent, i.ID)
	t.mu.Unlock()
	if !waits {
		return
	}
	if by := i.Took - i.Wait; by > slack {
		t.lose("proxy %s answered %s %v after its deadline", i.Proxy, i.ID, by)
	} else {
		t.add(func(f *Figures) { f.Overdue++ })
	}
}

// settle waits for what is still to be judged.
func (t *tally) settle() {
	if t.config.Seen == nil {
		return
	}
	time.Sleep(settleTime)
	t.mu.Lock()
	silent := t.silent
	t.silent = make(map[string]string)
	t.mu.Unlock()
	for id, proxy := range silent {
		if t.config.Excused != nil && t.config.Excused(proxy) {
			t.add(func(f *Figures) { f.Excused++ })
		} else {
			t.lose("proxy %s never answered %s", proxy, id)
		}
	}
}
