package balancer

import (
	"math"
	"math/bits"
	"slices"
)

const (
	// pointsPerBucket is the maximum mean number of points per bucket after a rebuild; spareBucketPoints is the
	// capacity that is added to a bucket when it grows.
	pointsPerBucket   = 16
	spareBucketPoints = 8
	// The ring is rebuilt if the mean number of points per bucket leaves these bounds, or if more than one in
	// rebuildDivisor of its points changes, since that costs less than inserting as many points one by one.
	maxPointsPerBucket = 4 * pointsPerBucket
	minPointsPerBucket = pointsPerBucket / 4
	rebuildDivisor     = 4
)

// ring is the consistent-hash ring of the ready caches. Its points are stored in buckets by the most
// significant bits of their positions, so a cache that joins or leaves moves only points in the buckets of
// its own points.
type ring struct {
	// in the order of their positions, the points of each sorted; a power of two of them, none for an empty ring
	buckets         [][]ringPoint
	shift           int     // right shift that gives the bucket of a position
	size            int     // number of points
	caches          int     // number of endpoints on the ring
	servingCaches   float64 // caches minus their excluded fractions
	excluded        int     // number of caches with an excluded fraction
	referenceWeight float64 // weight of an endpoint with ringPointsPerEndpoint points; 0: not set yet
}

// ringPoint is one point of an endpoint on the ring.
type ringPoint struct {
	position uint64
	endpoint int32
}

// ringChange is a change of the number of an endpoint's points. An endpoint with n points has those numbered
// 0 to n-1.
type ringChange struct {
	endpoint      int32
	name          string
	before, after int
}

func (p ringPoint) before(q ringPoint) bool {
	return p.position < q.position || p.position == q.position && p.endpoint < q.endpoint
}

// update applies changes of the numbers of points. Each endpoint occurs at most once.
func (r *ring) update(changes []ringChange) {
	moved, size := 0, r.size
	for i := range changes {
		change := &changes[i]
		moved += max(change.before, change.after) - min(change.before, change.after)
		size += change.after - change.before
	}
	if moved*rebuildDivisor > size || size > maxPointsPerBucket*len(r.buckets) ||
		size < minPointsPerBucket*len(r.buckets) {
		r.rebuild(changes, size)
		return
	}
	for i := range changes {
		change := &changes[i]
		positions := newRingHash(change.name)
		for number := change.after; number < change.before; number++ {
			r.remove(ringPoint{positions.at(number), change.endpoint})
		}
		for number := change.before; number < change.after; number++ {
			r.insert(ringPoint{positions.at(number), change.endpoint})
		}
	}
	r.size = size
}

func (r *ring) insert(point ringPoint) {
	bucket := &r.buckets[point.position>>r.shift]
	i := r.search(*bucket, point)
	if len(*bucket) == cap(*bucket) {
		grown := make([]ringPoint, len(*bucket), len(*bucket)+spareBucketPoints)
		copy(grown, *bucket)
		*bucket = grown
	}
	*bucket = slices.Insert(*bucket, i, point)
}

func (r *ring) remove(point ringPoint) {
	bucket := &r.buckets[point.position>>r.shift]
	if i := r.search(*bucket, point); i < len(*bucket) && (*bucket)[i] == point {
		*bucket = slices.Delete(*bucket, i, i+1)
	}
}

// search returns the index of the first point in a bucket that is not before the given point. Positions are
// distributed evenly, so the search starts at the index that equal distances would give.
func (r *ring) search(bucket []ringPoint, point ringPoint) int {
	offset := point.position << (64 - r.shift) // position within the bucket, scaled to 64 bits
	guess, _ := bits.Mul64(offset, uint64(len(bucket)))
	i := int(guess)
	for i > 0 && !bucket[i-1].before(point) {
		i--
	}
	for i < len(bucket) && bucket[i].before(point) {
		i++
	}
	return i
}

// rebuild replaces the buckets by new ones for the ring after changes, which then has size points.
func (r *ring) rebuild(changes []ringChange, size int) {
	before := *r
	r.size, r.buckets = size, nil
	if size == 0 {
		return
	}
	indexBits := bits.Len(uint(size-1) / pointsPerBucket)
	r.shift, r.buckets = 64-indexBits, make([][]ringPoint, 1<<indexBits)
	kept, added := before.unchangedPoints(changes), newPositions(changes)
	lengths := make([]uint16, len(r.buckets))
	for i := range kept {
		lengths[kept[i].position>>r.shift]++
	}
	for _, position := range added {
		lengths[position>>r.shift]++
	}
	for i, length := range lengths {
		r.buckets[i] = make([]ringPoint, 0, length)
	}
	for i := range kept {
		r.append(kept[i])
	}
	for i := range changes {
		change := &changes[i]
		for _, position := range added[:change.after] {
			r.append(ringPoint{position, change.endpoint})
		}
		added = added[change.after:]
	}
	for _, bucket := range r.buckets {
		sortBucket(bucket)
	}
}

// unchangedPoints returns the points of the endpoints that are not changed.
func (r *ring) unchangedPoints(changes []ringChange) []ringPoint {
	changed := map[int32]bool{}
	for i := range changes {
		changed[changes[i].endpoint] = true
	}
	points := make([]ringPoint, 0, r.size)
	for _, bucket := range r.buckets {
		for _, point := range bucket {
			if !changed[point.endpoint] {
				points = append(points, point)
			}
		}
	}
	return points
}

// newPositions returns the positions of all points that the changed endpoints have after the changes, one
// endpoint after another.
func newPositions(changes []ringChange) []uint64 {
	count := 0
	for i := range changes {
		count += changes[i].after
	}
	positions := make([]uint64, 0, count)
	for i := range changes {
		hash := newRingHash(changes[i].name)
		for number := range changes[i].after {
			positions = append(positions, hash.at(number))
		}
	}
	return positions
}

// append adds a point at the end of its bucket, which the caller sorts later.
func (r *ring) append(point ringPoint) {
	bucket := &r.buckets[point.position>>r.shift]
	*bucket = append(*bucket, point)
}

// sortBucket sorts the points of a bucket, by insertion because they are few.
func sortBucket(bucket []ringPoint) {
	for i := 1; i < len(bucket); i++ {
		point, at := bucket[i], i
		for ; at > 0 && point.before(bucket[at-1]); at-- {
			bucket[at] = bucket[at-1]
		}
		bucket[at] = point
	}
}

// ringWalk is a clockwise walk over all points of a ring.
type ringWalk struct {
	ring   *ring
	bucket int
	next   int // index of the next point in the bucket
	left   int // number of points not visited yet
}

// walkFrom returns a walk that starts at the first point at or after a position.
func (r *ring) walkFrom(position uint64) ringWalk {
	walk := ringWalk{ring: r, left: r.size}
	if r.size > 0 {
		walk.bucket = int(position >> r.shift)
		walk.next = r.search(r.buckets[walk.bucket], ringPoint{position, math.MinInt32})
	}
	return walk
}

// step returns the endpoint of the next point, or false if all points have been visited.
func (w *ringWalk) step() (endpoint int, ok bool) {
	if w.left == 0 {
		return 0, false
	}
	w.left--
	for w.next >= len(w.ring.buckets[w.bucket]) {
		w.bucket, w.next = (w.bucket+1)%len(w.ring.buckets), 0
	}
	endpoint = int(w.ring.buckets[w.bucket][w.next].endpoint)
	w.next++
	return endpoint, true
}
