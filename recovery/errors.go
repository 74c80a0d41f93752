package recovery

import "fmt"

// ClusterMismatchError reports that the state file was written by a proxy of another cluster.
type ClusterMismatchError struct {
	StoredCluster string // cluster name in the state file
	OwnCluster    string // cluster name of this proxy
}

func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("the state file belongs to cluster %q, and this proxy to %q; "+
		"name another directory, or empty this one", e.StoredCluster, e.OwnCluster)
}
