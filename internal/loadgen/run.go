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

// request is one request of a load, and how a naive client retries it.
type request struct {
	key          string
	value        string // "" for a read
	retries      int
	retryDelay   time.Duration // before each retry
	tryShare     float64       // share of the class's deadline for which a try waits
	marksRetries bool          // whether retries are marked as such
}

func (q *request) isHandover() bool { return q.value != "" }

// simulatedClient is a client that sends requests of a load.
type simulatedClient interface {
	// call executes one request and returns its outcome.
	call(q *request) outcome
	close()
}

// requestSource draws requests. All draws come from one seeded generator, so the same seed gives the same load.
type requestSource struct {
	config  *Config
	rng     *rand.Rand
	zipf    *rand.Zipf
	prefix  string // prefix of values: the first letter of the kind of client, in upper case
	drawn   int    // number of requests drawn
	clients []simulatedClient
}

const (
	generatorStream = 7 // second seed of the generator of requests
	zipfOffset      = 4 // flattens the popularity of the first keys
)

// How naive clients retry. Each request draws its own values.
const (
	naiveRetries        = 3
	minTryShare         = 0.3  // share of the deadline
	tryShareSpan        = 0.25 // range of the share above minTryShare
	minRetryDelayMs     = 20   // for requests whose retries are delayed
	retryDelaySpanMs    = 140  // range of the delay above minRetryDelayMs
	markedRetriesOneIn  = 2    // one in this number of requests marks its retries
	delayedRetriesOneIn = 2    // one in this number of requests is retried after a delay
)

// next draws a request.
func (s *requestSource) next() *request {
	s.drawn++
	q := &request{
		key:          fmt.Sprint("k", s.zipf.Uint64()),
		retries:      naiveRetries,
		tryShare:     minTryShare + s.rng.Float64()*tryShareSpan,
		marksRetries: s.rng.IntN(markedRetriesOneIn) == 0,
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

// Run generates a load until its phases end or ctx is done, and waits for the requests in flight. It returns an error
// if c is invalid.
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

// offer sends requests until ctx is done, and waits until all have ended. It returns how many requests were not sent
// because maxInFlight requests were in flight.
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
			r.countOffered(start)
			tasks.Go(func() {
				defer inFlight.Add(-1)
				r.countEnded(start, q, client.call(q))
			})
		}
		next = next.Add(source.interval())
		sleepUntil(ctx, next)
	}
	tasks.Wait()
	return notOffered
}

// sleepUntil waits until the time at or until ctx is done.
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
