package simnet_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"woodproxy/internal/simnet"
	"woodproxy/replica"
	"woodproxy/zonehealth"
)

// within is how long two proxies that reach each other may act on different verdicts.
const within = replica.Second

type zoned struct {
	*simnet.Zoned
	t       *testing.T
	differs []replica.Time // by zone, since when verdicts differ among proxies of one side
	worst   replica.Time
	side    func(proxy int) int // proxies of one side reach each other
	left    map[string]int      // verdicts of out or in part, by zone
	cold    int
}

func newZoned(t *testing.T, proxies int, seed uint64) *zoned {
	t.Helper()
	w := simnet.NewZoned(simnet.Terms{Proxies: proxies, Loss: 0.05, Double: 0.02, Late: 2, Floor: 0.25, Hold: replica.Second, ClockSkew: 60 * replica.Second},
		simnet.ZoneTerms{Names: []string{"a", "b", "c"}, Each: 4, Rate: 12}, seed)
	z := &zoned{Zoned: w, t: t, differs: make([]replica.Time, 3), side: func(int) int { return 0 }, left: map[string]int{}}
	if os.Getenv("WOODPROXY_LOGS") != "" {
		w.Told = func(i int, text string) {
			t.Logf("%.2f n%d %s", float64(w.Now-1000*replica.Second)/float64(replica.Second), i, text)
		}
	}
	w.Play(8*replica.Second+replica.Time(proxies)*replica.Second/20, z.check)
	return z
}

// check looks in each step that no two proxies that reach each other differ for long.
func (z *zoned) check() {
	for zone := range z.differs {
		first, same := map[int]zonehealth.Stand{}, true
		for i, p := range z.Proxies {
			if !p.Alive || p.Still || p.Behind() {
				continue
			}
			s := z.Stand(i, zone)
			if s.State >= zonehealth.Leaving {
				z.left[z.Names[zone]]++
			}
			if f, ok := first[z.side(i)]; !ok {
				first[z.side(i)] = s
			} else if f.Epoch != s.Epoch || f.State != s.State {
				same = false
			}
		}
		if same {
			z.differs[zone] = z.Now
		}
		z.worst = max(z.worst, z.Now-z.differs[zone])
	}
}

// until plays on until something holds for all proxies that run, and returns how long that took for the first and the last.
func (z *zoned) until(most replica.Time, what string, holds func(i int) bool) (first, last replica.Time) {
	z.t.Helper()
	from, had := z.Now, map[int]bool{}
	for z.Now-from < most {
		z.Play(simnet.Step, z.check)
		all := true
		for i, p := range z.Proxies {
			if p.Alive && !had[i] {
				if had[i] = holds(i); had[i] && first == 0 {
					first = z.Now - from
				}
				all = all && had[i]
			}
		}
		if all {
			return first, z.Now - from
		}
	}
	z.t.Errorf("%s: %d of %d after %v", what, len(had), len(z.Proxies), most)
	return first, most
}

func (z *zoned) agreed() {
	z.t.Helper()
	if z.worst > within {
		z.t.Errorf("proxies that reach each other differed for %d ms", z.worst/10)
	}
}

func seeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	many := 3
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_SEEDS")); err == nil {
		many = n
	}
	for s := range many {
		t.Run(fmt.Sprint(s+1), func(t *testing.T) {
			t.Parallel()
			f(t, uint64(s+1))
		})
	}
}

// size is how many proxies are played.
func size(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_FLEET")); err == nil {
		return n
	}
	return usual
}

// A zone whose machines vanish is left by all within a second and a half, and the last is not far behind the first; trials find it gone
// until it is back, few of all proxies together; then it returns by steps.
func TestZoneDies(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		z := newZoned(t, size(24), seed)
		z.Dies(2, true)
		first, last := z.until(3*replica.Second, "left", func(i int) bool { return z.Open(i, 2) == 0 })
		if last > 3*replica.Second/2+replica.Time(len(z.Proxies)/100)*replica.Second/5 || last-first > replica.Second/2 {
			t.Errorf("left after %d to %d ms", first/10, last/10)
		}
		z.Play(replica.Second, z.check)
		z.Lost = 0
		z.Play(6*replica.Second, z.check)
		if most := len(z.Proxies) / 2; z.Lost > most {
			t.Errorf("%d tries lost in six seconds to a zone that is out, of %d proxies", z.Lost, len(z.Proxies))
		}
		z.Dies(2, false)
		z.until(30*replica.Second, "returned", func(i int) bool { return z.Open(i, 2) == 1 })
		z.agreed()
	})
}

// A zone that is cut off, its proxies and nodes among themselves: the others leave it, those within pass the others by on
// their own, convict nobody, and take the newer epoch when it heals.
func TestZoneCut(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		z := newZoned(t, size(24), seed)
		side := func(i int) int { return (i % 3) / 2 }
		z.Cut = func(from, to int) bool { return side(from) != side(to) }
		for _, n := range z.Nodes {
			inside := n.Zone / 2
			n.Answer = func(i int) (replica.Time, zonehealth.Ending) {
				if side(i) != inside {
					return replica.Second / 2, zonehealth.Shut // none of the old connections, and no new one
				}
				return replica.Second / 300, zonehealth.Answered
			}
		}
		z.side = side
		z.until(4*replica.Second, "passed by", func(i int) bool {
			if side(i) == 0 {
				return z.Open(i, 2) == 0
			}
			return z.Open(i, 0) < 0.1 && z.Open(i, 1) < 0.1
		})
		z.Play(6*replica.Second, z.check) // by then the others count as silent
		for i := range z.Proxies {
			if side(i) == 1 && (z.Stand(i, 0).Epoch+z.Stand(i, 1).Epoch > 0 || z.Open(i, 2) != 1) {
				t.Errorf("n%d, cut off, convicts: %+v, %+v, own open %v", i, z.Stand(i, 0), z.Stand(i, 1), z.Open(i, 2))
			}
		}
		z.Cut = nil
		for _, n := range z.Nodes {
			n.Answer = nil
		}
		z.side = func(i int) int { return i * side(i) } // those who heal hear of verdicts by and by
		z.Play(3*replica.Second, z.check)
		z.side = func(int) int { return 0 }
		z.Play(simnet.Step, nil)
		for zone := range z.differs {
			z.differs[zone] = z.Now
		}
		z.until(30*replica.Second, "returned", func(i int) bool { return z.Open(i, 0) == 1 && z.Open(i, 1) == 1 && z.Open(i, 2) == 1 })
		z.agreed()
	})
}

// A zone whose nodes only its own proxies reach, while all talk with each other: the others leave it, and those within go on.
func TestZoneUnreached(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		z := newZoned(t, size(24), seed)
		for _, n := range z.Nodes {
			if n.Zone == 2 {
				n.Answer = func(i int) (replica.Time, zonehealth.Ending) {
					if i%3 != 2 {
						return replica.Second / 2, zonehealth.Nothing
					}
					return replica.Second / 300, zonehealth.Answered
				}
			}
		}
		z.until(2*replica.Second, "left", func(i int) bool { return i%3 == 2 || z.Open(i, 2) == 0 })
		z.Play(4*replica.Second, z.check)
		for i := range z.Proxies {
			if open := z.Open(i, 2); i%3 == 2 && open != 1 || i%3 != 2 && open > 0.1 {
				t.Errorf("n%d: %v of its keys are served there", i, open)
			}
		}
		z.agreed()
	})
}

// What is no loss of a zone convicts none: a calm day, one lost for 300 ms, a third of the nodes silent, one answer in five
// failing or a third late, every node jammed, half of two zones; and a proxy that lies, in words, in verdicts, or both.
func TestZonesKept(t *testing.T) {
	silentHalf := func(part float64) func(i int) (replica.Time, zonehealth.Ending) {
		n := 0
		return func(int) (replica.Time, zonehealth.Ending) {
			if n++; float64(n%20) < part*20 {
				return replica.Second / 2, zonehealth.Nothing
			}
			return replica.Second / 300, zonehealth.Answered
		}
	}
	for name, hit := range map[string]func(z *zoned){
		"calm": func(z *zoned) {},
		"short": func(z *zoned) {
			z.Dies(1, true)
			z.Play(3*replica.Second/10, z.check)
			for _, n := range z.Nodes {
				n.Answer = nil
			}
		},
		"third": func(z *zoned) {
			for k, n := range z.Nodes {
				if k%3 == 0 && k < 3 || k == 5 {
					n.Answer = simnet.Silent
				}
			}
		},
		"grey": func(z *zoned) {
			for _, n := range z.Nodes {
				if n.Zone == 1 {
					n.Answer = silentHalf(0.2)
				}
			}
		},
		"half of two": func(z *zoned) {
			for k, n := range z.Nodes {
				if n.Zone < 2 && k < 6 {
					n.Answer = simnet.Silent
				}
			}
		},
		"jammed": func(z *zoned) {
			for _, n := range z.Nodes {
				n.Answer = simnet.Silent
			}
		},
		"late": func(z *zoned) {
			for _, n := range z.Nodes {
				n.Answer = func(int) (replica.Time, zonehealth.Ending) { return replica.Second * 2 / 5, zonehealth.Late }
			}
		},
		"late zone": func(z *zoned) {
			for _, n := range z.Nodes {
				if n.Zone == 1 {
					n.Answer = func(int) (replica.Time, zonehealth.Ending) { return replica.Second * 2 / 5, zonehealth.Late }
				}
			}
		},
		"liar": func(z *zoned) {
			z.Lies[0] = func(v *zonehealth.Voice) {
				v.Word, v.Run, v.Ill = zonehealth.Against, 99, []uint32{1, 2, 3, 4, 5, 6}
				v.Stand, v.Plan = zonehealth.Stand{Epoch: 1 << 40, State: zonehealth.Out}, &zonehealth.Stand{Epoch: 1 << 41, State: zonehealth.Out}
			}
			for _, of := range z.Names {
				z.Speak(0, of, zonehealth.Voice{Zone: "a", Word: zonehealth.Against, Ill: []uint32{1, 2, 3, 4}, Stand: zonehealth.Stand{Epoch: 99, State: zonehealth.Out}}, 60*zonehealth.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			seeds(t, func(t *testing.T, seed uint64) {
				z := newZoned(t, size(24), seed)
				hit(z)
				z.Play(8*replica.Second, z.check)
				if len(z.left) > 0 {
					t.Errorf("left: %v", z.left)
				}
			})
		})
	}
}
