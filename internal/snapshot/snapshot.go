package snapshot

import "time"

// Snapshot is the content of the state file. Its msgpack keys are part of the file format. Load skips unknown keys, so that
// a later version of the program can add keys.
type Snapshot struct {
	// Owner is the name of the proxy that wrote the file. [Store.Save] sets it.
	Owner string `msgpack:"o"`
	// Cluster is the name of the gossip cluster of the proxy, empty if the proxy has no peers.
	Cluster string `msgpack:"c"`
	// SavedAt is the time at which the snapshot was taken, by the wall clock of the proxy that wrote it.
	SavedAt time.Time `msgpack:"t"`
	// EndpointListIndex is the index that the discovery service assigned to this version of the endpoint list.
	EndpointListIndex int64 `msgpack:"i"`
	// EndpointList is the endpoint list in the JSON form of the discovery service.
	EndpointList []byte `msgpack:"l"`
	// PeerAddresses lists the gossip addresses (host:port) of the peers that were alive.
	PeerAddresses []string `msgpack:"p"`
}
