package duties

// Stats are the statistics of one proxy for operators. Counters start at zero when the process starts.
type Stats struct {
	Alive            int   `json:"here"`     // proxies that are alive
	Watchers         int   `json:"watchers"` // proxies with a valid watch lease, as of the last tick
	WatchAssigned    bool  `json:"duty"`     // whether this proxy is assigned to watch discovery
	WatchLive        bool  `json:"watches"`  // whether this proxy's discovery watch works
	OwnedNodes       int   `json:"kept"`     // nodes to which this proxy keeps idle connections
	Nodes            int   `json:"nodes"`    // nodes in the endpoint list, as of the last assignment
	EjectedNodes     int   `json:"passed"`   // nodes that this proxy has ejected
	ProbesSent       int64 `json:"trials"`   // counter of this proxy's probes
	ReportsReceived  int64 `json:"told"`     // counter of accepted probe reports from other proxies
	DuplicateProbes  int64 `json:"twice"`    // counter of reported probes sent less than half an interval after the latest
	RejectedReports  int64 `json:"refused"`  // counter of rejected probe reports
	OwnershipChanges int64 `json:"moved"`    // counter of nodes whose idle connections this proxy took over or gave up
}
