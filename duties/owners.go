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
// capacity and those that would leave too little capacity for the remaining subjects. Subjects are assigned in the order
// of their hashes. No load exceeds the mean by more than a quarter, rounded up.
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
	a := newOwnerAssignment(m, len(subjects), count)
	for _, i := range order {
		owners[i] = a.assign(subjects[i])
	}
	return owners
}

// ownerAssignment is the state of one call of assignOwners. The slices except zoneOwners have one element for each
// proxy, in the order of the membership.
//
// As the owners of a subject are distinct, a proxy can take at most the smaller of its free capacity and the number of
// remaining subjects. The remaining subjects can get all their owners as long as the sum of these is at least the number
// of ownerships they need, that is, surplus is not negative.
type ownerAssignment struct {
	count       int      // owners of a subject
	capacity    int      // maximum load of a proxy
	remaining   int      // subjects without owners, including the current one
	surplus     int      // ownerships that the proxies can take beyond those that the remaining subjects need
	loads       []int    // number of subjects that each proxy owns so far
	mixedHashes []uint64 // results of mix for the hashes of the proxy names
	zones       []int    // zone numbers
	zoneOwners  []int    // number of owners of the current subject in each zone
}

func newOwnerAssignment(m *membership, subjects, count int) *ownerAssignment {
	proxies := len(m.hashes)
	limit := capacity(float64(count) * float64(subjects) / float64(proxies))
	a := &ownerAssignment{
		count:       count,
		capacity:    limit,
		remaining:   subjects,
		surplus:     proxies*min(limit, subjects) - count*subjects,
		loads:       make([]int, proxies),
		mixedHashes: make([]uint64, proxies),
		zones:       m.zones,
		zoneOwners:  make([]int, m.zoneCount),
	}
	for i, hash := range m.hashes {
		a.mixedHashes[i] = mix(hash)
	}
	return a
}

// assign selects the owners of one subject. Each uncapped proxy that is left out reduces the surplus by one, so that
// once the surplus allows no further one, only uncapped proxies are selected.
func (a *ownerAssignment) assign(subject uint64) []int32 {
	var owners []int32
	clear(a.zoneOwners)
	uncapped := a.countUncapped()
	for len(owners) < a.count {
		onlyUncapped := uncapped-a.surplus >= a.count-len(owners)
		p := a.firstCandidate(subject, owners, onlyUncapped)
		if a.isUncapped(p) {
			uncapped--
		}
		owners = append(owners, int32(p))
		a.loads[p]++
		a.zoneOwners[a.zones[p]]++
	}
	a.surplus -= uncapped
	a.remaining--
	return owners
}

// isUncapped reports whether a proxy could own all remaining subjects.
func (a *ownerAssignment) isUncapped(p int) bool { return a.capacity-a.loads[p] >= a.remaining }

func (a *ownerAssignment) countUncapped() int {
	count := 0
	for p := range a.loads {
		if a.isUncapped(p) {
			count++
		}
	}
	return count
}

// firstCandidate returns the next owner of a subject: among the proxies below capacity, or only the uncapped ones, that
// are not yet owners, those whose zones have the fewest owners, and of these the one with the highest score.
func (a *ownerAssignment) firstCandidate(subject uint64, owners []int32, onlyUncapped bool) int {
	found, zoneOwners, highest := 0, math.MaxInt, uint64(0)
	for p, mixed := range a.mixedHashes {
		if a.loads[p] >= a.capacity || onlyUncapped && !a.isUncapped(p) || slices.Contains(owners, int32(p)) {
			continue
		}
		inZone := a.zoneOwners[a.zones[p]]
		if inZone > zoneOwners {
			continue
		}
		if s := mix(subject ^ mixed); inZone < zoneOwners || s > highest {
			found, zoneOwners, highest = p, inZone, s
		}
	}
	return found
}
