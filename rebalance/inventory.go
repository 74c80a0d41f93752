package rebalance

import "slices"

// Node is a cache node.
type Node struct {
	Name     string  `json:"name"` // unique and not empty
	Zone     string  `json:"zone,omitempty"`
	Capacity int64   `json:"room_bytes"`       // in bytes, at least 0
	Weight   float64 `json:"weight,omitempty"` // relative share of the load, from 0 to below 1e9; 0 means 1
	Draining bool    `json:"leaves,omitempty"` // the node receives no shards and has to be empty in the end
}

// effectiveWeight returns the node's relative share of the load, with the default applied.
func (n *Node) effectiveWeight() float64 {
	if n.Weight == 0 {
		return 1
	}
	return n.Weight
}

// Shard is one part of the key space with its size, its location and its placement constraints.
type Shard struct {
	ID           int      `json:"id"`              // unique
	Bytes        int64    `json:"bytes"`           // from 0 to 1<<50
	Source       string   `json:"on,omitempty"`    // name of the node that stores the shard; empty: none yet
	Target       string   `json:"want,omitempty"`  // name of the required final node; empty: chosen by load
	Pinned       bool     `json:"pin,omitempty"`   // the shard must not migrate
	Zones        []string `json:"zones,omitempty"` // zones that the shard may be in; empty: all
	AntiAffinity string   `json:"apart,omitempty"` // group whose shards must all be in different zones; empty: none
}

// allowsZone reports whether the shard may be in a zone.
func (s *Shard) allowsZone(zone string) bool {
	return len(s.Zones) == 0 || slices.Contains(s.Zones, zone)
}

// Inventory lists the nodes of a fleet and the shards that they store.
type Inventory struct {
	Nodes  []Node  `json:"nodes"`
	Shards []Shard `json:"shards"`
}
