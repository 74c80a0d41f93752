package rebalance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// planCounts accumulates the results for random inventories.
type planCounts struct {
	planned, rejected                  int
	heuristicPlanned, heuristicOptimal int
	heuristicBytes, fewestBytes        int64 // totals for the inventories planned by the heuristics
}

// The search finds a plan if and only if the reference search shows that one exists, and its plan migrates as few bytes as
// the reference search. The heuristics' plans are valid. WOODPROXY_CASES=10000 runs 10,000 cases.
func TestPlanMigratesFewestBytes(t *testing.T) {
	cases := 250
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_CASES")); err == nil {
		cases = n
	}
	random := rand.New(rand.NewPCG(1, 7))
	var counts planCounts
	for i := range cases {
		inventory := smallInventory(random)
		fewest, planned := counts.checkSearch(t, i, inventory)
		if planned {
			counts.checkHeuristics(t, i, inventory, fewest)
		}
	}
	t.Logf("%d planned, %d rejected correctly; by heuristics: %d planned, %d of these optimally, %.3f times the fewest bytes",
		counts.planned, counts.rejected, counts.heuristicPlanned, counts.heuristicOptimal,
		float64(counts.heuristicBytes)/float64(max(counts.fewestBytes, 1)))
	if counts.planned < cases/4 {
		t.Errorf("%d of %d cases were planned: the generator must give more feasible cases", counts.planned, cases)
	}
	if counts.rejected < cases/10 {
		t.Errorf("%d of %d cases were rejected: the generator must give more infeasible cases", counts.rejected, cases)
	}
	if counts.heuristicPlanned < counts.planned*8/10 {
		t.Errorf("the heuristics planned %d of %d feasible cases", counts.heuristicPlanned, counts.planned)
	}
}

// checkSearch compares the search with the reference search. It returns the fewest bytes, or false if no plan exists.
func (c *planCounts) checkSearch(t *testing.T, index int, inventory *Inventory) (fewest int64, planned bool) {
	t.Helper()
	settings := defaultSettings
	settings.MaxSearchedPlacements = 1 << 20
	fewest = fewestBytes(inventory, settings)
	plan, err := NewPlan(inventory, settings)
	if err != nil {
		if fewest != infeasible {
			t.Fatalf("case %d: got error %v, want a plan of %d bytes: %+v", index, err, fewest, inventory)
		}
		if !isPlannerError(err) {
			t.Fatalf("case %d: got error of unexpected type %T", index, err)
		}
		c.rejected++
		return fewest, false
	}
	if err := verifyPlan(inventory, settings, plan); err != nil {
		t.Fatalf("case %d: invalid plan: %v: %+v %+v", index, err, inventory, plan)
	}
	if plan.Bytes != fewest {
		t.Fatalf("case %d: got a plan of %d bytes, want %d: %+v %+v", index, plan.Bytes, fewest, inventory, plan)
	}
	c.planned++
	return fewest, true
}

// checkHeuristics checks that the heuristics' plan is valid, if they find one.
func (c *planCounts) checkHeuristics(t *testing.T, index int, inventory *Inventory, fewest int64) {
	t.Helper()
	settings := defaultSettings
	settings.MaxSearchedPlacements = 0
	plan, err := NewPlan(inventory, settings)
	if err != nil {
		if !isPlannerError(err) {
			t.Fatalf("case %d by heuristics: got error of unexpected type %T", index, err)
		}
		return
	}
	if err := verifyPlan(inventory, settings, plan); err != nil {
		t.Fatalf("case %d by heuristics: invalid plan: %v: %+v %+v", index, err, inventory, plan)
	}
	c.heuristicPlanned++
	if plan.Bytes == fewest {
		c.heuristicOptimal++
	}
	c.heuristicBytes += plan.Bytes
	c.fewestBytes += fewest
}

func TestSwapWithoutFreeCapacityIsStuck(t *testing.T) {
	_, err := NewPlan(swapInventory(), defaultSettings)
	var stuck *ScheduleError
	if !errors.As(err, &stuck) || stuck.PendingShards != 2 || len(stuck.Shortfalls) != 2 || stuck.Shortfalls[0].Bytes != 6 {
		t.Errorf("%v", err)
	}
}

func TestSwapUsesIntermediateNode(t *testing.T) {
	inventory := swapInventory()
	inventory.Nodes = append(inventory.Nodes, Node{Name: "c", Capacity: 8})
	for _, c := range []struct {
		name                  string
		maxSearchedPlacements int
	}{
		{"by heuristics", 0},
		{"by search", 1 << 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := defaultSettings
			settings.MaxSearchedPlacements = c.maxSearchedPlacements
			plan, err := NewPlan(inventory, settings)
			if err != nil {
				t.Fatal(err)
			}
			if plan.Bytes != 24 || plan.IntermediateMigrations != 1 {
				t.Errorf("%+v", plan)
			}
			if err := verifyPlan(inventory, settings, plan); err != nil {
				t.Errorf("%v: %+v", err, plan)
			}
		})
	}
}

func TestPlanIsEmptyWhereNothingHasToMigrate(t *testing.T) {
	inventory := &Inventory{
		Nodes:  []Node{{Name: "a", Capacity: 10, Zone: "x"}},
		Shards: []Shard{{ID: 1, Source: "a"}},
	}
	if plan, err := NewPlan(inventory, defaultSettings); err != nil || len(plan.Steps) != 0 {
		t.Errorf("%+v %v", plan, err)
	}
}

// Plans for large fleets are valid. With a tenth of spare capacity they migrate at most 5% more bytes than the lower
// bound. WOODPROXY_MOVES=1 adds fleets of up to 1,000 nodes.
func TestLargeFleetIsPlannedNearLowerBound(t *testing.T) {
	type fleet struct {
		nodes, shards int
		spare, slack  float64
		maxRatio      float64 // maximum ratio of the plan's bytes to the lower bound
	}
	fleets := []fleet{{60, 1200, 0.10, 0.08, 1.05}, {60, 1200, 0.03, 0.025, 1.2}}
	if os.Getenv("WOODPROXY_MOVES") != "" {
		fleets = append(fleets,
			fleet{200, 4096, 0.10, 0.08, 1.05}, fleet{200, 4096, 0.03, 0.025, 1.2}, fleet{200, 4096, 0.01, 0.008, 2},
			fleet{500, 16384, 0.10, 0.08, 1.05}, fleet{500, 16384, 0.03, 0.025, 1.2},
			fleet{1000, 65536, 0.10, 0.08, 1.05})
	}
	for _, c := range fleets {
		for _, hasTargets := range []bool{false, true} {
			name := fmt.Sprintf("%d nodes, spare capacity %v, targets %v", c.nodes, c.spare, hasTargets)
			t.Run(name, func(t *testing.T) {
				inventory := largeFleet{c.nodes, c.shards, c.spare, hasTargets, 1}.inventory()
				settings := Settings{Slack: c.slack, MaxMigrationsPerNode: 2, MaxMigrations: 64}
				start := time.Now()
				plan, err := NewPlan(inventory, settings)
				elapsed := time.Since(start)
				if err != nil {
					if !isPlannerError(err) || c.spare >= 0.1 {
						t.Errorf("%v", err)
					}
					t.Logf("no plan: %v", err)
					return
				}
				if err := verifyPlan(inventory, settings, plan); err != nil {
					t.Errorf("%v", err)
				}
				t.Logf("%d shards: %.4f of the lower bound, %d steps, %d intermediate migrations, %v", c.shards,
					float64(plan.Bytes)/float64(plan.LowerBoundBytes), len(plan.Steps), plan.IntermediateMigrations, elapsed)
				if float64(plan.Bytes) > c.maxRatio*float64(plan.LowerBoundBytes) {
					t.Errorf("got a plan of %d bytes, which is too far above the lower bound %d", plan.Bytes, plan.LowerBoundBytes)
				}
			})
		}
	}
}

// fullInventory returns 20 nodes without any free capacity whose 200 shards all have to migrate, and an empty node with a
// capacity of freeBytes.
func fullInventory(freeBytes int64) *Inventory {
	inventory := &Inventory{}
	for n := range 20 {
		inventory.Nodes = append(inventory.Nodes, Node{Name: fmt.Sprint("c", n), Capacity: 70})
		for k := range 10 {
			inventory.Shards = append(inventory.Shards, Shard{
				ID: n*10 + k, Bytes: 7, Source: fmt.Sprint("c", n), Target: fmt.Sprint("c", (n+1+k%4)%20),
			})
		}
	}
	inventory.Nodes = append(inventory.Nodes, Node{Name: "free", Capacity: freeBytes})
	return inventory
}

// Free capacity for one shard is enough for a plan close to the lower bound. With one byte less, the error reports the
// shortfalls.
func TestFullNodesNeedCapacityForOneShard(t *testing.T) {
	settings := Settings{MaxMigrationsPerNode: 2, MaxMigrations: 32}
	t.Run("enough for one shard", func(t *testing.T) {
		inventory := fullInventory(7)
		plan, err := NewPlan(inventory, settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := verifyPlan(inventory, settings, plan); err != nil {
			t.Errorf("%v", err)
		}
		if plan.Bytes > plan.LowerBoundBytes*6/5 {
			t.Errorf("got a plan of %d bytes, want at most 6/5 of the lower bound %d; %d intermediate migrations",
				plan.Bytes, plan.LowerBoundBytes, plan.IntermediateMigrations)
		}
		t.Logf("%d bytes, lower bound %d, %d intermediate migrations, %d steps",
			plan.Bytes, plan.LowerBoundBytes, plan.IntermediateMigrations, len(plan.Steps))
	})
	t.Run("one byte too few", func(t *testing.T) {
		_, err := NewPlan(fullInventory(6), settings)
		var stuck *ScheduleError
		if !errors.As(err, &stuck) || stuck.PendingShards != 200 || stuck.Shortfalls[0].Bytes != 7 {
			t.Errorf("%v", err)
		}
	})
}

// Running all migrations at once exceeds the capacity of a node in an inventory for which the planner finds a plan.
func TestPlanIsNeededWhereConcurrentMigrationsExceedCapacity(t *testing.T) {
	inventory := largeFleet{nodes: 60, shards: 1200, spare: 0.03, hasTargets: true, seed: 2}.inventory()
	loads, capacity, maxLoad := map[string]int64{}, inventory.Nodes[0].Capacity, int64(0)
	for _, shard := range inventory.Shards {
		loads[shard.Source] += shard.Bytes
		if shard.Target != shard.Source {
			loads[shard.Target] += shard.Bytes
		}
	}
	for _, load := range loads {
		maxLoad = max(maxLoad, load)
	}
	if maxLoad <= capacity {
		t.Errorf("all migrations at once: got %d bytes on the fullest node, want more than its capacity of %d", maxLoad, capacity)
	}
	plan, err := NewPlan(inventory, Settings{MaxMigrationsPerNode: 2, MaxMigrations: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("all migrations at once load the fullest node to %.2f of its capacity; the plan stays within capacity in %d steps",
		float64(maxLoad)/float64(capacity), len(plan.Steps))
}
