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
	maxSnapshotAge   = 24 * time.Hour // an older endpoint list is not used
	maxRestoredSeeds = 16             // stored addresses of peers that are used as gossip seeds
)

// What became of the stored state, as GET /control/recovery shows it, beside the reasons of recovery.Believe.
const (
	restoredNothing      = "nothing"
	restoredUnreadable   = "unreadable, and put aside"
	restoredLater        = "not to be read at the start"
	restoredOtherCluster = "another fleet's"
)

// restoredState is the endpoint list to start with, and what became of the stored state.
type restoredState struct {
	endpoints *wire.EndpointList // nil: none
	outcome   string             // for operators; empty if no state is stored
	drained   int                // endpoints that are not used because the stored list had them draining
}

// restoreState compares the stored state with the configuration and returns which endpoint list to start with. Stored
// addresses of peers are added to the gossip seeds of the configuration. A state file that can't be read is moved
// aside.
func restoreState(config *Config, log *zap.Logger) restoredState {
	configured := restoredState{endpoints: config.KnownEndpoints}
	if config.StateStore == nil {
		return configured
	}
	stored, err := config.StateStore.Load()
	var torn *snapshot.CorruptError
	switch {
	case errors.As(err, &torn):
		log.Warn("state: " + torn.Error())
		moveAside(config.StateStore, log)
		configured.outcome = restoredUnreadable
		return configured
	case err != nil:
		log.Warn("state: " + err.Error())
		configured.outcome = restoredLater
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

// moveAside keeps a state file that is of no use for operators. Where that fails the next snapshot replaces it.
func moveAside(store *snapshot.Store, log *zap.Logger) {
	if err := store.Quarantine(); err != nil {
		log.Warn("state: the file can't be moved aside, and is replaced by the next snapshot", zap.Error(err))
	}
}

// chooseEndpoints decides between the stored and the configured endpoint list.
func chooseEndpoints(
	config *Config, stored *snapshot.Snapshot, storedList *wire.EndpointList, log *zap.Logger,
) restoredState {
	configured := config.KnownEndpoints
	if configured == nil {
		configured = &wire.EndpointList{}
	}
	use := recovery.SelectEndpointList(
		recovery.StoredEndpointList{EndpointList: recovery.EndpointList{Index: stored.EndpointListIndex, Endpoints: recoveryLines(storedList.Endpoints)}, SavedAt: stored.SavedAt},
		recovery.EndpointList{Index: configured.Index, Endpoints: recoveryLines(configured.Endpoints)},
		time.Now(), maxSnapshotAge)
	if config.Gossip != nil {
		addSeeds(config, stored.PeerAddresses)
	}
	restored := restoredState{endpoints: config.KnownEndpoints, outcome: use.Reason, drained: len(use.Draining)}
	switch {
	case use.UseStored:
		restored.endpoints = storedList
	case len(use.Draining) > 0:
		restored.endpoints = withDrained(configured.Endpoints, use.Draining)
	}
	log.Info("state: "+use.Reason, zap.Bool("used", use.UseStored), zap.Strings("drained", use.Draining))
	return restored
}

// addSeeds adds stored addresses of peers to the gossip seeds: some of these proxies may still be there.
func addSeeds(config *Config, addresses []string) {
	for _, address := range addresses[:min(len(addresses), maxRestoredSeeds)] {
		if !slices.Contains(config.Gossip.Seeds, address) {
			config.Gossip.Seeds = append(config.Gossip.Seeds, address)
		}
	}
}

// withDrained returns the endpoints with those of some names not ready, as a list of a version before any of
// discovery's. It changes endpoints.
func withDrained(endpoints []wire.Endpoint, drained []string) *wire.EndpointList {
	for i := range endpoints {
		if slices.Contains(drained, endpoints[i].Name) {
			endpoints[i].Ready = false
		}
	}
	return &wire.EndpointList{Complete: true, Endpoints: endpoints}
}

// recoveryLines converts endpoints to what the recovery module compares.
func recoveryLines(targets []wire.Endpoint) []recovery.Endpoint {
	lines := make([]recovery.Endpoint, 0, len(targets))
	for _, target := range targets {
		status := recovery.EndpointDraining
		if target.Ready {
			status = recovery.EndpointReady
		} else if target.Departed {
			status = recovery.EndpointRemoved
		}
		lines = append(lines, recovery.Endpoint{Name: target.Name, Status: status})
	}
	return lines
}
