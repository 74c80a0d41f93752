package zonehealth

import "github.com/cespare/xxhash/v2"

// Node is a cache server in the endpoint list.
type Node struct {
	Index     int // by which the caller and decisions refer to it, from 0
	Name      string
	Zone      string // "" where it is not known: no zone's verdict affects the node
	StartedAt Time   // its latest start, 0: long ago
}

// NodeHash is the hash of a node's name that stands for the node in reports and verdicts.
func NodeHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// node is a listed node with this proxy's own observations.
type node struct {
	Node
	zone             *zone // nil: unknown, or beyond maxZones
	hash             uint32
	inFlight         int  // attempts
	waitingSince     Time // since when the oldest attempt in flight has no answer, 0: none is in flight
	overdue          bool // the oldest attempt in flight has been counted as unanswered
	lastResponseAt   Time // the latest answer
	excludedFraction float64
	cancelInFlight   bool // as excludedFraction, as last decided
}

// becameOverdue reports whether the oldest attempt in flight has just become overdue.
func (n *node) becameOverdue(now, overdue Time) bool {
	return n.zone != nil && n.inFlight > 0 && n.waitingSince > 0 && !n.overdue && now-n.waitingSince >= overdue
}

// slowStartFraction is the share of its work that a node bears: less than 1 until its slow start is over.
func (c *Controller) slowStartFraction(n *node) float64 {
	age := c.now - n.StartedAt
	if n.StartedAt <= 0 || age >= c.settings.SlowStartTime {
		return 1
	}
	return c.settings.SlowStartInitialFraction + (1-c.settings.SlowStartInitialFraction)*float64(max(age, 0))/float64(c.settings.SlowStartTime)
}

// node returns the listed node of an index, nil: there is none.
func (c *Controller) node(index int) *node {
	if index < 0 || index >= len(c.nodes) {
		return nil
	}
	return c.nodes[index]
}

// SetNodes takes the complete endpoint list.
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

// UpdateNodes takes a change of the endpoint list: nodes that are new or have changed, and the indices of nodes that
// are not listed any more, or never were.
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

// removeNode forgets the node of an index, if one is listed.
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

// addOrUpdateNode adds a node, or updates it where the same one was listed before under its index.
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
