package negativecache

// Stats are the statistics of a cache for operators. Counters start at zero when the process starts.
type Stats struct {
	Serving           bool  `json:"believes"` // whether absent keys are served
	AwaitedProxies    int   `json:"waits"`    // proxies with announced write reports that have not arrived
	Flushes           int64 `json:"cleared"`  // counter of flushes of the table
	PeerEntries       int64 `json:"told"`     // counter of absent keys stored from other proxies' reports
	RejectedFromPeers int64 `json:"refused"`  // counter of rejected reports, and of absent keys in accepted ones not stored
	GrowthLimited     int64 `json:"grown"`    // counter of absent keys from the origin that exceeded the growth limit
	Hits              int64 `json:"hits"`     // counter of lookups that found an absent key
	Stored            int64 `json:"put"`      // counter of absent keys stored, from the origin and from reports
	RejectedFull      int64 `json:"full"`     // counter of absent keys not stored because their bucket was full
	Capacity          int   `json:"room"`     // number of entries that the table can hold
}
