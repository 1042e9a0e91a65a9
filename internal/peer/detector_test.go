package peer

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectionReplacedInTime guards against a connection reset that counts as a death.
func TestConnectionReplacedInTime(t *testing.T) {
	d := NewDetector(DefaultParameters, 0)
	d.Handle(0, Heartbeat{Member{Name: "a", Incarnation: 1}, 7})
	d.Handle(10*ms, ConnectionLost{7})
	if d.Members()[0].State != Suspect {
		t.Error("an end is not suspected")
	}
	if next := d.NextTick(10 * ms); next > 70*ms {
		t.Errorf("looks again at %v", next)
	}
	d.Handle(40*ms, Heartbeat{Member{Name: "a", Incarnation: 1}, 8})
	d.Handle(60*ms, ConnectionLost{7}) // known late
	d.Handle(120*ms, Tick{})
	if s := d.Members()[0].State; s != Alive {
		t.Errorf("with a new connection it is %v", s)
	}
}

// TestMembersAreBounded guards against members without end, and that who is gone is forgotten.
func TestMembersAreBounded(t *testing.T) {
	parameters := DefaultParameters
	parameters.MaxMembers = 3
	d := NewDetector(parameters, 0)
	for i := range uint64(5) {
		result := d.Handle(0, Heartbeat{Member{Name: fmt.Sprint(i), Incarnation: 1}, i})
		if (result == TooManyMembers) != (i >= 3) {
			t.Errorf("member %d is answered %v", i, result)
		}
	}
	for at := time.Duration(0); at < parameters.ForgetAfter+time.Second; at += 50 * ms {
		d.Handle(at, Tick{})
	}
	if n := len(d.Members()); n != 0 {
		t.Errorf("%d are not forgotten", n)
	}
}
