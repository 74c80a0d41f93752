package server

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"woodproxy/internal/snapshot"
	"woodproxy/internal/wire"
	"woodproxy/recovery"

	"go.uber.org/zap"
)

const (
	maxSnapshotAge   = 24 * time.Hour // older stored endpoint lists are not used
	maxRestoredSeeds = 16             // maximum number of stored peer addresses that are used as gossip seeds
)

// Outcomes of the restore in the response to GET /control/recovery. Further outcomes are the reasons of
// recovery.SelectEndpointList.
const (
	restoredNothing      = "nothing"
	restoredUnreadable   = "unreadable, and put aside"
	restoredReadFailed   = "not to be read at the start"
	restoredOtherCluster = "another fleet's"
)

// restoredState is the endpoint list to start with, and the outcome of the restore.
type restoredState struct {
	endpoints *wire.EndpointList // nil: none
	outcome   string             // text for operators; empty if there is no state file
	draining  int                // number of endpoints that are not used because they are draining in the stored list
}

// restoreState compares the stored state with the configuration and returns the endpoint list to start with. Stored
// addresses of peers are added to the gossip seeds of the configuration. A state file with invalid content is moved
// aside.
func restoreState(config *Config, log *zap.Logger) restoredState {
	configured := restoredState{endpoints: config.KnownEndpoints}
	if config.StateStore == nil {
		return configured
	}
	stored, err := config.StateStore.Load()
	var corrupt *snapshot.CorruptError
	switch {
	case errors.As(err, &corrupt):
		log.Warn("state: " + corrupt.Error())
		moveAside(config.StateStore, log)
		configured.outcome = restoredUnreadable
		return configured
	case err != nil:
		log.Warn("state: " + err.Error())
		configured.outcome = restoredReadFailed
		return configured
	case stored == nil:
		configured.outcome = restoredNothing
		return configured
	}
	if cluster := config.cluster(); stored.Cluster != cluster {
		mismatch := &recovery.ClusterMismatchError{StoredCluster: stored.Cluster, OwnCluster: cluster}
		log.Warn("state: " + mismatch.Error())
		configured.outcome = restoredOtherCluster
		return configured
	}
	storedList, err := wire.ReadEndpointList(bytes.NewReader(stored.EndpointList))
	if err != nil {
		log.Warn("state: stored endpoint list is unreadable, state file moved aside", zap.Error(err))
		moveAside(config.StateStore, log)
		configured.outcome = restoredUnreadable
		return configured
	}
	return chooseEndpoints(config, stored, storedList, log)
}

// moveAside renames a corrupt state file so that operators can inspect it. If that fails, the next snapshot replaces it.
func moveAside(store *snapshot.Store, log *zap.Logger) {
	if err := store.Quarantine(); err != nil {
		log.Warn("state: state file can't be moved aside; the next snapshot replaces it", zap.Error(err))
	}
}

// chooseEndpoints chooses between the stored and the configured endpoint list. With gossip it also adds the stored peers to
// the seeds.
func chooseEndpoints(
	config *Config, stored *snapshot.Snapshot, storedList *wire.EndpointList, log *zap.Logger,
) restoredState {
	configured := config.KnownEndpoints
	if configured == nil {
		configured = &wire.EndpointList{}
	}
	selection := recovery.SelectEndpointList(
		recovery.StoredEndpointList{
			EndpointList: recovery.EndpointList{Index: stored.EndpointListIndex, Endpoints: recoveryEndpoints(storedList.Endpoints)},
			SavedAt:      stored.SavedAt,
		},
		recovery.EndpointList{Index: configured.Index, Endpoints: recoveryEndpoints(configured.Endpoints)},
		time.Now(), maxSnapshotAge)
	if config.Gossip != nil {
		addSeeds(config, stored.PeerAddresses)
	}
	restored := restoredState{endpoints: config.KnownEndpoints, outcome: selection.Reason, draining: len(selection.Draining)}
	switch {
	case selection.UseStored:
		restored.endpoints = storedList
	case len(selection.Draining) > 0:
		restored.endpoints = withDraining(configured.Endpoints, selection.Draining)
	}
	log.Info("state: "+selection.Reason, zap.Bool("used", selection.UseStored), zap.Strings("drained", selection.Draining))
	return restored
}

// addSeeds adds stored addresses of peers to the gossip seeds: some of these proxies may still be running.
func addSeeds(config *Config, addresses []string) {
	for _, address := range addresses[:min(len(addresses), maxRestoredSeeds)] {
		if !slices.Contains(config.Gossip.Seeds, address) {
			config.Gossip.Seeds = append(config.Gossip.Seeds, address)
		}
	}
}

// withDraining returns a list of the endpoints in which those with the given names are not ready. Its index is 0, lower than
// any index of discovery. It modifies endpoints.
func withDraining(endpoints []wire.Endpoint, draining []string) *wire.EndpointList {
	for i := range endpoints {
		if slices.Contains(draining, endpoints[i].Name) {
			endpoints[i].Ready = false
		}
	}
	return &wire.EndpointList{Complete: true, Endpoints: endpoints}
}

// recoveryEndpoints converts endpoints to the type of the recovery module.
func recoveryEndpoints(endpoints []wire.Endpoint) []recovery.Endpoint {
	converted := make([]recovery.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		status := recovery.EndpointDraining
		if endpoint.Ready {
			status = recovery.EndpointReady
		} else if endpoint.Departed {
			status = recovery.EndpointRemoved
		}
		converted = append(converted, recovery.Endpoint{Name: endpoint.Name, Status: status})
	}
	return converted
}
