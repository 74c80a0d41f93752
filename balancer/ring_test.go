package balancer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func points(positions ...uint64) []ringPoint {
	var p []ringPoint
	for i, position := range positions {
		p = append(p, ringPoint{position, int32(i)})
	}
	return p
}

func comparePoints(p, q ringPoint) int {
	return cmp.Or(cmp.Compare(p.position, q.position), cmp.Compare(p.endpoint, q.endpoint))
}

// ringOf returns a ring with the given points and sixteen buckets.
func ringOf(before []ringPoint) *ring {
	r := &ring{shift: 60, buckets: make([][]ringPoint, 16)}
	for _, point := range before {
		r.insert(point)
	}
	r.size = len(before)
	return r
}

// allPoints returns the points of a ring in order.
func (r *ring) allPoints() []ringPoint { return slices.Concat(r.buckets...) }

func TestRingInsertKeepsPointsInOrder(t *testing.T) {
	const high = uint64(1) << 63
	tests := map[string]struct{ before, added []ringPoint }{
		"none to an empty ring": {nil, nil},
		"to an empty ring":      {nil, points(9, 3, 5)},
		"none":                  {points(1, 2, 3), nil},
		"before all":            {points(10, 20), points(2, 1)},
		"after all":             {points(10, 20), points(31, 30)},
		"between":               {points(10, 20, 30), points(25, 5, 15, 35)},
		"at the same positions": {points(10, 20, 30), points(10, 20, 30)},
		"in several buckets":    {points(10, high+20, high+30), points(high+25, 5, high/2, ^uint64(0))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := slices.Concat(test.before, test.added)
			slices.SortFunc(want, comparePoints)
			r := ringOf(test.before)
			for _, point := range test.added {
				r.insert(point)
			}
			if !slices.Equal(r.allPoints(), want) {
				t.Errorf("got points %v, want %v", r.allPoints(), want)
			}
		})
	}
}

// The ring must contain the same points as a sorted list, and a walk must visit them in that order, after any sequence
// in which endpoints join, leave and change their weights, one by one or many at once.
func TestRingFollowsChangesAsASortedListDoes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r, counts := &ring{}, map[int32]int{}
	for range 300 {
		changes := drawChanges(random, counts)
		r.update(changes)
		var want []ringPoint
		for endpoint, count := range counts {
			for number := range count {
				want = append(want, ringPoint{newRingHash(endpointName(endpoint)).at(number), endpoint})
			}
		}
		slices.SortFunc(want, comparePoints)
		if !slices.Equal(r.allPoints(), want) || r.size != len(want) {
			t.Fatalf("got %d points and size %d, want the %d points of the sorted list", len(r.allPoints()), r.size, len(want))
		}
		checkWalk(t, r, want, random.Uint64())
	}
}

func endpointName(endpoint int32) string { return fmt.Sprint("cache-", endpoint) }

// drawChanges draws random changes of the numbers of points, usually of one endpoint, and applies them to counts.
func drawChanges(random *rand.Rand, counts map[int32]int) (changes []ringChange) {
	const endpoints = 40
	changed := 1
	if random.IntN(8) == 0 {
		changed = random.IntN(endpoints)
	}
	for _, endpoint := range random.Perm(endpoints)[:changed] {
		change := ringChange{endpoint: int32(endpoint), name: endpointName(int32(endpoint)), before: counts[int32(endpoint)]}
		if random.IntN(3) > 0 {
			change.after = random.IntN(2 * ringPointsPerEndpoint)
		}
		counts[int32(endpoint)] = change.after
		changes = append(changes, change)
	}
	return changes
}

func checkWalk(t *testing.T, r *ring, points []ringPoint, position uint64) {
	t.Helper()
	first := slices.IndexFunc(points, func(p ringPoint) bool { return p.position >= position })
	walk := r.walkFrom(position)
	for i := range points {
		want := int(points[(max(first, 0)+i)%len(points)].endpoint)
		if got, ok := walk.step(); !ok || got != want {
			t.Fatalf("step %d from %#x: got %d, %v, want %d, true", i, position, got, ok, want)
		}
	}
	if _, ok := walk.step(); ok {
		t.Fatalf("walk from %#x continues after all points", position)
	}
}

func TestRingWalkBeginsAtTheNextPoint(t *testing.T) {
	r := ringOf(points(10, 20, 30))
	tests := map[string]struct {
		position uint64
		want     int
	}{
		"before all":    {0, 0},
		"at a point":    {20, 1},
		"after a point": {21, 2},
		"after all":     {31, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			walk := r.walkFrom(test.position)
			if got, ok := walk.step(); !ok || got != test.want {
				t.Errorf("got endpoint %d, want %d", got, test.want)
			}
		})
	}
}

// All proxies, whatever their version, must place the points of an endpoint at the same positions.
func TestRingPositionStaysTheSame(t *testing.T) {
	tests := map[string]struct {
		name  string
		index int
		want  uint64
	}{
		"first point":  {"cache-1", 0, 0x1e140f35b9189aaa},
		"later point":  {"cache-1", 159, 0xc7d3fb69293859e3},
		"another name": {"cache-2", 0, 0x9c051567a063615b},
		"no name":      {"", 0, 0x4c5109313f4c5d42},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := newRingHash(test.name).at(test.index); got != test.want {
				t.Errorf("got position %#x, want %#x", got, test.want)
			}
		})
	}
}

// listOf returns the complete endpoint list of a fleet of caches.
func listOf(caches int) EndpointUpdate {
	update := EndpointUpdate{Complete: true, First: true}
	for i := range caches {
		update.Endpoints = append(update.Endpoints, Endpoint{Index: i, Name: endpointName(int32(i)), Ready: true, Weight: 1})
	}
	return update
}

var fleetSizes = []int{200, 3200, 12800}

func BenchmarkCompleteList(b *testing.B) {
	for _, caches := range fleetSizes {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			list := listOf(caches)
			b.ReportAllocs()
			for b.Loop() {
				New(0, Settings{}, 1).UpdateEndpoints(1, list)
			}
		})
	}
}

func BenchmarkChangedEndpoint(b *testing.B) {
	for _, caches := range fleetSizes {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			balancer := New(0, Settings{}, 1)
			balancer.UpdateEndpoints(1, listOf(caches))
			endpoint := Endpoint{Index: 7, Name: endpointName(7), Weight: 1}
			for i := 0; b.Loop(); i++ {
				endpoint.Ready = i%2 == 1
				balancer.UpdateEndpoints(2, EndpointUpdate{Endpoints: []Endpoint{endpoint}})
			}
		})
	}
}

// BenchmarkReplaced measures the updates when all caches leave and return, one by one.
func BenchmarkReplaced(b *testing.B) {
	for _, caches := range fleetSizes {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			balancer, list := New(0, Settings{}, 1), listOf(caches)
			balancer.UpdateEndpoints(1, list)
			for i := 0; b.Loop(); i++ {
				endpoint := list.Endpoints[i/2%caches]
				endpoint.Ready = i%2 == 1
				balancer.UpdateEndpoints(2, EndpointUpdate{Endpoints: []Endpoint{endpoint}})
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, caches := range fleetSizes {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			balancer := New(0, Settings{}, 1)
			balancer.UpdateEndpoints(1, listOf(caches))
			for key := uint64(0); b.Loop(); key++ {
				walk := balancer.ring.walkFrom(mixHash(key))
				walk.step()
			}
		})
	}
}
