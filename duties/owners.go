package duties

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the load limit of a proxy. The load is the number of subjects that a proxy owns.
const (
	headroom          = 1.1  // minimum ratio of capacity to mean load; if less, most subjects don't get their first proxies
	capacityStep      = 1.1  // ratio of two successive capacities
	roundingTolerance = 1e-9 // prevents floating-point errors from rounding an integral capacity up by one
)

// capacity returns the maximum load of a proxy: the mean load times headroom, rounded up to a power of capacityStep and
// then to an integer. Before the second rounding it is less than a quarter above the mean. Due to the powers, the
// capacity only changes when the size of the fleet changes by about a tenth: if it changed with every proxy, a proxy
// that joins would also move duties between other proxies.
func capacity(meanLoad float64) int {
	exponent := math.Ceil(math.Log(meanLoad*headroom) / math.Log(capacityStep))
	return int(math.Ceil(math.Pow(capacityStep, exponent) - roundingTolerance))
}

// assignOwners returns the owners of each subject, as indexes into the membership: count proxies, or all if there are
// fewer. It selects the first proxies in the subject's order, from as many zones as possible, and skips proxies at
// capacity. Subjects are assigned in the order of their hashes. No load exceeds the mean by more than a quarter, rounded
// up, unless no proxy below capacity remains for the last subjects.
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

// ownerAssignment is the state of one call of assignOwners. All slices except zoneOwners have one element for each
// proxy, in the order of the membership.
type ownerAssignment struct {
	capacity    int      // maximum load of a proxy
	loads       []int    // number of subjects that each proxy owns so far
	mixedHashes []uint64 // results of mix for the hashes of the proxy names
	zones       []int    // zone numbers
	zoneOwners  []int    // number of owners of the current subject in each zone
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

// noProxy is returned in place of a proxy's index if no proxy was found.
const noProxy = -1

// assign selects the owners of one subject. There must be at least count proxies.
func (a *ownerAssignment) assign(subject uint64, count int) []int32 {
	var owners []int32
	clear(a.zoneOwners)
	zoneLimit := 0 // zones with more owners of the subject are skipped
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

// candidate is the result of a search for the next owner.
type candidate struct {
	proxy      int  // index, or noProxy
	otherZones bool // whether some proxy is below capacity, although its zone may have been skipped
}

// firstCandidate returns the proxy with the highest score for a subject among the proxies that are below capacity, not
// yet owners, and in a zone with at most zoneLimit owners.
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

// leastLoaded returns the proxy with the lowest load among those that are not yet owners, even if it is at capacity.
func (a *ownerAssignment) leastLoaded(owners []int32) int {
	least := noProxy
	for i, load := range a.loads {
		if !slices.Contains(owners, int32(i)) && (least == noProxy || load < a.loads[least]) {
			least = i
		}
	}
	return least
}
