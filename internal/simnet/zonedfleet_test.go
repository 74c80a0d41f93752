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

// maxDisagreement is how long two proxies that reach each other may act on different verdicts.
const maxDisagreement = replica.Second

// zoneTest is a fleet of three zones whose verdicts are compared in each step.
type zoneTest struct {
	*simnet.ZonedFleet
	t                   *testing.T
	lastAgreed          []replica.Time // by zone; on both sides
	longestDisagreement replica.Time
	side                func(proxy int) int // proxies of one side reach each other
	evacuations         map[string]int      // by zone: how often a proxy had evacuated it, or part of it
}

func newZoneTest(t *testing.T, seed uint64) *zoneTest {
	t.Helper()
	config := simnet.Config{
		Proxies:       fleetSize(),
		Loss:          0.05,
		Duplication:   0.02,
		MaxDelaySteps: 2,
		QuotaFloor:    0.25,
		HoldTime:      replica.Second,
		ClockSkew:     60 * replica.Second,
	}
	zones := simnet.ZoneConfig{Zones: []string{"a", "b", "c"}, NodesPerZone: 4, RequestRate: 12}
	z := &zoneTest{
		ZonedFleet:  simnet.NewZonedFleet(config, zones, seed),
		t:           t,
		lastAgreed:  make([]replica.Time, len(zones.Zones)),
		side:        func(int) int { return 0 },
		evacuations: map[string]int{},
	}
	if os.Getenv("WOODPROXY_LOGS") != "" {
		z.ZoneLog = func(proxy int, text string) {
			t.Logf("%.2f n%d %s", float64(z.Now-1000*replica.Second)/float64(replica.Second), proxy, text)
		}
	}
	z.RunTraffic(8*replica.Second+replica.Time(config.Proxies)*replica.Second/20, z.check)
	return z
}

// check notes, after each step, since when verdicts differ between proxies that reach each other, and which zones are
// evacuated.
func (z *zoneTest) check() {
	for zone := range z.lastAgreed {
		firstOfSide, agreed := map[int]zonehealth.Verdict{}, true
		for i, p := range z.Proxies {
			if !p.Running || p.Paused || p.Store.CatchingUp() {
				continue
			}
			verdict := z.Verdict(i, zone)
			if verdict.State >= zonehealth.PartlyEvacuated {
				z.evacuations[z.Zones[zone]]++
			}
			if first, ok := firstOfSide[z.side(i)]; !ok {
				firstOfSide[z.side(i)] = verdict
			} else if first.Epoch != verdict.Epoch || first.State != verdict.State {
				agreed = false
			}
		}
		if agreed {
			z.lastAgreed[zone] = z.Now
		}
		z.longestDisagreement = max(z.longestDisagreement, z.Now-z.lastAgreed[zone])
	}
}

// runUntil lets time pass until a condition has held for each running proxy once, and returns how long that took for the
// first and the last. It fails the test after the timeout.
func (z *zoneTest) runUntil(timeout replica.Time, what string, holds func(proxy int) bool) (first, last replica.Time) {
	z.t.Helper()
	start, held := z.Now, map[int]bool{}
	for z.Now-start < timeout {
		z.RunTraffic(simnet.StepDuration, z.check)
		all := true
		for i, p := range z.Proxies {
			if !p.Running || held[i] {
				continue
			}
			if held[i] = holds(i); held[i] && first == 0 {
				first = z.Now - start
			}
			all = all && held[i]
		}
		if all {
			return first, z.Now - start
		}
	}
	z.t.Errorf("%s: %d of %d after %v", what, len(held), len(z.Proxies), timeout)
	return first, timeout
}

func (z *zoneTest) assertVerdictsAgreed() {
	z.t.Helper()
	if z.longestDisagreement > maxDisagreement {
		z.t.Errorf("proxies that reach each other differed for %d ms", z.longestDisagreement/10)
	}
}

func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := 3
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_SEEDS")); err == nil {
		seeds = n
	}
	for i := range seeds {
		t.Run(fmt.Sprint(i+1), func(t *testing.T) {
			t.Parallel()
			test(t, uint64(i+1))
		})
	}
}

// fleetSize is the number of proxies, more of them outside CI.
func fleetSize() int {
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_FLEET")); err == nil {
		return n
	}
	return 24
}

// A zone whose machines vanish is evacuated by all proxies within a second and a half, the last not long after the first.
// Few attempts are sent to it until it is back; then its traffic returns by a recovery ramp.
func TestZoneFailure(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		z := newZoneTest(t, seed)
		z.FailZone(2)
		first, last := z.runUntil(3*replica.Second, "evacuated", func(i int) bool { return z.ServedFraction(i, 2) == 0 })
		if last > 3*replica.Second/2+replica.Time(len(z.Proxies)/100)*replica.Second/5 || last-first > replica.Second/2 {
			t.Errorf("evacuated after %d to %d ms", first/10, last/10)
		}
		z.RunTraffic(replica.Second, z.check)
		z.Unanswered = 0
		z.RunTraffic(6*replica.Second, z.check)
		if limit := len(z.Proxies) / 2; z.Unanswered > limit {
			t.Errorf("%d attempts without an answer in six seconds from an evacuated zone, of %d proxies", z.Unanswered, len(z.Proxies))
		}
		z.RestoreZone(2)
		z.runUntil(30*replica.Second, "recovered", func(i int) bool { return z.ServedFraction(i, 2) == 1 })
		z.assertVerdictsAgreed()
	})
}

// A zone is cut off with its proxies and nodes: the other proxies evacuate it. Those within stop sending to the other
// zones on their own, without a verdict, and adopt the newer epoch when the network heals.
func TestZonePartition(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		z := newZoneTest(t, seed)
		side := func(proxy int) int { return (proxy % 3) / 2 } // zones a and b, and zone c
		z.LinkCut = func(from, to int) bool { return side(from) != side(to) }
		for _, n := range z.Nodes {
			inside := n.Zone / 2
			n.Answer = func(i int) (replica.Time, zonehealth.Outcome) {
				if side(i) != inside {
					return replica.Second / 2, zonehealth.ConnectFailed // connections are lost, and new ones fail
				}
				return simnet.NormalAnswer(i)
			}
		}
		z.side = side
		z.runUntil(4*replica.Second, "evacuated", func(i int) bool {
			if side(i) == 0 {
				return z.ServedFraction(i, 2) == 0
			}
			return z.ServedFraction(i, 0) < 0.1 && z.ServedFraction(i, 1) < 0.1
		})
		z.RunTraffic(6*replica.Second, z.check) // by then the other proxies count as unreachable
		for i := range z.Proxies {
			if side(i) == 1 && (z.Verdict(i, 0).Epoch+z.Verdict(i, 1).Epoch > 0 || z.ServedFraction(i, 2) != 1) {
				t.Errorf("n%d, cut off, has verdicts on the others: %+v, %+v, serves %v of its own zone",
					i, z.Verdict(i, 0), z.Verdict(i, 1), z.ServedFraction(i, 2))
			}
		}
		z.LinkCut = nil
		z.setAnswers(nil, func(int, *simnet.Node) bool { return true })
		z.side = func(i int) int { return i * side(i) } // after healing, verdicts reach those within one after the other
		z.RunTraffic(3*replica.Second, z.check)
		z.side = func(int) int { return 0 }
		z.RunTraffic(simnet.StepDuration, nil)
		for zone := range z.lastAgreed {
			z.lastAgreed[zone] = z.Now
		}
		z.runUntil(30*replica.Second, "recovered", func(i int) bool {
			return z.ServedFraction(i, 0) == 1 && z.ServedFraction(i, 1) == 1 && z.ServedFraction(i, 2) == 1
		})
		z.assertVerdictsAgreed()
	})
}

// The nodes of a zone are reached by the proxies of that zone only, while all proxies reach each other: the others evacuate
// it, and those within go on.
func TestZoneUnreachableFromOthers(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		z := newZoneTest(t, seed)
		for _, n := range z.Nodes {
			if n.Zone == 2 {
				n.Answer = func(i int) (replica.Time, zonehealth.Outcome) {
					if i%3 != 2 {
						return replica.Second / 2, zonehealth.Unanswered
					}
					return simnet.NormalAnswer(i)
				}
			}
		}
		z.runUntil(2*replica.Second, "evacuated", func(i int) bool { return i%3 == 2 || z.ServedFraction(i, 2) == 0 })
		z.RunTraffic(4*replica.Second, z.check)
		for i := range z.Proxies {
			if open := z.ServedFraction(i, 2); i%3 == 2 && open != 1 || i%3 != 2 && open > 0.1 {
				t.Errorf("n%d: %v of its keys are served there", i, open)
			}
		}
		z.assertVerdictsAgreed()
	})
}

// minorFaults are no loss of a whole zone.
var minorFaults = []struct {
	name   string
	inject func(z *zoneTest)
}{
	{"calm", func(*zoneTest) {}},
	{"short", func(z *zoneTest) {
		z.FailZone(1)
		z.RunTraffic(3*replica.Second/10, z.check)
		z.setAnswers(nil, func(int, *simnet.Node) bool { return true })
	}},
	{"third", func(z *zoneTest) {
		z.setAnswers(simnet.NoAnswer, func(i int, _ *simnet.Node) bool { return i%3 == 0 && i < 3 || i == 5 })
	}},
	{"grey", func(z *zoneTest) {
		for _, n := range z.Nodes {
			if n.Zone == 1 {
				n.Answer = noAnswerToOneInFive()
			}
		}
	}},
	{"half of two", func(z *zoneTest) {
		z.setAnswers(simnet.NoAnswer, func(i int, n *simnet.Node) bool { return n.Zone < 2 && i < 6 })
	}},
	{"jammed", func(z *zoneTest) {
		z.setAnswers(simnet.NoAnswer, func(int, *simnet.Node) bool { return true })
	}},
	{"late", func(z *zoneTest) {
		z.setAnswers(lateAnswer, func(int, *simnet.Node) bool { return true })
	}},
	{"late zone", func(z *zoneTest) {
		z.setAnswers(lateAnswer, func(_ int, n *simnet.Node) bool { return n.Zone == 1 })
	}},
	{"liar", func(z *zoneTest) {
		z.ForgeReport[0] = func(v *zonehealth.Report) {
			v.Vote, v.UnansweredRun, v.UnhealthyNodes = zonehealth.VoteUnhealthy, 99, []uint32{1, 2, 3, 4, 5, 6}
			v.Verdict = zonehealth.Verdict{Epoch: 1 << 40, State: zonehealth.Evacuated}
			v.Proposal = &zonehealth.Verdict{Epoch: 1 << 41, State: zonehealth.Evacuated}
		}
		for _, zone := range z.Zones {
			z.SendReport(0, zone, zonehealth.Report{
				Zone:           "a",
				Vote:           zonehealth.VoteUnhealthy,
				UnhealthyNodes: []uint32{1, 2, 3, 4},
				Verdict:        zonehealth.Verdict{Epoch: 99, State: zonehealth.Evacuated},
			}, 60*zonehealth.Second)
		}
	}},
}

// setAnswers sets how the selected nodes answer.
func (z *zoneTest) setAnswers(answer simnet.AnswerFunc, selected func(i int, node *simnet.Node) bool) {
	for i, node := range z.Nodes {
		if selected(i, node) {
			node.Answer = answer
		}
	}
}

func lateAnswer(int) (replica.Time, zonehealth.Outcome) {
	return replica.Second * 2 / 5, zonehealth.AnsweredLate
}

func noAnswerToOneInFive() simnet.AnswerFunc {
	attempts := 0
	return func(proxy int) (replica.Time, zonehealth.Outcome) {
		if attempts++; attempts%20 < 4 {
			return simnet.NoAnswer(proxy)
		}
		return simnet.NormalAnswer(proxy)
	}
}

// No zone is evacuated for a fault that is no loss of a zone: none at all, a zone lost for 300 ms, a third of the nodes
// silent, one attempt in five failing or all late, every node silent, half of two zones; and a proxy that forges its
// attempts, its verdicts, or both.
func TestMinorFaultsEvacuateNoZone(t *testing.T) {
	for _, fault := range minorFaults {
		t.Run(fault.name, func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, seed uint64) {
				z := newZoneTest(t, seed)
				fault.inject(z)
				z.RunTraffic(8*replica.Second, z.check)
				if len(z.evacuations) > 0 {
					t.Errorf("evacuated: %v", z.evacuations)
				}
			})
		})
	}
}
