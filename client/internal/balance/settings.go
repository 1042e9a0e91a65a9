package balance

import "time"

// Settings bound a balancer. Every field is needed, only StartSpread may be 0.
type Settings struct {
	SubsetSize         int           // proxies in use at a time
	MaxConns           int           // connections to one proxy
	PipelineDepth      int           // requests on one connection
	StartSpread        time.Duration // span from which the times of the first dials are drawn
	ReconnectSpread    time.Duration // span of the dials after a lost connection
	MaxReconnectSpread time.Duration // upper bound of the span after failed dials
}

// The parameters of the choice.
const (
	failureHalfLife   = time.Second // the weight of a past failure, halved each time
	failureCost       = 4.0         // one recent failure multiplies the cost of a request by 1 + failureCost
	recentFailure     = 0.5         // a failure weight from which on a proxy failed recently
	rejectionsToBlock = 3           // in a row
)
