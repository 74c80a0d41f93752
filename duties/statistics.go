package duties

// Figures are the statistics of one proxy, as operators see them. Counters count since the start of the process.
type Figures struct {
	Here          int   `json:"here"`     // proxies that duties are assigned to
	Watchers      int   `json:"watchers"` // proxies with a valid watch lease, at the last tick
	WatchAssigned bool  `json:"duty"`     // this proxy is to watch discovery
	WatchLive     bool  `json:"watches"`  // its watch of discovery works
	Kept          int   `json:"kept"`     // nodes to which this proxy keeps idle connections
	Nodes         int   `json:"nodes"`    // nodes in the endpoint list, at the last assignment
	Passed        int   `json:"passed"`   // nodes that this proxy has ejected
	Trials        int64 `json:"trials"`   // counter of this proxy's probes
	Told          int64 `json:"told"`     // counter of other proxies' reports on probes
	Twice         int64 `json:"twice"`    // counter of reported probes that were sent while one was under way
	Refused       int64 `json:"refused"`  // counter of reports that were out of bounds
	Moved         int64 `json:"moved"`    // counter of nodes whose idle connections this proxy took over or gave up
}
