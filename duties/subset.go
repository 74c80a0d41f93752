package duties

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix is the finalizer of splitmix64: each bit of x moves half of the result's.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// crew is the proxies that are here, by name, with what duties are dealt out by.
type crew struct {
	names []string
	hash  []uint64
	zone  []int // number of the zone that each stands in
	zones int
	in    map[string]bool // by name
}

func newCrew(all []Proxy) *crew {
	c := &crew{in: map[string]bool{}}
	seen := map[string]int{}
	for _, p := range all {
		if !p.Here {
			continue
		}
		z, ok := seen[p.Zone]
		if !ok {
			z = len(seen)
			seen[p.Zone] = z
		}
		h := xxhash.Sum64String(p.Name)
		c.names, c.hash, c.zone, c.in[p.Name] = append(c.names, p.Name), append(c.hash, h), append(c.zone, z), true
	}
	c.zones = len(seen)
	return c
}

// score of a proxy for a subject: each subject has its own order, highest first, and one proxy more or less changes nothing about
// the others'.
func score(subject, hash uint64) uint64 { return mix(subject ^ mix(hash)) }

// first tells whether one proxy comes before another in the order for a subject.
func first(subject uint64, one, other string) bool {
	x, y := score(subject, xxhash.Sum64String(one)), score(subject, xxhash.Sum64String(other))
	return x > y || x == y && one < other
}

// rank is how many proxies come before one in that order.
func (c *crew) rank(subject uint64, name string) (n int) {
	mine := score(subject, xxhash.Sum64String(name))
	for i, h := range c.hash {
		s := score(subject, h)
		n += yes(s > mine || s == mine && c.names[i] < name)
	}
	return n
}

// grid is the room that loads have: the next figure of a row of which each is a tenth more than the one before, over a tenth
// above the mean and less than a quarter. So it changes with every tenth proxy or so, and not with each, which would move duties
// that have nothing to do with the one that came.
func grid(mean float64) int {
	return int(math.Ceil(math.Pow(1.1, math.Ceil(math.Log(mean*1.1)/math.Log(1.1))) - 1e-9))
}

// deal gives each subject to k proxies, or all if there are fewer: those that come first in its own order, from as many zones as there
// are, passing over those who have their full load. Subjects are taken in the order of their hashes. Loads are at most a
// quarter above the mean, rounded up, but where the last subjects find nobody else.
func (c *crew) deal(subjects []uint64, k int) [][]int32 {
	n := len(c.hash)
	k = min(k, n)
	all := make([][]int32, len(subjects))
	if k == 0 || len(subjects) == 0 {
		return all
	}
	most := grid(float64(k) * float64(len(subjects)) / float64(n))
	order := make([]int, len(subjects))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if subjects[a] < subjects[b] {
			return -1
		}
		return 1
	})
	load, mixed, zoned := make([]int, n), make([]uint64, n), make([]int, c.zones)
	for i, h := range c.hash {
		mixed[i] = mix(h)
	}
	for _, s := range order {
		clear(zoned)
		least := 0 // so many has each zone at least that has any left to give
		for len(all[s]) < k {
			best, top, filled := -1, uint64(0), true
			for i := range mixed {
				if load[i] >= most || slices.Contains(all[s], int32(i)) {
					continue
				}
				if filled = false; zoned[c.zone[i]] > least {
					continue
				}
				if sc := mix(subjects[s] ^ mixed[i]); best < 0 || sc > top {
					best, top = i, sc
				}
			}
			switch {
			case best < 0 && !filled: // the zones that lack one have nobody with room
				least++
				continue
			case best < 0: // nobody else has room: the least loaded
				for i := range mixed {
					if !slices.Contains(all[s], int32(i)) && (best < 0 || load[i] < load[best]) {
						best = i
					}
				}
			}
			all[s] = append(all[s], int32(best))
			load[best]++
			zoned[c.zone[best]]++
		}
	}
	return all
}
