package membership

import (
	"slices"
	"time"
)

// This file recognizes nodes whose address was taken by a new process: a machine is gone, a new one came up at its
// address under another name, and a source still lists the old node. Requests for the old node would reach the new one,
// which has another zone, group and cache, and which must not get the load of both while it warms up.

// addressOwner is the node that was the last to start at an address, as far as sources report starts.
type addressOwner struct {
	name    string
	started time.Duration // as reported, 0 if that was long ago or is not known
}

// claimAddress makes a listed node the owner of its address, unless another listed node has started there later. It
// returns the name of that node, "" if there is none.
func (r *Reconciler) claimAddress(n *Node) (replacedBy string) {
	owner, owned := r.owners[n.Address]
	isOther := owned && owner.name != n.Name && r.listsAt(owner.name, n.Address)
	if isOther && owner.started > n.Started {
		return owner.name
	}
	if isOther && owner.started == n.Started {
		return "" // it can't be told which one is the later
	}
	r.owners[n.Address] = addressOwner{n.Name, n.Started}
	r.ownersChanged = r.ownersChanged || isOther
	return ""
}

// listsAt reports whether any source lists a node at an address as not gone.
func (r *Reconciler) listsAt(name, address string) bool {
	return slices.ContainsFunc(r.sources, func(s *source) bool {
		n := s.nodes[name]
		return n != nil && n.Status != Gone && n.Address == address
	})
}

// sweepOwners forgets owners that are not listed at their addresses any more.
func (r *Reconciler) sweepOwners() {
	for address, owner := range r.owners {
		if !r.listsAt(owner.name, address) {
			delete(r.owners, address)
		}
	}
}
