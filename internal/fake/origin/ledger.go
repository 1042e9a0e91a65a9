package origin

import "time"

const (
	maxEffects    = 1 << 20 // limit of the ledger's entries; if there are more, the oldest are removed
	maxDuplicates = 1000    // limit of the duplicates that are retained; all duplicates are counted
)

// Effect is an entry of the ledger: the executions of one write.
type Effect struct {
	Record, Key string // Key is the idempotency key, or the value if the node's LedgerByValue is set
	Count       int    // executions
	First, Last time.Time
}

type effectKey struct{ record, key string }

// ledger counts how often each write was executed.
type ledger struct {
	effects    map[effectKey]*Effect
	order      []effectKey // of effects, oldest first
	duplicates []Effect    // effects of duplicate writes, copied at their second execution
}

// record adds an execution of a write, and returns the number of its executions so far.
func (l *ledger) record(key effectKey, now time.Time) (count int) {
	e := l.effects[key]
	if e == nil {
		e = &Effect{Record: key.record, Key: key.key, First: now}
		l.add(key, e)
	}
	e.Count++
	e.Last = now
	if e.Count == 2 && len(l.duplicates) < maxDuplicates {
		l.duplicates = append(l.duplicates, *e)
	}
	return e.Count
}

func (l *ledger) add(key effectKey, e *Effect) {
	if len(l.order) >= maxEffects {
		delete(l.effects, l.order[0])
		l.order = l.order[1:]
	}
	l.effects[key] = e
	l.order = append(l.order, key)
}
