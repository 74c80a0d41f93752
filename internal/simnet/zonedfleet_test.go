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

// maxDisagreement is the maximum time for which proxies that reach each other may have different verdicts in effect.
const maxDisagreement = replica.Second

// zoneTest is a fleet of three zones. After each step it compares the verdicts of the proxies.
type zoneTest struct {
	*simnet.ZonedFleet
	t                   *testing.T
	lastAgreed          []replica.Time // by zone: last time at which the verdicts agreed on each side
	longestDisagreement replica.Time
	side                func(proxy int) int // partition side of a proxy; proxies on one side reach each other
	evacuations         map[string]int      // by zone: number of checks in which a proxy had evacuated it at least partly
}

func newZoneTest(t *testing.T, seed uint64) *zoneTest {
	t.Helper()
	config := simnet.Config{
		Proxies:       fleetSize(),
		Loss:          0.05,
		Duplication:   0.02,
		MaxDelaySteps: 2,
		QuotaFloor:    0.25,
		TakeoverDelay: replica.Second,
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

// check records, after each step, for how long the verdicts of proxies that reach each other have differed, and which zones
// are evacuated.
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

// runUntil advances simulated time until a condition has held at least once for each running proxy. It returns the times
// after which the condition held for the first proxy and for the last one. It fails the test after the timeout.
func (z *zoneTest) runUntil(timeout replica.Time, event string, holds func(proxy int) bool) (first, last replica.Time) {
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
	z.t.Errorf("%s: %d of %d proxies after %v", event, len(held), len(z.Proxies), timeout)
	return first, timeout
}

func (z *zoneTest) assertVerdictsAgreed() {
	z.t.Helper()
	if z.longestDisagreement > maxDisagreement {
		z.t.Errorf("proxies that reach each other had different verdicts for %d ms", z.longestDisagreement/10)
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

// fleetSize returns the number of proxies. WOODPROXY_FLEET sets a larger number outside CI.
func fleetSize() int {
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_FLEET")); err == nil {
		return n
	}
	return 24
}

// All proxies evacuate a zone whose machines fail within 1.5 s, the last one at most 0.5 s after the first. Few attempts
// are sent to the zone until it is back. Then its traffic returns by a recovery ramp.
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
			t.Errorf("got %d unanswered attempts at an evacuated zone in 6 s, of %d proxies", z.Unanswered, len(z.Proxies))
		}
		z.RestoreZone(2)
		z.runUntil(30*replica.Second, "recovered", func(i int) bool { return z.ServedFraction(i, 2) == 1 })
		z.assertVerdictsAgreed()
	})
}

// A zone is cut off with its proxies and nodes. The other proxies evacuate it. The proxies in the zone stop sending to the
// other zones by standalone decisions, without a verdict, and adopt the newer epoch when the partition heals.
func TestZonePartition(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		z := newZoneTest(t, seed)
		side := func(proxy int) int { return (proxy % 3) / 2 } // zones a and b, and zone c
		z.LinkCut = func(from, to int) bool { return side(from) != side(to) }
		for _, n := range z.Nodes {
			inside := n.Zone / 2
			n.Respond = func(i int) (replica.Time, zonehealth.Outcome) {
				if side(i) != inside {
					return replica.Second / 2, zonehealth.ConnectFailed // open connections are lost and new ones fail
				}
				return simnet.NormalResponse(i)
			}
		}
		z.side = side
		z.runUntil(4*replica.Second, "evacuated", func(i int) bool {
			if side(i) == 0 {
				return z.ServedFraction(i, 2) == 0
			}
			return z.ServedFraction(i, 0) < 0.1 && z.ServedFraction(i, 1) < 0.1
		})
		z.RunTraffic(6*replica.Second, z.check) // long enough for the proxies of the other side to count as unreachable
		for i := range z.Proxies {
			if side(i) == 1 && (z.Verdict(i, 0).Epoch+z.Verdict(i, 1).Epoch > 0 || z.ServedFraction(i, 2) != 1) {
				t.Errorf("n%d, cut off: got verdicts %+v and %+v on the other zones, want none; serves %v of its own zone, want 1",
					i, z.Verdict(i, 0), z.Verdict(i, 1), z.ServedFraction(i, 2))
			}
		}
		z.LinkCut = nil
		z.setResponses(nil, func(int, *simnet.Node) bool { return true })
		// After healing, verdicts reach the proxies in the zone one after the other, so each of these counts as a side.
		z.side = func(i int) int { return i * side(i) }
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

// The nodes of a zone are reachable only from the proxies of that zone, while all proxies reach each other. The proxies of
// the other zones evacuate it, and the proxies of that zone continue to use it.
func TestZoneUnreachableFromOthers(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		z := newZoneTest(t, seed)
		for _, n := range z.Nodes {
			if n.Zone == 2 {
				n.Respond = func(i int) (replica.Time, zonehealth.Outcome) {
					if i%3 != 2 {
						return replica.Second / 2, zonehealth.Unanswered
					}
					return simnet.NormalResponse(i)
				}
			}
		}
		z.runUntil(2*replica.Second, "evacuated", func(i int) bool { return i%3 == 2 || z.ServedFraction(i, 2) == 0 })
		z.RunTraffic(4*replica.Second, z.check)
		for i := range z.Proxies {
			if served := z.ServedFraction(i, 2); i%3 == 2 && served != 1 || i%3 != 2 && served > 0.1 {
				t.Errorf("n%d: got %v of the zone's keys served there, want 1 in that zone and at most 0.1 in the others", i, served)
			}
		}
		z.assertVerdictsAgreed()
	})
}

// minorFaults are faults that must not lead to an evacuation.
var minorFaults = []struct {
	name   string
	inject func(z *zoneTest)
}{
	{"none", func(*zoneTest) {}},
	{"short outage of a zone", func(z *zoneTest) {
		z.FailZone(1)
		z.RunTraffic(3*replica.Second/10, z.check)
		z.setResponses(nil, func(int, *simnet.Node) bool { return true })
	}},
	{"third of the nodes", func(z *zoneTest) {
		z.setResponses(simnet.NoResponse, func(i int, _ *simnet.Node) bool { return i%3 == 0 && i < 3 || i == 5 })
	}},
	{"one attempt in five in a zone", func(z *zoneTest) {
		for _, n := range z.Nodes {
			if n.Zone == 1 {
				n.Respond = noResponseToOneInFive()
			}
		}
	}},
	{"half of two zones", func(z *zoneTest) {
		z.setResponses(simnet.NoResponse, func(i int, n *simnet.Node) bool { return n.Zone < 2 && i < 6 })
	}},
	{"all nodes unresponsive", func(z *zoneTest) {
		z.setResponses(simnet.NoResponse, func(int, *simnet.Node) bool { return true })
	}},
	{"all nodes late", func(z *zoneTest) {
		z.setResponses(lateResponse, func(int, *simnet.Node) bool { return true })
	}},
	{"one zone late", func(z *zoneTest) {
		z.setResponses(lateResponse, func(_ int, n *simnet.Node) bool { return n.Zone == 1 })
	}},
	{"forged reports", func(z *zoneTest) {
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

// setResponses sets the ResponseFunc of the selected nodes.
func (z *zoneTest) setResponses(respond simnet.ResponseFunc, selected func(i int, node *simnet.Node) bool) {
	for i, node := range z.Nodes {
		if selected(i, node) {
			node.Respond = respond
		}
	}
}

func lateResponse(int) (replica.Time, zonehealth.Outcome) {
	return replica.Second * 2 / 5, zonehealth.AnsweredLate
}

func noResponseToOneInFive() simnet.ResponseFunc {
	attempts := 0
	return func(proxy int) (replica.Time, zonehealth.Outcome) {
		if attempts++; attempts%20 < 4 {
			return simnet.NoResponse(proxy)
		}
		return simnet.NormalResponse(proxy)
	}
}

// No zone is evacuated without a fault, or for a fault that is not the failure of one zone: an outage of a zone for 300 ms,
// a third of the nodes, all nodes or half of two zones unresponsive, one attempt in five in a zone unanswered, late
// responses, and a proxy that forges the votes and verdicts of its zone reports.
func TestMinorFaultsEvacuateNoZone(t *testing.T) {
	for _, fault := range minorFaults {
		t.Run(fault.name, func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, seed uint64) {
				z := newZoneTest(t, seed)
				fault.inject(z)
				z.RunTraffic(8*replica.Second, z.check)
				if len(z.evacuations) > 0 {
					t.Errorf("got evacuations %v, want none", z.evacuations)
				}
			})
		})
	}
}
