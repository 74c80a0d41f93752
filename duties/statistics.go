package duties

// Statistics are the statistics of one proxy, as operators see them. Counters count since the start of the process.
type Statistics struct {
	Alive            int   `json:"here"`     // proxies that duties are assigned to
	Watchers         int   `json:"watchers"` // proxies with a valid watch lease, at the last tick
	WatchAssigned    bool  `json:"duty"`     // this proxy is to watch discovery
	WatchLive        bool  `json:"watches"`  // its watch of discovery works
	OwnedNodes       int   `json:"kept"`     // nodes to which this proxy keeps idle connections
	Nodes            int   `json:"nodes"`    // nodes in the endpoint list, at the last assignment
	EjectedNodes     int   `json:"passed"`   // nodes that this proxy has ejected
	ProbesSent       int64 `json:"trials"`   // counter of this proxy's probes
	ReportsReceived  int64 `json:"told"`     // counter of other proxies' reports on probes
	DuplicateProbes  int64 `json:"twice"`    // counter of reported probes that were sent while one was under way
	RejectedReports  int64 `json:"refused"`  // counter of reports that were out of bounds
	OwnershipChanges int64 `json:"moved"`    // counter of nodes whose idle connections this proxy took over or gave up
}
