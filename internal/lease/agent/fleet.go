package agent

import (
	"fmt"
	"net"
	"slices"

	"mulleinpier/internal/lease"
)

// Bounds of a fleet's voters.
const (
	minVoters = 1
	maxVoters = 7
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
	if !named || len(f.Voters) < minVoters || len(f.Voters) > maxVoters {
		return fmt.Errorf("leases: want a fleet's name and %d to %d voters", minVoters, maxVoters)
	}
	seen := make(map[string]bool)
	for _, v := range f.Voters {
		if _, _, err := net.SplitHostPort(v.Address); err != nil || v.Name == "" || seen[v.Name] {
			return fmt.Errorf(
				"leases: voter %q at %q cannot be: want a name of its own and HOST:PORT", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	return nil
}

// voterIndex returns a voter's place among the others, -1 for none of that name.
func (f *Fleet) voterIndex(name string) int {
	return slices.IndexFunc(f.Voters, func(v VoterAddress) bool { return v.Name == name })
}
