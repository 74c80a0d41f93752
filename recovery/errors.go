package recovery

import "fmt"

// ClusterError reports a state file that a proxy of another cluster wrote.
type ClusterError struct {
	Stored string // the cluster in the state file
	Own    string // the cluster of this proxy
}

func (e *ClusterError) Error() string {
	return fmt.Sprintf("the state file belongs to cluster %q, and this proxy to %q; "+
		"name another directory, or empty this one", e.Stored, e.Own)
}
