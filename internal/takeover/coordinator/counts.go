package coordinator

// Counts are a coordinator's counters since its start.
type Counts struct {
	Claims         int // claims for clients' writes
	Proceeded      int // claims that were granted
	InProgress     int // responses that another owner had the write in flight
	Served         int // claims answered with a holder's receipt
	OutcomeUnknown int // claims answered with an unknown outcome
	Rejected       int // claims rejected, because of key conflicts too
	Unreplicated   int // claims that proceeded without other holders
	TakenOver      int // orphaned writes that this proxy resumed
	Abandoned      int // orphaned writes that this proxy took over but did not resume: outcome unknown
	HolderTimeouts int // holders that did not respond within responseTimeout
	Messages       int // messages to other proxies, failed ones too
	MessageItems   int // claims, completions and responses in those messages
}

// Counts returns a snapshot of the counters.
func (c *Coordinator) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Coordinator) count(change func(n *Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}
