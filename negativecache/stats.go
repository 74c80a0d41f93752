package negativecache

// Stats are the statistics of a cache for operators. Counters count from the start of the process.
type Stats struct {
	Serving           bool  `json:"believes"` // absent keys are being served
	AwaitedProxies    int   `json:"waits"`    // proxies with write reports that were announced and did not arrive yet
	Flushes           int64 `json:"cleared"`  // flushes of the table
	PeerEntries       int64 `json:"told"`     // absent keys stored from other proxies' reports
	RejectedFromPeers int64 `json:"refused"`  // reports rejected, and absent keys in accepted ones that were not stored
	GrowthLimited     int64 `json:"grown"`    // absent keys from the origin that exceeded the growth limit
	Hits              int64 `json:"hits"`     // lookups that found an absent key
	Stored            int64 `json:"put"`      // absent keys stored, from the origin and from reports
	RejectedFull      int64 `json:"full"`     // absent keys that were not stored, for want of a slot
	Capacity          int   `json:"room"`     // entries that the table can hold
}
