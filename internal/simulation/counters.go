package simulation

import "time"

// Counters count what happened within some time, fleet-wide.
type Counters struct {
	Requests       int // of clients
	ClientAttempts int // the same with their retries

	// Requests by how they ended, in the second in which they began: served within the latency objective, served
	// later, and not served at all.
	InTime, Late, Unanswered int

	Rejected, Failed int // answers of proxies

	// Attempts that reached a node, of them those at nodes that warm up and at faulty ones; and attempts at nodes that
	// could not be reached.
	Sends, SendsToWarming, SendsToFaulty int
	SendsToUnreachable                   int

	Handshakes          int
	ConnectionsRejected int

	Hits, Misses             int
	Fetches, FetchesRejected int // by the origin

	EndpointListCalls, EndpointListCallsLost int
}

// add adds the counts of another time.
func (c *Counters) add(other *Counters) {
	c.Requests += other.Requests
	c.ClientAttempts += other.ClientAttempts
	c.InTime += other.InTime
	c.Late += other.Late
	c.Unanswered += other.Unanswered
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Sends += other.Sends
	c.SendsToWarming += other.SendsToWarming
	c.SendsToFaulty += other.SendsToFaulty
	c.SendsToUnreachable += other.SendsToUnreachable
	c.Handshakes += other.Handshakes
	c.ConnectionsRejected += other.ConnectionsRejected
	c.Hits += other.Hits
	c.Misses += other.Misses
	c.Fetches += other.Fetches
	c.FetchesRejected += other.FetchesRejected
	c.EndpointListCalls += other.EndpointListCalls
	c.EndpointListCallsLost += other.EndpointListCallsLost
}

// Sum adds up seconds, from the first up to but not including the other.
func (f *Fleet) Sum(from, to int) (sum Counters) {
	for i := from; i < min(to, len(f.PerSecond)); i++ {
		sum.add(&f.PerSecond[i])
	}
	return sum
}

// countersAt returns the counters of the second of a time.
func (f *Fleet) countersAt(at time.Duration) *Counters {
	second := int((at - startTime) / time.Second)
	for len(f.PerSecond) <= second {
		f.PerSecond = append(f.PerSecond, Counters{})
	}
	return &f.PerSecond[second]
}

func (f *Fleet) counters() *Counters { return f.countersAt(f.now) }
