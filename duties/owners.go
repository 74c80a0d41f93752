package duties

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of a proxy's load, relative to the mean load.
const (
	headroom     = 1.1  // least capacity: with less, most subjects would not get the first proxies in their order
	capacityStep = 1.1  // ratio of two successive capacities
	roundingSlip = 1e-9 // keeps errors of floating point from adding one to a whole capacity
)

// capacity is the highest load that a proxy may have: the next value, over a tenth above the mean, of a geometric
// series. Together that is less than a quarter above the mean. With the series the capacity changes with every tenth
// proxy or so; if it changed with each, a proxy that joins would move duties that have nothing to do with it.
func capacity(meanLoad float64) int {
	exponent := math.Ceil(math.Log(meanLoad*headroom) / math.Log(capacityStep))
	return int(math.Ceil(math.Pow(capacityStep, exponent) - roundingSlip))
}

// assignOwners gives each subject its owners, by index into the membership: count proxies, or all if there are
// fewer. It takes those that come first in the subject's order, from as many zones as possible, and skips proxies at
// capacity. Subjects are assigned in the order of their hashes. A load is at most a quarter above the mean, rounded
// up, except where the last subjects find no proxy below capacity.
func (m *membership) assignOwners(subjects []uint64, count int) [][]int32 {
	proxies := len(m.hashes)
	count = min(count, proxies)
	owners := make([][]int32, len(subjects))
	if count == 0 || len(subjects) == 0 {
		return owners
	}
	order := make([]int, len(subjects))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(subjects[a], subjects[b]) })
	a := newOwnerAssignment(m, capacity(float64(count)*float64(len(subjects))/float64(proxies)))
	for _, i := range order {
		owners[i] = a.assign(subjects[i], count)
	}
	return owners
}

// ownerAssignment is the state of one run of assignOwners. Slices but zoneOwners run in parallel with the
// membership's.
type ownerAssignment struct {
	capacity    int
	loads       []int // subjects that each proxy owns so far
	mixedHashes []uint64
	zones       []int
	zoneOwners  []int // owners of the present subject in each zone
}

func newOwnerAssignment(m *membership, capacity int) *ownerAssignment {
	a := &ownerAssignment{
		capacity:    capacity,
		loads:       make([]int, len(m.hashes)),
		mixedHashes: make([]uint64, len(m.hashes)),
		zones:       m.zones,
		zoneOwners:  make([]int, m.zoneCount),
	}
	for i, hash := range m.hashes {
		a.mixedHashes[i] = mix(hash)
	}
	return a
}

// noProxy stands for the index of a proxy where none was found.
const noProxy = -1

// assign picks the owners of one subject. There have to be at least count proxies.
func (a *ownerAssignment) assign(subject uint64, count int) []int32 {
	var owners []int32
	clear(a.zoneOwners)
	zoneLimit := 0 // zones with more owners than this are skipped
	for len(owners) < count {
		c := a.firstCandidate(subject, owners, zoneLimit)
		if c.proxy == noProxy && c.otherZones {
			zoneLimit++
			continue
		}
		if c.proxy == noProxy {
			c.proxy = a.leastLoaded(owners)
		}
		owners = append(owners, int32(c.proxy))
		a.loads[c.proxy]++
		a.zoneOwners[a.zones[c.proxy]]++
	}
	return owners
}

// candidate is what a search for the next owner found.
type candidate struct {
	proxy      int  // index, or noProxy
	otherZones bool // some proxy is below capacity, but its zone may have been skipped
}

// firstCandidate finds the proxy with the highest score among those below capacity in zones with at most zoneLimit
// owners.
func (a *ownerAssignment) firstCandidate(subject uint64, owners []int32, zoneLimit int) candidate {
	found, highest := candidate{proxy: noProxy}, uint64(0)
	for i, mixed := range a.mixedHashes {
		if a.loads[i] >= a.capacity || slices.Contains(owners, int32(i)) {
			continue
		}
		found.otherZones = true
		if a.zoneOwners[a.zones[i]] > zoneLimit {
			continue
		}
		if s := mix(subject ^ mixed); found.proxy == noProxy || s > highest {
			found.proxy, highest = i, s
		}
	}
	return found
}

// leastLoaded finds the proxy with the lowest load among those that are not yet owners, at capacity or not.
func (a *ownerAssignment) leastLoaded(owners []int32) int {
	least := noProxy
	for i, load := range a.loads {
		if !slices.Contains(owners, int32(i)) && (least == noProxy || load < a.loads[least]) {
			least = i
		}
	}
	return least
}
