package snapshot

import "time"

// Snapshot is the content of the state file. Its msgpack keys are part of the file format; keys that are not known here
// are skipped on reading, so that a later version may add some.
type Snapshot struct {
	// Owner is the name of the proxy that wrote the file. Save sets it.
	Owner string `msgpack:"o"`
	// Cluster is the name of the gossip cluster that the proxy belongs to, empty where it has no peers.
	Cluster string `msgpack:"c"`
	// SavedAt is when the snapshot was taken, by the wall clock of the proxy that wrote it.
	SavedAt time.Time `msgpack:"t"`
	// EndpointListIndex is the version of the endpoint list, as discovery numbers it.
	EndpointListIndex int64 `msgpack:"i"`
	// EndpointList is the endpoint list in the JSON form in which discovery sends it.
	EndpointList []byte `msgpack:"l"`
	// PeerAddresses are the gossip addresses (host:port) of peers that were alive.
	PeerAddresses []string `msgpack:"p"`
}
