package duties

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxNodes bounds the nodes whose duties are shared. For nodes beyond, each proxy acts for itself.
const maxNodes = 1024

// node is a cache of the endpoint list, with the state that the duties about it have.
type node struct {
	name    string
	hash    uint64
	ejected bool // by this proxy
	owned   bool // this proxy keeps idle connections to it
	probes  probeHistory
	silence recentReports // other proxies that lately reported that it does not answer
}

// nodeTable holds the nodes of the endpoint list.
type nodeTable struct {
	byName map[string]*node
	sorted []*node // by name
}

// nodeChanges is what an update of the endpoint list changed.
type nodeChanges struct {
	added   []*node // in the order of the update
	removed int
}

func (c *nodeChanges) any() bool { return len(c.added) > 0 || c.removed > 0 }

// update replaces the nodes by those of an endpoint list. Nodes that stay keep their state.
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

// hashes of the nodes, in the order of their names.
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
