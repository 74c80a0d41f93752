package duties

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxNodes is the maximum number of nodes whose duties are shared. Each proxy performs the duties for further nodes itself.
const maxNodes = 1024

// node is a node of the endpoint list, with the state of the duties that concern it.
type node struct {
	name           string
	hash           uint64 // hash of the name
	ejected        bool   // whether this proxy has ejected the node
	owned          bool   // whether this proxy keeps idle connections to the node
	probes         probeHistory
	failureReports recentReports // recent reports from other proxies that the node does not respond
}

// nodeTable holds the nodes of the endpoint list, at most maxNodes.
type nodeTable struct {
	byName map[string]*node
	sorted []*node // the nodes, ordered by name
}

// nodeChanges lists the changes that an update of the endpoint list made to a nodeTable.
type nodeChanges struct {
	added   []*node // in the order of the endpoint list
	removed int     // number of removed nodes
}

func (c *nodeChanges) any() bool { return len(c.added) > 0 || c.removed > 0 }

// update replaces the nodes with those of an endpoint list. Nodes that are still listed keep their state.
func (t *nodeTable) update(names []string) nodeChanges {
	var changes nodeChanges
	listed := make(map[string]struct{}, len(names))
	for _, name := range names {
		listed[name] = struct{}{}
		if t.byName[name] == nil && len(t.byName) < maxNodes {
			n := &node{name: name, hash: xxhash.Sum64String(name), owned: true}
			t.byName[name] = n
			changes.added = append(changes.added, n)
		}
	}
	for name := range t.byName {
		if _, stays := listed[name]; !stays {
			delete(t.byName, name)
			changes.removed++
		}
	}
	t.sorted = t.sorted[:0]
	for _, n := range t.byName {
		t.sorted = append(t.sorted, n)
	}
	slices.SortFunc(t.sorted, func(a, b *node) int { return strings.Compare(a.name, b.name) })
	return changes
}

// hashes returns the hashes of the node names, in the order of the names.
func (t *nodeTable) hashes() []uint64 {
	all := make([]uint64, len(t.sorted))
	for i, n := range t.sorted {
		all[i] = n.hash
	}
	return all
}

func (t *nodeTable) ejectedCount() int {
	count := 0
	for _, n := range t.sorted {
		if n.ejected {
			count++
		}
	}
	return count
}
