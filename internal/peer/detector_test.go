package peer

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectionReplacedInTime checks that a broken connection does not count as the end of a process: a member
// that reconnects within ReconnectGrace stays alive, even if the end of the old connection is noticed after that.
func TestConnectionReplacedInTime(t *testing.T) {
	d := NewDetector(DefaultParameters, 0)
	d.Handle(0, Heartbeat{Member{Name: "a", Incarnation: 1}, 7})
	d.Handle(10*ms, ConnectionLost{7})
	if d.Members()[0].State != Suspect {
		t.Error("the member is not suspect although its connection is closed")
	}
	if next := d.NextTick(10 * ms); next > 70*ms {
		t.Errorf("the next tick is due at %v, want 70ms at the latest", next)
	}
	d.Handle(40*ms, Heartbeat{Member{Name: "a", Incarnation: 1}, 8})
	d.Handle(60*ms, ConnectionLost{7}) // the loss is noticed late
	d.Handle(120*ms, Tick{})
	if s := d.Members()[0].State; s != Alive {
		t.Errorf("after the reconnect the member is %v", s)
	}
}

// TestMembersAreBounded checks that members beyond MaxMembers are rejected, and that members that are gone are
// forgotten. Otherwise memory would grow without bound.
func TestMembersAreBounded(t *testing.T) {
	parameters := DefaultParameters
	parameters.MaxMembers = 3
	d := NewDetector(parameters, 0)
	for i := range uint64(5) {
		result := d.Handle(0, Heartbeat{Member{Name: fmt.Sprint(i), Incarnation: 1}, i})
		if (result == TooManyMembers) != (i >= 3) {
			t.Errorf("member %d: the result is %v", i, result)
		}
	}
	for at := time.Duration(0); at < parameters.ForgetAfter+time.Second; at += 50 * ms {
		d.Handle(at, Tick{})
	}
	if n := len(d.Members()); n != 0 {
		t.Errorf("%d members that are gone are not forgotten", n)
	}
}
