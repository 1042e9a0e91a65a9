package agent

import (
	"fmt"
	"net"
	"slices"

	"mulleinpier/internal/lease"
)

// Fleet is a fleet's name and its voters, which all processes of the fleet list in the same order.
type Fleet struct {
	Name   string
	Voters []VoterAddress
}

// VoterAddress is the name of a voter and the address that it listens on.
type VoterAddress struct {
	Name    string
	Address string // HOST:PORT
}

// Validate returns an error if the fleet's name, the number of voters, or a voter's name or address is invalid.
func (f *Fleet) Validate() error {
	named := f.Name != "" && len(f.Name) <= lease.MaxNameBytes
	if !named || len(f.Voters) < 1 || len(f.Voters) > lease.MaxVoters {
		return fmt.Errorf("leases: fleet name is empty or too long, or there are not 1 to %d voters", lease.MaxVoters)
	}
	seen := make(map[string]bool)
	for _, v := range f.Voters {
		if _, _, err := net.SplitHostPort(v.Address); err != nil || v.Name == "" || seen[v.Name] {
			return fmt.Errorf(
				"leases: voter %q at %q: want a unique name, and an address of the form HOST:PORT", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	return nil
}

// voterIndex returns the index of the voter with a name, or -1.
func (f *Fleet) voterIndex(name string) int {
	return slices.IndexFunc(f.Voters, func(v VoterAddress) bool { return v.Name == name })
}
