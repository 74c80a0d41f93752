package rebalance

import (
	"fmt"
	"slices"
	"testing"
)

// planVerifier executes a plan and checks it against the inventory. It shares no code with the planner.
type planVerifier struct {
	inventory *Inventory
	settings  Settings
	nodes     map[string]Node
	shards    map[int]Shard
	nodeOf    map[int]string   // by shard ID; empty: unplaced
	loads     map[string]int64 // by node name
	migrated  int64            // bytes migrated so far
}

// verifyPlan returns an error if a plan violates a limit or a constraint, leaves a shard unplaced or has wrong sums.
func verifyPlan(inventory *Inventory, settings Settings, plan *Plan) error {
	v := newPlanVerifier(inventory, settings)
	for i, step := range plan.Steps {
		if err := v.checkStep(step); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		v.apply(step)
	}
	if err := v.checkFinalNodes(); err != nil {
		return err
	}
	if err := v.checkFinalLoads(); err != nil {
		return err
	}
	if v.migrated != plan.Bytes || plan.Bytes < plan.LowerBoundBytes {
		return fmt.Errorf("%d bytes migrated, but the plan states %d with lower bound %d",
			v.migrated, plan.Bytes, plan.LowerBoundBytes)
	}
	return nil
}

func newPlanVerifier(inventory *Inventory, settings Settings) *planVerifier {
	v := &planVerifier{
		inventory: inventory, settings: settings, nodes: map[string]Node{}, shards: map[int]Shard{},
		nodeOf: map[int]string{}, loads: map[string]int64{},
	}
	for _, node := range inventory.Nodes {
		v.nodes[node.Name] = node
	}
	for _, shard := range inventory.Shards {
		v.shards[shard.ID], v.nodeOf[shard.ID] = shard, shard.Source
		v.loads[shard.Source] += shard.Bytes
	}
	return v
}

// checkStep checks the number of migrations, each migration, and the capacities of nodes while all copies of migrating
// shards exist.
func (v *planVerifier) checkStep(step []Migration) error {
	if len(step) > v.settings.MaxMigrations || len(step) == 0 {
		return fmt.Errorf("number of migrations %d is out of range", len(step))
	}
	perNode, incoming, migrating := map[string]int{}, map[string]int64{}, map[int]bool{}
	for _, migration := range step {
		if err := v.checkMigration(migration); err != nil {
			return err
		}
		if migrating[migration.Shard] {
			return fmt.Errorf("shard %d migrates twice", migration.Shard)
		}
		migrating[migration.Shard] = true
		incoming[migration.To] += migration.Bytes
		perNode[migration.To]++
		if migration.From != "" {
			perNode[migration.From]++
		}
	}
	for node, bytes := range incoming {
		if v.loads[node]+bytes > v.nodes[node].Capacity {
			return fmt.Errorf("%s has %d bytes and receives %d, of capacity %d",
				node, v.loads[node], bytes, v.nodes[node].Capacity)
		}
	}
	for node, count := range perNode {
		if count > v.settings.MaxMigrationsPerNode {
			return fmt.Errorf("%s takes part in %d migrations", node, count)
		}
	}
	return nil
}

func (v *planVerifier) checkMigration(migration Migration) error {
	shard, ok := v.shards[migration.Shard]
	target := v.nodes[migration.To]
	if !ok || migration.From != v.nodeOf[migration.Shard] || migration.Bytes != shard.Bytes ||
		target.Draining || target.Name == "" || shard.Pinned {
		return fmt.Errorf("invalid migration %+v of a shard on %q", migration, v.nodeOf[migration.Shard])
	}
	return nil
}

func (v *planVerifier) apply(step []Migration) {
	for _, migration := range step {
		v.loads[v.nodeOf[migration.Shard]] -= migration.Bytes
		v.nodeOf[migration.Shard] = migration.To
		v.loads[migration.To] += migration.Bytes
		v.migrated += migration.Bytes
	}
}

// checkFinalNodes checks that each shard is on a node that its constraints allow.
func (v *planVerifier) checkFinalNodes() error {
	for _, shard := range v.inventory.Shards {
		node := v.nodes[v.nodeOf[shard.ID]]
		if node.Name == "" || node.Draining || shard.Target != "" && node.Name != shard.Target ||
			len(shard.Zones) > 0 && !slices.Contains(shard.Zones, node.Zone) {
			return fmt.Errorf("shard %d ends on %q", shard.ID, node.Name)
		}
		if shard.AntiAffinity == "" {
			continue
		}
		for _, other := range v.inventory.Shards {
			if other.AntiAffinity == shard.AntiAffinity && other.ID != shard.ID &&
				v.nodes[v.nodeOf[other.ID]].Zone == node.Zone {
				return fmt.Errorf("shards %d and %d end in one zone", shard.ID, other.ID)
			}
		}
	}
	return nil
}

// checkFinalLoads checks that loads are within capacity, and within the slack if a shard has no required node.
func (v *planVerifier) checkFinalLoads() error {
	totalWeight, totalBytes, hasFreeShards, required := 0.0, int64(0), false, map[string]int64{}
	for _, node := range v.inventory.Nodes {
		if !node.Draining {
			totalWeight += max(node.Weight, 1)
		}
	}
	for _, shard := range v.inventory.Shards {
		totalBytes += shard.Bytes
		switch {
		case shard.Pinned:
			required[shard.Source] += shard.Bytes
		case shard.Target != "":
			required[shard.Target] += shard.Bytes
		default:
			hasFreeShards = true
		}
	}
	for _, node := range v.inventory.Nodes {
		maxLoad := node.Capacity
		if hasFreeShards {
			evenShare := float64(totalBytes) * max(node.Weight, 1) / totalWeight
			maxLoad = min(maxLoad, max(int64(evenShare*(1+v.settings.Slack)), required[node.Name]))
		}
		if v.loads[node.Name] > maxLoad && !node.Draining {
			return fmt.Errorf("%s ends with %d bytes, more than the maximum of %d", node.Name, v.loads[node.Name], maxLoad)
		}
	}
	return nil
}

// The verifier rejects invalid plans. It counts a migrating shard at both its nodes.
func TestVerifierRejectsInvalidPlans(t *testing.T) {
	sufficient := swapInventory()
	sufficient.Nodes[0].Capacity, sufficient.Nodes[1].Capacity = 16, 16
	concurrent := [][]Migration{{{1, "a", "b", 8}, {2, "b", "a", 8}}}
	onePerNode := defaultSettings
	onePerNode.MaxMigrationsPerNode = 1
	oneInTotal := defaultSettings
	oneInTotal.MaxMigrations = 1
	for _, c := range []struct {
		name      string
		inventory *Inventory
		settings  Settings
		plan      Plan
		isValid   bool
	}{
		{"valid", sufficient, defaultSettings, Plan{Steps: concurrent, Bytes: 16, LowerBoundBytes: 16}, true},
		{
			"concurrent swap without capacity", swapInventory(), defaultSettings,
			Plan{Steps: concurrent, Bytes: 16, LowerBoundBytes: 16},
			false,
		},
		{"sum of bytes too small", sufficient, defaultSettings, Plan{Steps: concurrent, Bytes: 15}, false},
		{
			"below the lower bound", sufficient, defaultSettings,
			Plan{Steps: concurrent, Bytes: 16, LowerBoundBytes: 17},
			false,
		},
		{"too many migrations of a node", sufficient, onePerNode, Plan{Steps: concurrent, Bytes: 16}, false},
		{"too many migrations in total", sufficient, oneInTotal, Plan{Steps: concurrent, Bytes: 16}, false},
		{"empty step", sufficient, defaultSettings, Plan{Steps: [][]Migration{concurrent[0], {}}, Bytes: 16}, false},
		{"wrong source", sufficient, defaultSettings, Plan{Steps: [][]Migration{{{1, "b", "a", 8}}}, Bytes: 8}, false},
		{
			"shard migrates twice in a step", sufficient, defaultSettings,
			Plan{Steps: [][]Migration{{{1, "a", "b", 8}, {1, "a", "b", 8}}}, Bytes: 16},
			false,
		},
		{
			"shard not on its target", sufficient, defaultSettings,
			Plan{Steps: [][]Migration{{{1, "a", "b", 8}}}, Bytes: 8},
			false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := verifyPlan(c.inventory, c.settings, &c.plan); (err == nil) != c.isValid {
				t.Errorf("want valid %v, got error %v", c.isValid, err)
			}
		})
	}
}
