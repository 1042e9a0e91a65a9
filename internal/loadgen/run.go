package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one request of a load, with how a naive client retries it.
type request struct {
	key          string
	value        string // "" of a read
	retries      int
	retryDelay   time.Duration // before each retry
	tryShare     float64       // of the deadline that a try waits
	marksRetries bool          // retries are marked as such
}

func (q *request) isHandover() bool { return q.value != "" }

// simulatedClient is one of the clients of a load.
type simulatedClient interface {
	// call carries out one request, and returns how it ended.
	call(q *request) outcome
	close()
}

// requestSource draws requests. All draws come from one seeded generator, so that a seed repeats a load.
type requestSource struct {
	config  *Config
	rng     *rand.Rand
	zipf    *rand.Zipf
	prefix  string // of values: the kind's initial
	drawn   int
	clients []simulatedClient
}

const (
	generatorStream = 7 // second seed of the load's generator
	zipfOffset      = 4 // flattens the popularity of the first keys
)

// The manners of naive clients. Each request draws its own.
const (
	naiveRetries        = 3
	minTryShare         = 0.3 // of the deadline
	tryShareSpan        = 0.25
	minRetryDelayMs     = 20 // of the half of the requests that are not retried at once
	retryDelaySpanMs    = 140
	markingClientsOneIn = 2 // one request in so many marks its retries
	delayedRetriesOneIn = 2
)

// next draws a request.
func (s *requestSource) next() *request {
	s.drawn++
	q := &request{
		key:          fmt.Sprint("k", s.zipf.Uint64()),
		retries:      naiveRetries,
		tryShare:     minTryShare + s.rng.Float64()*tryShareSpan,
		marksRetries: s.rng.IntN(markingClientsOneIn) == 0,
	}
	if s.rng.IntN(delayedRetriesOneIn) == 0 {
		q.retryDelay = time.Duration(minRetryDelayMs+s.rng.IntN(retryDelaySpanMs)) * time.Millisecond
	}
	if s.rng.Float64() < s.config.HandoverShare {
		q.key = fmt.Sprint("h", s.rng.IntN(s.config.Keys))
		q.value = fmt.Sprintf("%s%x-%x", s.prefix, s.config.Seed, s.drawn)
	}
	return q
}

// client draws the client of a request.
func (s *requestSource) client() simulatedClient { return s.clients[s.rng.IntN(len(s.clients))] }

// interval draws the time until the next request.
func (s *requestSource) interval() time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.config.Rate * float64(time.Second))
}

// openClients opens the clients of the load.
func (s *requestSource) openClients(r *recorder) error {
	for range s.config.Clients {
		c, err := r.openClient(s.rng)
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	return nil
}

func (s *requestSource) close() {
	for _, c := range s.clients {
		c.close()
	}
	s.clients = nil
}

// Run plays a load to its end, or until ctx ends.
func Run(ctx context.Context, c Config) (*Result, error) {
	c.applyDefaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	r := newRecorder(&c)
	rng := rand.New(rand.NewPCG(c.Seed, generatorStream))
	source := &requestSource{
		config: &c,
		rng:    rng,
		zipf:   rand.NewZipf(rng, c.Skew, zipfOffset, uint64(c.Keys-1)),
		prefix: strings.ToUpper(string(c.Kind[:1])),
	}
	defer source.close()
	if err := source.openClients(r); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, c.duration())
	defer stop()
	r.begin()
	notOffered := r.offer(ctx, source)
	if c.Kind == Library && c.SeenByNode != nil {
		r.auditor.Finish()
	}
	source.close()
	return r.result(notOffered), nil
}

// offer sends requests until ctx ends, and waits for their ends. It returns how many were not sent because too many
// were in flight.
func (r *recorder) offer(ctx context.Context, source *requestSource) (notOffered int) {
	var tasks sync.WaitGroup
	var inFlight atomic.Int64
	next := time.Now()
	for ctx.Err() == nil {
		q, client := source.next(), source.client()
		if inFlight.Load() >= maxInFlight {
			notOffered++
		} else {
			inFlight.Add(1)
			start := time.Now()
			r.offered(start)
			tasks.Go(func() {
				defer inFlight.Add(-1)
				r.ended(start, q, client.call(q))
			})
		}
		next = next.Add(source.interval())
		sleepUntil(ctx, next)
	}
	tasks.Wait()
	return notOffered
}

// sleepUntil waits for a time or the end of ctx.
func sleepUntil(ctx context.Context, at time.Time) {
	wait := time.Until(at)
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
