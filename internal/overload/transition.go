package overload

import "time"

// Transition is one change of the level in force. docs/operators/overload.md documents its JSON fields; fields may be
// added, but none may be renamed or removed.
type Transition struct {
	At             time.Duration `json:"at_ns"` // time of the change, on the events' clock
	From           string        `json:"from"`
	To             string        `json:"to"`
	Cause          string        `json:"cause"`          // a signal's name, "pin", "pin ended" or "calm"
	Value          float64       `json:"figure"`         // signal's value; for "calm" largest ratio to exit threshold
	Threshold      float64       `json:"bound"`          // threshold that Value was compared with
	MinStaySeconds float64       `json:"stay_s"`         // seconds until the level may improve, or the rest of a pin
	OtherCauses    []string      `json:"also,omitempty"` // further signals that require a degraded level
	Level          Level         `json:"level"`          // To as a number
	PreviousLevel  Level         `json:"-"`              // From as a number
	Pinned         bool          `json:"pinned"`         // the level is set by a pin
}

// The causes of transitions besides the names of signals.
const (
	causePin      = "pin"
	causePinEnded = "pin ended"
	causeNoSignal = "calm" // no signal requires the level any more

	// causeUnknown marks a transition without a cause, which would be a bug in this package.
	causeUnknown = "unknown"
)

// complete fills in the fields that follow from the state after a change from level before.
func (c *Controller) complete(t *Transition, before Level) {
	after := c.Level()
	if t.Cause == "" {
		t.Cause = causeUnknown
	}
	t.From, t.To = before.String(), after.String()
	t.Level, t.PreviousLevel = after, before
	t.Pinned = c.pinned
	t.MinStaySeconds = max(c.minStayEnds-c.now, 0).Seconds()
	if c.pinned {
		t.MinStaySeconds = max(c.pinEnds-c.now, 0).Seconds()
	}
	for i := range c.signals {
		name := Thresholds[i].Name
		if c.signals[i].required > Full && name != t.Cause {
			t.OtherCauses = append(t.OtherCauses, name)
		}
	}
}
