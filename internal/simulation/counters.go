package simulation

import "time"

// Counters count events across the fleet within a period, such as a second.
type Counters struct {
	Requests       int // requests of clients, without retries
	ClientAttempts int // attempts of clients, including retries

	// Requests by outcome, counted in the second in which they started: served within the latency objective, served
	// later, and not served.
	InTime, Late, Unanswered int

	Rejected, Failed int // answers of proxies

	// Sends counts attempts that reached a node, SendsToWarming and SendsToFaulty the part of them that reached a
	// warming or a faulty one. SendsToUnreachable counts attempts at nodes that accept no connection.
	Sends, SendsToWarming, SendsToFaulty int
	SendsToUnreachable                   int

	Handshakes          int
	ConnectionsRejected int

	Hits, Misses             int
	Fetches, FetchesRejected int // fetches at the origin

	EndpointListCalls, EndpointListCallsLost int
}

// add adds the counts of another period.
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

// Sum adds up the counts of the seconds in [from, to).
func (f *Fleet) Sum(from, to int) (sum Counters) {
	for i := from; i < min(to, len(f.PerSecond)); i++ {
		sum.add(&f.PerSecond[i])
	}
	return sum
}

// countersAt returns the counters of the second that contains a time.
func (f *Fleet) countersAt(at time.Duration) *Counters {
	second := int((at - startTime) / time.Second)
	for len(f.PerSecond) <= second {
		f.PerSecond = append(f.PerSecond, Counters{})
	}
	return &f.PerSecond[second]
}

func (f *Fleet) counters() *Counters { return f.countersAt(f.now) }
