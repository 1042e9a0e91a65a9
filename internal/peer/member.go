package peer

import (
	"cmp"
	"slices"
)

// Member is an instance's description of itself, sent with its heartbeats.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"run"` // random number of the process, chosen at its start
	Address     string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Leaving     bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"` // the instance is draining
	Version     int    `cbor:"6,keyasint,omitempty" json:"version,omitempty"` // protocol version, see package rpc
}

// State is the liveness of a member. The numeric values are sent between processes.
type State uint8

// The zero State is that of an unknown member.
const (
	Alive State = iota + 1
	Suspect
	Gone
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Gone: "gone"}

// String returns the state's name in logs and JSON.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler, so that JSON has the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unrecognized name gives the zero State, not an error.
func (s *State) UnmarshalText(text []byte) error {
	*s = 0
	for state, name := range stateNames {
		if name == string(text) && name != "" {
			*s = State(state)
		}
	}
	return nil
}

// MemberState is a member with its state.
type MemberState struct {
	Member `cbor:"1,keyasint"`
	State  State `cbor:"2,keyasint" json:"state"`
}

func sortByName(list []MemberState) {
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
}
