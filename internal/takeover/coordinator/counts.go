package coordinator

// Counts count what a coordinator has done since its start.
type Counts struct {
	Claims         int // of clients' writes
	Proceeded      int // claims that were permitted
	InProgress     int // responses that said so
	Served         int // claims that a holder's receipt answered
	OutcomeUnknown int // claims
	Rejected       int // claims
	Unreplicated   int // claims that went on without holders
	TakenOver      int // writes that this proxy went on with
	Abandoned      int // writes that were taken over, and whose outcome is unknown
	HolderTimeouts int
	Messages       int // to other proxies
	MessageItems   int
}

// Counts returns what the coordinator has done so far.
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
