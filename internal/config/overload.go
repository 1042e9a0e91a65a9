package config

import (
	"time"

	"mulleinpier/internal/overload"
)

// maxPin is the longest time from now until the end of a pinned level.
const maxPin = 24 * time.Hour

// readOverload reads the table service: the degradation levels under overload.
func (r *reader) readOverload() {
	t := r.top.table("service")
	c := &r.config.Proxy.Overload
	c.Enabled = t.boolean("reduce", true)
	c.Timings = overload.DefaultTimings
	c.Timings.ConfirmFor = t.duration("confirm", c.Timings.ConfirmFor, 0, time.Minute)
	c.Timings.MinStay = t.duration("stay", c.Timings.MinStay, time.Second, maxDuration)
	c.Timings.MaxStay = t.duration("most_stay", c.Timings.MaxStay, time.Second, maxDuration)
	if c.Timings.MaxStay < c.Timings.MinStay {
		t.add("most_stay", "cannot be %v: want at least stay, %v", c.Timings.MaxStay, c.Timings.MinStay)
	}
	level := t.text("pin", "", oneOf(overload.LevelNames()...))
	until := t.text("pin_until", "", anything)
	switch {
	case t.has("pin") != t.has("pin_until"):
		t.add("pin", "must be set together with %s: a pinned level needs an end", t.key("pin_until"))
	case t.has("pin"):
		end, err := time.Parse(time.RFC3339, until)
		if err != nil || time.Until(end) > maxPin {
			t.add("pin_until",
				"cannot be %q: want a time such as 2006-01-02T15:04:05Z, within %v from now", until, maxPin)
		}
		c.PinnedLevel, _ = overload.ParseLevel(level) // valid: oneOf has checked it
		c.PinnedUntil = end
	}
	t.rejectUnknown()
}
