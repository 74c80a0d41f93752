package balancer

import (
	"cmp"
	"math"
	"slices"
)

// ring is the consistent-hash ring of the ready caches.
type ring struct {
	points          []ringPoint // in order
	caches          int         // endpoints on the ring
	servingCaches   float64     // caches, less the part of the keys that avoid each
	referenceWeight float64     // weight of an endpoint with ringPointsPerEndpoint points, 0: not known yet
}

// ringPoint is one place of an endpoint on the ring.
type ringPoint struct {
	position uint64
	endpoint int32
}

func (p ringPoint) compare(q ringPoint) int {
	switch {
	case p.position < q.position:
		return -1
	case p.position > q.position:
		return 1
	}
	return int(p.endpoint - q.endpoint)
}

// search returns the index of the first point at or after a position, len(points) if there is none.
func (r *ring) search(position uint64) int {
	i, _ := slices.BinarySearchFunc(r.points, position, func(p ringPoint, position uint64) int {
		return cmp.Compare(p.position, position)
	})
	return i
}

// add merges points into the ring, from its end. What stands there is not sorted anew: that was slow where
// hundreds of endpoints come one by one.
func (r *ring) add(points []ringPoint) {
	slices.SortFunc(points, ringPoint.compare)
	i, j := len(r.points)-1, len(points)-1
	r.points = append(r.points, points...)
	for k := len(r.points) - 1; j >= 0; k-- {
		if i >= 0 && r.points[i].compare(points[j]) > 0 {
			r.points[k] = r.points[i]
			i--
		} else {
			r.points[k] = points[j]
			j--
		}
	}
}

// rebuildRing follows the endpoint list. The points of a cache depend on nothing but its name and weight, so
// that one that joins or leaves moves its own keys only.
func (b *Balancer) rebuildRing() {
	servingBefore, anyLeaves := b.ring.servingCaches, false
	b.origins, b.ring.caches, b.ring.servingCaches = b.origins[:0], 0, 0
	b.setReferenceWeight()
	var added []ringPoint
	for i := range b.endpoints {
		endpoint := &b.endpoints[i]
		if endpoint.Ready && endpoint.Origin {
			b.origins = append(b.origins, i)
		}
		points := b.pointsOf(endpoint)
		if points > 0 {
			b.ring.caches++
			b.ring.servingCaches = b.ring.servingCaches + 1 - endpoint.excludedShare
		}
		endpoint.pointsChanged = points != endpoint.points
		if !endpoint.pointsChanged {
			continue
		}
		anyLeaves = anyLeaves || endpoint.points > 0
		endpoint.points = points
		added = slices.Grow(added, points)
		for point := range points {
			added = append(added, ringPoint{ringPosition(endpoint.Name, point), int32(i)})
		}
	}
	b.scaleCapacity(servingBefore)
	if anyLeaves {
		b.ring.points = slices.DeleteFunc(b.ring.points, func(p ringPoint) bool {
			return b.endpoints[p.endpoint].pointsChanged
		})
	}
	b.ring.add(added)
}

// setReferenceWeight takes the power of two next to the mean weight, once: it is the same at every proxy,
// however their lists differ.
func (b *Balancer) setReferenceWeight() {
	sum, caches := 0.0, 0.0
	for i := range b.endpoints {
		if endpoint := &b.endpoints[i]; endpoint.Ready && !endpoint.Origin {
			sum, caches = sum+endpoint.Weight, caches+1
		}
	}
	if b.ring.referenceWeight == 0 && sum > 0 {
		b.ring.referenceWeight = math.Exp2(math.Round(math.Log2(sum / caches)))
	}
}
