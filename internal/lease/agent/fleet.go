package agent

import (
	"fmt"
	"net"
	"slices"

	"mulleinpier/internal/lease"
)

// Fleet names the voters, in an order that all processes of the fleet have in common.
type Fleet struct {
	Name   string
	Voters []VoterAddress
}

// VoterAddress is where a voter listens.
type VoterAddress struct {
	Name    string
	Address string // HOST:PORT
}

// Validate returns what is wrong with a fleet.
func (f *Fleet) Validate() error {
	named := f.Name != "" && len(f.Name) <= lease.MaxNameBytes
	if !named || len(f.Voters) < 1 || len(f.Voters) > lease.MaxVoters {
		return fmt.Errorf("leases: want a fleet's name and 1 to %d voters", lease.MaxVoters)
	}
	seen := make(map[string]bool)
	for _, v := range f.Voters {
		if _, _, err := net.SplitHostPort(v.Address); err != nil || v.Name == "" || seen[v.Name] {
			return fmt.Errorf(
				"leases: voter %q at %q: want a name that no other has, and HOST:PORT", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	return nil
}

// voterIndex returns a voter's place among the others, -1 for none of that name.
func (f *Fleet) voterIndex(name string) int {
	return slices.IndexFunc(f.Voters, func(v VoterAddress) bool { return v.Name == name })
}
