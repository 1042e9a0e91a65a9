package balance

import "time"

// Settings configure a balancer. Every field must be set, except that StartSpread may be 0.
type Settings struct {
	SubsetSize         int           // proxies in use at a time
	MaxConns           int           // connections to one proxy
	PipelineDepth      int           // requests in flight per connection
	StartSpread        time.Duration // span from which the times of the first dials are drawn
	ReconnectSpread    time.Duration // span of the dials after a lost connection
	MaxReconnectSpread time.Duration // upper bound of the span after failed dials
}

// Parameters of the choice.
const (
	failureHalfLife   = time.Second // time in which the weight of a past failure halves
	failureCost       = 4.0         // one recent failure multiplies the cost of a request by 1 + failureCost
	recentFailure     = 0.5         // failure weight from which on a proxy counts as having failed recently
	rejectionsToBlock = 3           // rejections in a row after which a proxy is blocked
)
