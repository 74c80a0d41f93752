package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	ringSpots = 160 // points of a node of usual weight (the design's figure)
	overMean  = 2.0 // the pass-over bound, in own means (the design's figure)
)

const unknown, nowhere = -1, -2

// look walks clockwise from the key's hash to the first server that may have the exchange.
func (b *Instance) look() {
	b.pick = nowhere
	if len(b.ring) == 0 {
		return
	}
	h := b.hand.Key
	if !b.hand.Keyed {
		h = uint64(b.draw() * (1 << 53))
	}
	h = mix(h)
	i, _ := slices.BinarySearchFunc(b.ring, h, func(p point, h uint64) int { return cmp.Compare(p.at, h) })
	b.walk++
	sick, crowd := nowhere, nowhere
	bound := max(overMean*float64(b.flying)/float64(b.caches)+1, 1)
	for left, step := b.caches, 0; left > 0 && step < len(b.ring); step++ {
		at := int(b.ring[(i+step)%len(b.ring)].node)
		n := &b.nodes[at]
		if n.seen == b.walk {
			continue
		}
		n.seen = b.walk
		left--
		over := step == 0 && n.out >= 2 && float64(n.out) > bound || b.refuses(n)
		switch {
		case slices.Contains(b.hand.tried, at) || !b.inGroup(at) || b.barred(n) || b.coldFull(n):
		case b.sick(n) || over || n.doubt > 0 && b.draw() < b.doubt(n):
			if sick == nowhere {
				sick = at // better than none
			}
		case crowd != nowhere:
			if b.pick = crowd; n.slow < b.nodes[crowd].slow/2 {
				b.pick = at
			}
			return
		case b.crowded(n):
			crowd = at
		default:
			b.pick = at
			return
		}
	}
	if b.pick = sick; crowd != nowhere {
		b.pick = crowd
	}
}

// crowded holds for a node whose latest answers took most of the time that the exchange in hand has left;
// the next clockwise serves it if that one is twice as quick.
func (b *Instance) crowded(n *node) bool {
	// sooner, where it is seldom met, but not so soon that chance passes keys on
	most := max(b.crowd-0.15*weight(0, b.meetings(), 10*second), 0.3)
	return n.slow > most*float64(min(b.hand.good, b.hand.aim)-b.now) &&
		b.now-n.slowAt < max(3*b.hush, 2*b.meetings())
}

// refuses holds by chance for a node that turned over a third of this proxy's latest tries away as full,
// always for one that turned away nearly all: a hot key spreads clockwise over as many nodes as it takes,
// without a try in vain at each. It fades, so that the node is asked again.
func (b *Instance) refuses(n *node) bool {
	if n.refused < 0.35 {
		return false
	}
	age := float64(b.now-n.triedAt) / float64(max(second, b.meetings()))
	return b.draw() < 2*n.refused*math.Exp2(-age)-0.7
}

// rebuild brings the ring up to date: each ready cache by its points. Points depend on nothing but name
// and weight, so that a join or leave moves only that server's arcs; what stays is not sorted anew, which
// hundreds of nodes that come one by one made dear.
func (b *Instance) rebuild() {
	before, leaves := b.open, false
	b.origins, b.caches, b.open = b.origins[:0], 0, 0
	sum, many := 0.0, 0.0
	for i := range b.nodes {
		if n := &b.nodes[i]; n.Ready && !n.Origin {
			sum, many = sum+n.Weight, many+1
		}
	}
	if b.weightOf == 0 && sum > 0 {
		// the power of two next to the mean: the same at every proxy, whatever its list
		b.weightOf = math.Exp2(math.Round(math.Log2(sum / many)))
	}
	var fresh []point
	for i := range b.nodes {
		n := &b.nodes[i]
		spots := 0
		switch {
		case !n.Ready:
		case n.Origin:
			b.origins = append(b.origins, i)
		case b.rough && n.Weight > 0:
			spots = max(int(math.Round(ringSpots*n.Weight/b.weightOf)), 1)
		default:
			spots = ringSpots
		}
		if spots > 0 {
			b.caches, b.open = b.caches+1, b.open+1-n.part
		}
		if n.moved = spots != n.spots; n.moved {
			leaves = leaves || n.spots > 0
			n.spots = spots
			fresh = slices.Grow(fresh, spots)
			for v := range spots {
				fresh = append(fresh, point{spot(n.Name, v), int32(i)})
			}
		}
	}
	switch {
	case b.open == 0:
	case before == 0:
		b.room = max(8*float64(b.caches)*b.share, 8) // to begin with: eight at each cache, of all proxies
	default:
		b.room *= b.open / before // more caches, more room
	}
	if leaves {
		b.ring = slices.DeleteFunc(b.ring, func(p point) bool { return b.nodes[p.node].moved })
	}
	slices.SortFunc(fresh, point.compare)
	b.merge(fresh)
}
