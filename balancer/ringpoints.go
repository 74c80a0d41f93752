package balancer

// point is one place of a node on the ring.
type point struct {
	at   uint64
	node int32
}

func (p point) compare(q point) int {
	switch {
	case p.at < q.at:
		return -1
	case p.at > q.at:
		return 1
	}
	return int(p.node - q.node)
}

// merge lets sorted points into the ring, from its end.
func (b *Instance) merge(fresh []point) {
	i, j := len(b.ring)-1, len(fresh)-1
	b.ring = append(b.ring, fresh...)
	for k := len(b.ring) - 1; j >= 0; k-- {
		if i >= 0 && b.ring[i].compare(fresh[j]) > 0 {
			b.ring[k] = b.ring[i]
			i--
		} else {
			b.ring[k] = fresh[j]
			j--
		}
	}
}
