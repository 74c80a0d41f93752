package duties

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleetOf(n, zones int) []Proxy {
	all := make([]Proxy, n)
	for i := range all {
		all[i] = Proxy{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint("z", i%max(zones, 1)), Here: true}
	}
	return all
}

func subjectsOf(n int) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = mix(uint64(i) + 77)
	}
	return all
}

// faults tells what is wrong with a dealing: too few for a subject, one twice, too high a load, zones left out.
func faults(c *membership, all [][]int32, k int) (what string) {
	n := len(c.hashes)
	load := make([]int, n)
	for s, who := range all {
		if len(who) != min(k, n) {
			return fmt.Sprintf("subject %d has %d of %d", s, len(who), k)
		}
		zones := map[int]bool{}
		for i, p := range who {
			if slices.Contains(who[:i], p) {
				return fmt.Sprintf("subject %d has one twice", s)
			}
			load[p]++
			zones[c.zones[p]] = true
		}
	}
	mean := float64(k) * float64(len(all)) / float64(n)
	if most := slices.Max(load); float64(most) > math.Ceil(1.25*mean) && k < n {
		return fmt.Sprintf("%d proxies, %d subjects: one has %d, the mean %.2f", n, len(all), most, mean)
	}
	return ""
}

// Each node has as many as it needs, and no proxy over a quarter above the mean, at every size.
func TestDealt(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 7, 8, 12, 24, 60, 300, 1000, 2000} {
		for _, subjects := range []int{1, 3, 14, 90, 200} {
			if n*subjects > 200000 && testing.Short() {
				continue
			}
			c := newMembership(fleetOf(n, 3))
			if what := faults(c, c.assignOwners(subjectsOf(subjects), 4), 4); what != "" {
				t.Error(what)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		n, zones, k := rapid.IntRange(2, 60).Draw(t, "proxies"), rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "k")
		fleet := fleetOf(n, zones)
		for i := range fleet { // in any state: some away, the first of its zone or the last
			fleet[i].Here = i == 0 || rapid.IntRange(0, 3).Draw(t, "here") > 0
		}
		c := newMembership(fleet)
		if what := faults(c, c.assignOwners(subjectsOf(rapid.IntRange(1, 40).Draw(t, "subjects")), k), k); what != "" {
			t.Fatal(what)
		}
	})
	// the check fires where who comes first in the order has it, however much it has already
	c := newMembership(fleetOf(24, 3))
	plain := make([][]int32, 200)
	for s, subject := range subjectsOf(200) {
		plain[s] = append(plain[s], 0, 0)[:0]
		for i := range c.hashes {
			if c.rank(subject, c.names[i]) < 4 {
				plain[s] = append(plain[s], int32(i))
			}
		}
	}
	if faults(c, plain, 4) == "" {
		t.Error("loads that nothing bounds are taken for even")
	}
}

// A node's keepers stand in as many zones as there are.
func TestDealtOverZones(t *testing.T) {
	c := newMembership(fleetOf(60, 3))
	for s, who := range c.assignOwners(subjectsOf(50), 3) {
		zones := map[int]bool{}
		for _, p := range who {
			zones[c.zones[p]] = true
		}
		if len(zones) != 3 {
			t.Errorf("subject %d: %v", s, who)
		}
	}
}

// moved counts the duties that others than before have.
func moved(a, b *membership, x, y [][]int32) (n int) {
	for s := range x {
		for _, p := range x[s] {
			if !slices.ContainsFunc(y[s], func(q int32) bool { return b.names[q] == a.names[p] }) {
				n++
			}
		}
	}
	return n
}

// One proxy more or less moves its own part, and what follows from full loads: twice its part at the mean over all, and at no
// size over a fifth of everything, where the room of loads takes its next step.
func TestMoves(t *testing.T) {
	subjects, k := subjectsOf(90), 4
	parts, changes := 0.0, 0
	for n := 4; n <= 160; n += 3 {
		was := newMembership(fleetOf(n, 3))
		for _, gone := range []int{0, n / 2, n - 1} {
			less := fleetOf(n, 3)
			less[gone].Here = false
			is := newMembership(less)
			m := float64(moved(was, is, was.assignOwners(subjects, k), is.assignOwners(subjects, k)))
			part := float64(k*len(subjects)) / float64(n)
			if parts, changes = parts+m/part, changes+1; m > 1.25*part+0.2*float64(k*len(subjects)) {
				t.Errorf("%d proxies: one goes, and %v of %d duties move", n, m, k*len(subjects))
			}
		}
	}
	if mean := parts / float64(changes); mean > 2 {
		t.Errorf("at the mean one moves %.2f times its part", mean)
	}
}

func BenchmarkDeal(b *testing.B) {
	c, subjects := newMembership(fleetOf(300, 3)), subjectsOf(200)
	for b.Loop() {
		c.assignOwners(subjects, 4)
	}
}

func BenchmarkRank(b *testing.B) {
	c := newMembership(fleetOf(300, 3))
	for b.Loop() {
		c.rank(77, "n7")
	}
}
