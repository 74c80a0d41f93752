package zonehealth

import "github.com/cespare/xxhash/v2"

// Node is a cache server in the endpoint list.
type Node struct {
	Index int // by which the caller and decisions refer to it, from 0
	Name  string
	Zone  string // "" where it is not known: no zone's verdict affects the node
	Since Time   // its latest start, 0: long ago
}

// Hash is the hash of a node's name that stands for the node in reports and verdicts.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// node is a listed node with this proxy's own observations.
type node struct {
	Node
	zone           *zone // nil: unknown, or beyond maxZones
	hash           uint32
	inFlight       int  // attempts
	waitingSince   Time // since when the oldest attempt in flight has no answer, 0: none is in flight
	overdue        bool // the oldest attempt in flight has been counted as unanswered
	answeredAt     Time // the latest answer
	excludedShare  float64
	cancelInFlight bool // as excludedShare, as last decided
}

// becameOverdue reports whether the oldest attempt in flight has just become overdue.
func (n *node) becameOverdue(now, overdue Time) bool {
	return n.zone != nil && n.inFlight > 0 && n.waitingSince > 0 && !n.overdue && now-n.waitingSince >= overdue
}

// slowStartShare is the share of its work that a node bears: less than 1 until its slow start is over.
func (c *Instance) slowStartShare(n *node) float64 {
	age := c.now - n.Since
	if n.Since <= 0 || age >= c.settings.Cold {
		return 1
	}
	return c.settings.ColdFrom + (1-c.settings.ColdFrom)*float64(max(age, 0))/float64(c.settings.Cold)
}

// node returns the listed node of an index, nil: there is none.
func (c *Instance) node(index int) *node {
	if index < 0 || index >= len(c.nodes) {
		return nil
	}
	return c.nodes[index]
}

// Nodes takes the complete endpoint list.
func (c *Instance) Nodes(now Time, listed []Node) []Decision {
	c.begin(now)
	for _, z := range c.zones {
		z.nodes = 0
	}
	present := make(map[int]bool, len(listed))
	for _, l := range listed {
		present[l.Index] = true
		c.listNode(l)
	}
	for i := range c.nodes {
		if !present[i] {
			c.nodes[i] = nil
		}
	}
	c.removeUnusedZones()
	c.applyShares()
	return c.decisions
}

// listNode adds a node, or updates it where the same one was listed before under its index.
func (c *Instance) listNode(listed Node) {
	for len(c.nodes) <= listed.Index {
		c.nodes = append(c.nodes, nil)
	}
	n := c.nodes[listed.Index]
	if n == nil || n.Name != listed.Name {
		n = &node{hash: Hash(listed.Name), answeredAt: c.now - distantPast}
		c.nodes[listed.Index] = n
	}
	n.Node, n.zone = listed, c.findOrAddZone(listed.Zone)
	if n.zone != nil {
		n.zone.nodes++
	}
}
