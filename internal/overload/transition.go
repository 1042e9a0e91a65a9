package overload

import "time"

// Transition is one change of the level in force. Its fields are the schema of the records in
// docs/operators/overload.md; fields may be added, none is renamed or removed in JSON.
type Transition struct {
	At             time.Duration `json:"at_ns"` // on the events' clock
	From           string        `json:"from"`
	To             string        `json:"to"`
	Cause          string        `json:"cause"`          // a signal's name, "pin", "pin ended" or "calm"
	Value          float64       `json:"figure"`         // the signal's; of "calm" the largest share of an exit
	Threshold      float64       `json:"bound"`          // that Value was compared with
	MinStaySeconds float64       `json:"stay_s"`         // no improvement before
	OtherCauses    []string      `json:"also,omitempty"` // further signals that call for a level
	Level          Level         `json:"level"`          // To as a number
	PreviousLevel  Level         `json:"-"`              // From as a number
	Pinned         bool          `json:"pinned"`         // the level is an operator's
}

// The causes of transitions besides the names of signals.
const (
	causePin      = "pin"
	causePinEnded = "pin ended"
	causeNoSignal = "calm" // no signal calls for the level any more

	// causeUnknown would be a defect of this package.
	causeUnknown = "unknown"
)

// complete fills in what follows from the state after a change from a level.
func (c *Controller) complete(t *Transition, before Level) {
	after := c.Level()
	if t.Cause == "" {
		t.Cause = causeUnknown
	}
	t.From, t.To = before.String(), after.String()
	t.Level, t.PreviousLevel = after, before
	t.Pinned = c.pinned
	t.MinStaySeconds = max(c.noDescentBefore-c.now, 0).Seconds()
	if c.pinned {
		t.MinStaySeconds = max(c.pinEnds-c.now, 0).Seconds()
	}
	for i := range c.signals {
		name := Thresholds[i].Name
		if c.signals[i].calls > Full && name != t.Cause {
			t.OtherCauses = append(t.OtherCauses, name)
		}
	}
}
