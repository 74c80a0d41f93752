package rebalance

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// The lower bound equals the optimum of a linear program in which shards may be divided.
func TestLowerBoundEqualsLinearProgram(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		inventory := largeFleet{nodes: 10, shards: 24, spare: 0.5, seed: random.Uint64()}.inventory()
		p, err := newProblem(inventory, Settings{Slack: 0.3, MaxMigrationsPerNode: 2, MaxMigrations: 8})
		if err != nil {
			t.Fatal(err)
		}
		optimum, err := solveLinearProgram(p)
		if err != nil {
			t.Fatal(err)
		}
		if got := float64(p.lowerBoundBytes()) / 1e6; math.Abs(got-optimum) > 1e-3*optimum+1e-4 {
			t.Errorf("got a lower bound of %.4f MB, want %.4f MB as by the linear program", got, optimum)
		}
	}
}

// solveLinearProgram returns the fewest megabytes that migrate if shards may be divided. The variables are the part of each
// shard on each node that is not draining, followed by the slack variable of each of these nodes.
func solveLinearProgram(p *problem) (float64, error) {
	shards, nodes := len(p.shards), 0
	for nodes < len(p.nodes) && !p.nodes[nodes].Draining { // draining nodes come last
		nodes++
	}
	costs := make([]float64, shards*nodes+nodes)
	constraints := mat.NewDense(shards+nodes, shards*nodes+nodes, nil)
	limits := make([]float64, shards+nodes)
	for shard := range shards {
		megabytes := float64(p.shards[shard].Bytes) / 1e6
		for node := range nodes {
			part := shard*nodes + node
			if p.sourceNodes[shard] != node {
				costs[part] = megabytes
			}
			constraints.Set(shard, part, 1)
			constraints.Set(shards+node, part, megabytes)
		}
		limits[shard] = 1
	}
	for node := range nodes {
		constraints.Set(shards+node, shards*nodes+node, 1)
		limits[shards+node] = float64(p.maxLoads[node]) / 1e6
	}
	optimum, _, err := lp.Simplex(costs, constraints, limits, 1e-9, nil)
	return optimum, err
}
