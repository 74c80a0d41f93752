package recovery

import "fmt"

// ClusterMismatchError reports a state file that a proxy of another cluster wrote.
type ClusterMismatchError struct {
	StoredCluster string // the cluster in the state file
	OwnCluster    string // the cluster of this proxy
}

func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("the state file belongs to cluster %q, and this proxy to %q; "+
		"name another directory, or empty this one", e.StoredCluster, e.OwnCluster)
}
