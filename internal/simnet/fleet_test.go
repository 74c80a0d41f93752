package simnet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woodproxy/replica"
)

const second = replica.Second

// fleetTest is a fleet whose sum of quotas is checked after each step.
type fleetTest struct {
	*Fleet
	t *testing.T
}

func newFleetTest(t *testing.T, config Config, seed uint64) *fleetTest {
	t.Helper()
	return &fleetTest{Fleet: NewFleet(config, seed), t: t}
}

func testConfig(proxies int) Config {
	return Config{
		Proxies:       proxies,
		Loss:          0.05,
		Duplication:   0.05,
		MaxDelaySteps: 3,
		QuotaFloor:    0.25,
		TakeoverDelay: 2 * second,
		ClockSkew:     60 * second,
	}
}

func endpoint(key string, index int64, rank uint8) replica.Row {
	return replica.Row{Key: key, Epoch: index, Rank: rank, Body: []byte(fmt.Sprint(key, index, rank))}
}

// listEndpoints applies endpoint rows from discovery at a proxy.
func (f *fleetTest) listEndpoints(proxy int, rows ...replica.Row) {
	for _, row := range rows {
		f.Do(proxy, func(p *Proxy, now replica.Time) []replica.Decision {
			return p.Store.ApplyEndpointList(now, false, row.Epoch, []replica.Row{row})
		})
	}
}

// run advances simulated time and checks after each step that the sum of the quotas of all proxies is at most 1.
func (f *fleetTest) run(duration replica.Time) {
	f.t.Helper()
	f.Run(duration, func() {
		if sum := f.QuotaSum(); sum > 1+1e-9 && !f.t.Failed() {
			f.t.Errorf("at %.2f s: got a sum of quotas of %.4f, want at most 1", float64(f.Now)/float64(second), sum)
			for _, p := range f.Proxies {
				f.t.Logf("n%d running %v quota %.4f %v", p.Number, p.Running, p.Quota, p.Store.Members())
			}
		}
	})
}

// runScaled is run with a duration that grows with the fleet size, because heartbeats are less frequent in a large fleet.
func (f *fleetTest) runScaled(duration replica.Time) {
	f.t.Helper()
	f.run(duration * replica.Time(100+len(f.Proxies)) / 100)
}

// assertConverged checks that all running proxies have the same endpoints and that none is catching up.
func (f *fleetTest) assertConverged(when string) {
	f.t.Helper()
	first := -1
	for i, p := range f.Proxies {
		if !p.Running {
			continue
		}
		if first < 0 {
			first = i
		}
		if !f.SameEndpoints(first, i) || p.Store.CatchingUp() {
			f.t.Errorf("%s: n%d has other endpoints than n%d or is catching up: %v", when, i, first, p.Store.CatchingUp())
			return
		}
	}
}

// Both sides of a partitioned fleet change the same row, one proxy is paused for half a minute, 70% of the proxies are
// restarted, and 30% of the datagrams are lost throughout. The sum of quotas stays at most 1 in every step, and in the end
// all proxies have the same endpoints.
func TestFleetUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			proxies := 20
			if large, err := strconv.Atoi(os.Getenv("WOODPROXY_FLEET")); err == nil { // outside CI
				proxies = large
			}
			config := testConfig(proxies)
			config.Loss = 0.3
			f := newFleetTest(t, config, seed)
			f.runScaled(12 * second)
			for i, p := range f.Proxies {
				if p.Quota < 0.999/float64(proxies) {
					t.Fatalf("n%d in a fleet without faults: got a quota of %.4f, want an even share", i, p.Quota)
				}
			}
			f.listEndpoints(0, endpoint("c1", 5, replica.EndpointActive), endpoint("c2", 5, replica.EndpointActive))
			f.runScaled(3 * second)
			f.assertConverged("without faults")
			f.testPartition()
			f.testMassRestart()
		})
	}
}

// testPartition partitions the fleet, applies different changes on the two sides and heals the partition.
func (f *fleetTest) testPartition() {
	const paused = 9
	proxies := len(f.Proxies)
	firstOfOtherSide := proxies * 2 / 5
	onOtherSide := proxies * 3 / 5
	f.LinkCut = func(from, to int) bool { return (from < firstOfOtherSide) != (to < firstOfOtherSide) }
	f.Proxies[paused].Paused = true
	f.listEndpoints(0, endpoint("c1", 6, replica.EndpointDraining))
	f.listEndpoints(onOtherSide, endpoint("c1", 6, replica.EndpointActive), endpoint("c2", 7, replica.EndpointRemoved))
	f.runScaled(20 * second)
	if f.SameEndpoints(0, onOtherSide) {
		f.t.Error("both sides of the partition have the same endpoints: no link was cut")
	}
	if got := f.Proxies[3].EndpointRows["c1"].Rank; got != replica.EndpointDraining {
		f.t.Errorf("c1 on the side where it is draining: got rank %d", got)
	}
	f.LinkCut = nil
	f.runScaled(10 * second)
	f.Proxies[paused].Paused = false
	f.runScaled(8 * second)
	f.assertConverged("healed")
	for i, p := range f.Proxies {
		if r := p.EndpointRows["c1"]; i != 0 && (r.Rank != replica.EndpointDraining || r.Epoch != 6) {
			f.t.Errorf("n%d: got %+v for c1, want the drain that was announced on one side", i, r)
		}
	}
}

// testMassRestart stops 70% of the proxies and starts them again.
func (f *fleetTest) testMassRestart() {
	proxies := len(f.Proxies)
	survivors := proxies * 3 / 10
	for i := survivors; i < proxies; i++ {
		f.Stop(i)
	}
	f.runScaled(20 * second)
	for i := range survivors {
		if got := f.Proxies[i].Quota; got < 0.8/float64(survivors) {
			f.t.Errorf("n%d with 70%% of the proxies stopped: got a quota of %.4f, want it to take over their quota", i, got)
		}
	}
	for i := survivors; i < proxies; i++ {
		f.Start(i)
	}
	f.runScaled(20 * second)
	f.assertConverged("all restarted")
	for i, p := range f.Proxies {
		if p.Quota < 0.999/float64(proxies) {
			f.t.Errorf("n%d after all proxies were restarted: got a quota of %.4f, want an even share", i, p.Quota)
		}
	}
}

// Random faults overlap: links cut in one direction or both, stops, starts, pauses. The sum of quotas stays at most 1
// throughout, and the fleet converges once the faults have ended.
func TestQuotaSumUnderRandomFaults(t *testing.T) {
	seeds, _ := strconv.ParseUint(os.Getenv("WOODPROXY_SEEDS"), 10, 64) // more of them outside CI
	for seed := range max(seeds, 12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 77))
			config := testConfig(3 + random.IntN(8))
			if seed%2 == 1 { // demand differs between proxies and shifts, so that quota is leased
				config.Demand = func(proxy int, now replica.Time) float64 {
					return float64((proxy*7+int(now/(4*second)))%11) * 3
				}
			}
			f := newFleetTest(t, config, seed)
			index := int64(2)
			for range 40 {
				f.injectRandomFault(random, &index)
				f.run(replica.Time(random.Int64N(int64(6 * second))))
			}
			f.heal()
			f.run(25 * second)
			f.assertConverged("in the end")
			if sum := f.QuotaSum(); config.Demand == nil && sum < 0.999 || sum < 0.7 { // leased quota may be unused
				t.Errorf("got a sum of quotas of %.4f in the end, want almost 1, or at least 0.7 with leases", sum)
			}
		})
	}
}

// injectRandomFault injects or ends a fault, or changes an endpoint, which takes the next index of the endpoint list.
func (f *fleetTest) injectRandomFault(random *rand.Rand, index *int64) {
	proxies := len(f.Proxies)
	i, j := random.IntN(proxies), random.IntN(proxies)
	switch random.IntN(7) {
	case 0:
		f.Stop(i)
	case 1, 2:
		if !f.Proxies[i].Running {
			f.Start(i)
		}
	case 3:
		f.Proxies[i].Paused = !f.Proxies[i].Paused
	case 4:
		bothDirections := random.IntN(2) == 0
		isolated := func(proxy int) bool { return proxy == i || proxy == j }
		f.LinkCut = func(from, to int) bool {
			return isolated(from) && !isolated(to) || bothDirections && !isolated(from) && isolated(to)
		}
	case 5:
		f.LinkCut = nil
	case 6:
		*index++
		if f.Proxies[i].Running && !f.Proxies[i].Paused {
			f.listEndpoints(i, endpoint(fmt.Sprint("c", random.IntN(3)), *index, uint8(random.IntN(3))))
		}
	}
}

// heal ends all faults.
func (f *fleetTest) heal() {
	f.LinkCut = nil
	for i, p := range f.Proxies {
		p.Paused = false
		if !p.Running {
			f.Start(i)
		}
	}
}

// Proxies with the highest demand get the largest part of the fleet's limits. The others keep at least half of an even
// share. When demand shifts, quotas follow.
func TestQuotaFollowsDemand(t *testing.T) {
	config := testConfig(10)
	shifted := replica.Time(0)
	config.Demand = func(proxy int, now replica.Time) float64 {
		if (proxy < 2) == (shifted == 0 || now < shifted) {
			return 40
		}
		return 2
	}
	f := newFleetTest(t, config, 5)
	quotaOfFirstTwo := func() float64 { return f.Proxies[0].Quota + f.Proxies[1].Quota }
	f.run(25 * second)
	if got := quotaOfFirstTwo(); got < 0.45 {
		t.Errorf("two proxies with five sixths of the demand: got a quota of %.2f, want at least 0.45", got)
	}
	if got := f.Proxies[7].Quota; got < 0.05-1e-9 {
		t.Errorf("a proxy with low demand: got a quota of %.3f, want at least 0.05", got)
	}
	shifted = f.Now
	f.run(40 * second)
	if got := quotaOfFirstTwo(); got > 0.2+1e-9 {
		t.Errorf("two proxies after demand has shifted: got a quota of %.2f, want at most 0.2", got)
	}
}

// The quota check detects a fleet that uses more than its limits because its proxies are configured with too small a size.
func TestQuotaCheckFires(t *testing.T) {
	config := testConfig(6)
	config.ConfiguredFleetSize = 1
	f, exceeded := NewFleet(config, 1), false
	f.Run(second/2, func() { exceeded = exceeded || f.QuotaSum() > 1+1e-9 })
	if !exceeded {
		t.Error("got a sum of quotas of at most 1 for six proxies that each have a fleet size of 1, want more")
	}
}

// One change reaches all proxies of a large fleet, in a number of gossip rounds that grows with the logarithm of its size.
func TestPropagationInLargeFleet(t *testing.T) {
	for _, proxies := range []int{100, 1000} {
		t.Run(fmt.Sprint(proxies, " proxies"), func(t *testing.T) {
			f := NewFleet(Config{
				Proxies:       proxies,
				Loss:          0.05,
				MaxDelaySteps: 1,
				TakeoverDelay: second,
				QuotaFloor:    0.25,
				NoHeartbeats:  true,
			}, 3)
			delays := f.MeasurePropagation(3 * second)
			if len(delays) < proxies-1 || delays[proxies*99/100-1] > 15*second/10 {
				t.Errorf("%d proxies received the change, the last after %d units of 0.1 ms", len(delays), delays[len(delays)-1])
			}
		})
	}
}

// A large fleet, outside CI, is partitioned, both sides receive changes of one endpoint, and a tenth of the proxies stops.
// The fleet converges after the partition has healed.
func TestLargeFleet(t *testing.T) {
	proxies, err := strconv.Atoi(os.Getenv("WOODPROXY_LARGE"))
	if err != nil {
		t.Skip("WOODPROXY_LARGE is not set to the number of proxies")
	}
	f := newFleetTest(t, testConfig(proxies), 1)
	f.listEndpoints(0, endpoint("c1", 5, replica.EndpointActive))
	f.runScaled(2 * second)
	f.LinkCut = func(from, to int) bool { return (from < proxies/3) != (to < proxies/3) }
	f.listEndpoints(0, endpoint("c1", 6, replica.EndpointDraining))
	f.listEndpoints(proxies-1, endpoint("c1", 6, replica.EndpointActive), endpoint("c2", 7, replica.EndpointRemoved))
	for i := proxies / 2; i < proxies*6/10; i++ {
		f.Stop(i)
	}
	f.run(4 * second)
	if f.SameEndpoints(0, proxies-1) {
		t.Error("both sides of the partition have the same endpoints: no link was cut")
	}
	f.LinkCut = nil
	f.runScaled(3 * second)
	f.assertConverged("healed")
	t.Logf("%d proxies: sum of quotas %.3f in the end", proxies, f.QuotaSum())
}
