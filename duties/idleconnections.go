package duties

import "slices"

// idleConnections selects the nodes to which this proxy keeps idle connections.
type idleConnections struct {
	view      *fleetView
	decisions *decisionList

	ownedNodes       int   // nodes that this proxy owns, as of the last assignment
	listedNodes      int   // nodes in the endpoint list, as of the last assignment
	ownershipChanges int64 // nodes whose idle connections this proxy took over or gave up
}

// nodeAdded handles a new node, which this proxy owns until the next assignment. It always adds a decision: the node
// may have been in an earlier endpoint list, and then the caller's last decision on it may be to close its connections.
func (c *idleConnections) nodeAdded(n *node) {
	if c.view.settings.IdleOwners > 0 {
		c.decisions.add(Decision{Action: SetIdleConnections, Node: n.name, Enabled: true})
	}
}

// ownedBySelf returns, for each node in the order of nodes.sorted, whether this proxy is one of its owners. This proxy
// owns all nodes while it catches up, if no number of owners is configured, and if the fleet has no more proxies than
// configured owners.
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

// startAssignment resets the node counts.
func (c *idleConnections) startAssignment(nodes int) { c.ownedNodes, c.listedNodes = 0, nodes }

// setOwned records whether this proxy owns a node, and adds a decision if that has changed.
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
