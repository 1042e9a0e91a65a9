package peer

import (
	"cmp"
	"slices"
)

// Member is an instance as it describes itself.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"run"` // of its process, drawn at its start
	Address     string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Leaving     bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"` // it drains
	Version     int    `cbor:"6,keyasint,omitempty" json:"version,omitempty"` // of the protocol that it speaks
}

// State is what is known of a member. The numbers are sent between processes.
type State uint8

// The states, the better ones first. The zero State is that of a member which is not known.
const (
	Alive State = iota + 1
	Suspect
	Gone
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Gone: "gone"}

// String returns the state as logs and JSON have it.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText makes JSON have the state as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word; any other is the zero State.
func (s *State) UnmarshalText(text []byte) error {
	*s = 0
	for state, name := range stateNames {
		if name == string(text) && name != "" {
			*s = State(state)
		}
	}
	return nil
}

// MemberState is a member and what is known of it.
type MemberState struct {
	Member `cbor:"1,keyasint"`
	State  State `cbor:"2,keyasint" json:"state"`
}

func sortByName(list []MemberState) {
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
}
