package duties

import "slices"

// idleConnections decides to which nodes this proxy keeps idle connections.
type idleConnections struct {
	view      *fleetView
	decisions *decisionList

	ownedNodes       int // at the last assignment
	listedNodes      int // likewise
	ownershipChanges int64
}

// nodeAdded handles a new node, which this proxy owns until the next assignment. The caller may know the node from
// an earlier endpoint list, and as another proxy's, so it is told in any case.
func (c *idleConnections) nodeAdded(n *node) {
	if c.view.settings.IdleOwners > 0 {
		c.decisions.add(Decision{Action: SetIdleConnections, Node: n.name, Enabled: true})
	}
}

// ownedBySelf returns for each node whether this proxy is one of its owners. It owns all of them while it catches
// up, and where there are not more proxies than owners.
func (c *idleConnections) ownedBySelf(nodes *nodeTable) []bool {
	owned := make([]bool, len(nodes.sorted))
	members, count := c.view.members, c.view.settings.IdleOwners
	if count == 0 || c.view.catchingUp || members.size() <= count {
		for i := range owned {
			owned[i] = true
		}
		return owned
	}
	for i, owners := range members.assignOwners(nodes.hashes(), count) {
		owned[i] = slices.ContainsFunc(owners, func(p int32) bool { return members.names[p] == c.view.settings.Self })
	}
	return owned
}

// startAssignment begins to count the nodes anew.
func (c *idleConnections) startAssignment(nodes int) { c.ownedNodes, c.listedNodes = 0, nodes }

// setOwned sets whether this proxy owns a node from now on.
func (c *idleConnections) setOwned(n *node, owned bool) {
	if owned {
		c.ownedNodes++
	}
	if owned == n.owned {
		return
	}
	n.owned = owned
	c.ownershipChanges++
	c.decisions.add(Decision{Action: SetIdleConnections, Node: n.name, Enabled: owned})
}
