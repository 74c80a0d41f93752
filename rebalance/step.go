package rebalance

// transfer is the migration of a shard. Shard and nodes are identified by index. The source is unplaced if no node stores
// the shard yet.
type transfer struct {
	shard, source, target int
}

// step collects transfers that may run concurrently.
type step struct {
	schedule  *schedule
	transfers []transfer
	perNode   []int   // by node: number of transfers from or to the node
	incoming  []int64 // by node: bytes of the transfers to the node
}

func newStep(s *schedule) *step {
	return &step{schedule: s, perNode: make([]int, len(s.nodes)), incoming: make([]int64, len(s.nodes))}
}

func (st *step) isEmpty() bool { return len(st.transfers) == 0 }

// isFull reports whether the step has reached the fleet's limit of concurrent migrations.
func (st *step) isFull() bool { return len(st.transfers) >= st.schedule.settings.MaxMigrations }

// includes reports whether a shard migrates in the step.
func (st *step) includes(shard int) bool {
	for _, t := range st.transfers {
		if t.shard == shard {
			return true
		}
	}
	return false
}

// accepts reports whether a transfer can be added within the limits of both its nodes. The target needs capacity for all
// incoming shards of the step on top of its current load. Shards that leave the target in the same step still count,
// because a source keeps its copy until the step has finished.
func (st *step) accepts(t transfer) bool {
	s, limit := st.schedule, st.schedule.settings.MaxMigrationsPerNode
	if st.perNode[t.target] >= limit || t.source != unplaced && st.perNode[t.source] >= limit {
		return false
	}
	return s.loads[t.target]+st.incoming[t.target]+s.shards[t.shard].Bytes <= s.nodes[t.target].Capacity
}

func (st *step) add(t transfer) {
	st.transfers = append(st.transfers, t)
	st.incoming[t.target] += st.schedule.shards[t.shard].Bytes
	st.perNode[t.target]++
	if t.source != unplaced {
		st.perNode[t.source]++
	}
}
