package zonehealth

import "github.com/cespare/xxhash/v2"

// Node is a cache server in the endpoint list.
type Node struct {
	Index     int // identifies the node in calls and decisions, from 0
	Name      string
	Zone      string // "" if it is unknown: no verdict affects the node
	StartedAt Time   // time of its latest start, 0 if that is long ago
}

// NodeHash returns the hash of a node's name that identifies the node in reports and verdicts.
func NodeHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// node is a listed node with the observations of this proxy.
type node struct {
	Node
	zone             *zone // nil if it is unknown or beyond maxZones
	hash             uint32
	inFlight         int     // attempts in flight
	waitingSince     Time    // start of the current wait for a response, 0 if no attempt is in flight
	overdue          bool    // the current wait has been counted as an unanswered attempt
	lastResponseAt   Time    // time of the latest response
	excludedFraction float64 // as last decided
	cancelInFlight   bool    // as last decided
}

// becameOverdue reports whether the current wait for a response is overdue and has not been counted yet.
func (n *node) becameOverdue(now, overdue Time) bool {
	return n.zone != nil && n.inFlight > 0 && n.waitingSince > 0 && !n.overdue && now-n.waitingSince >= overdue
}

// slowStartFraction returns the fraction of its normal load that a node sustains. It is less than 1 during slow start.
func (c *Controller) slowStartFraction(n *node) float64 {
	age := c.now - n.StartedAt
	if n.StartedAt <= 0 || age >= c.settings.SlowStartTime {
		return 1
	}
	return c.settings.SlowStartInitialFraction +
		(1-c.settings.SlowStartInitialFraction)*float64(max(age, 0))/float64(c.settings.SlowStartTime)
}

// node returns the listed node with the given index, or nil if there is none.
func (c *Controller) node(index int) *node {
	if index < 0 || index >= len(c.nodes) {
		return nil
	}
	return c.nodes[index]
}

// SetNodes replaces the endpoint list.
func (c *Controller) SetNodes(now Time, listed []Node) []Decision {
	present := make(map[int]bool, len(listed))
	for i := range listed {
		present[listed[i].Index] = true
	}
	var removed []int
	for i, n := range c.nodes {
		if n != nil && !present[i] {
			removed = append(removed, i)
		}
	}
	return c.UpdateNodes(now, listed, removed)
}

// UpdateNodes applies a change of the endpoint list: listed holds the nodes that are new or have changed, and removed
// holds the indices of nodes to remove. Indices without a listed node are ignored.
func (c *Controller) UpdateNodes(now Time, listed []Node, removed []int) []Decision {
	c.begin(now)
	for _, index := range removed {
		c.removeNode(index)
	}
	for i := range listed {
		c.addOrUpdateNode(&listed[i])
	}
	c.removeUnusedZones()
	c.applyServedFractions()
	return c.decisions
}

// removeNode removes the node with the given index, if one is listed.
func (c *Controller) removeNode(index int) {
	n := c.node(index)
	if n == nil {
		return
	}
	if n.zone != nil {
		n.zone.nodes--
	}
	c.setExclusion(n, 0, false)
	c.nodes[index] = nil
}

// addOrUpdateNode adds a node, or updates it if a node with the same name is already listed under its index. A node with
// another name is replaced.
func (c *Controller) addOrUpdateNode(listed *Node) {
	for len(c.nodes) <= listed.Index {
		c.nodes = append(c.nodes, nil)
	}
	if n := c.nodes[listed.Index]; n != nil && n.Name != listed.Name {
		c.removeNode(listed.Index)
	}
	n := c.nodes[listed.Index]
	if n == nil {
		n = &node{hash: NodeHash(listed.Name), lastResponseAt: c.now - distantPast}
		c.nodes[listed.Index] = n
	}
	if n.zone != nil {
		n.zone.nodes--
	}
	n.Node, n.zone = *listed, c.findOrAddZone(listed.Zone)
	if n.zone != nil {
		n.zone.nodes++
	}
}
