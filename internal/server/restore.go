package server

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"woodproxy/internal/snapshot"
	"woodproxy/internal/wire"
	"woodproxy/recovery"

	"github.com/valyala/fastjson"
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
	endpoints *fastjson.Value // in discovery's format; nil or null: none
	outcome   string          // for operators; empty if no state is stored
	drained   int             // endpoints that are not used because the stored list had them draining
}

// restoreState compares the stored state with the configuration and returns which endpoint list to start with. Stored
// addresses of peers are added to the gossip seeds of the configuration. A state file that can't be read is moved
// aside.
func restoreState(config *Config, log *zap.Logger) (restoredState, error) {
	configured := restoredState{endpoints: config.KnownEndpoints}
	if config.StateStore == nil {
		return configured, nil
	}
	stored, err := config.StateStore.Load()
	var torn *snapshot.CorruptError
	switch {
	case errors.As(err, &torn):
		log.Warn("state: " + torn.Error())
		moveAside(config.StateStore, log)
		configured.outcome = restoredUnreadable
		return configured, nil
	case err != nil:
		log.Warn("state: " + err.Error())
		configured.outcome = restoredLater
		return configured, nil
	case stored == nil:
		configured.outcome = restoredNothing
		return configured, nil
	}
	if cluster := config.cluster(); stored.Cluster != cluster {
		mismatch := &recovery.ClusterMismatchError{StoredCluster: stored.Cluster, OwnCluster: cluster}
		log.Warn("state: " + mismatch.Error())
		configured.outcome = restoredOtherCluster
		return configured, nil
	}
	storedList, err := parseEndpoints(stored.EndpointList)
	if err != nil {
		log.Warn("state: stored endpoint list is unreadable, state file moved aside", zap.Error(err))
		moveAside(config.StateStore, log)
		configured.outcome = restoredUnreadable
		return configured, nil
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
	config *Config, stored *snapshot.Snapshot, storedList *endpointList, log *zap.Logger,
) (restoredState, error) {
	configuredList, err := configuredEndpoints(config)
	if err != nil {
		return restoredState{}, err
	}
	use := recovery.SelectEndpointList(
		recovery.StoredEndpointList{EndpointList: recovery.EndpointList{Index: stored.EndpointListIndex, Endpoints: recoveryLines(storedList.targets)}, SavedAt: stored.SavedAt},
		recovery.EndpointList{Index: configuredList.version, Endpoints: recoveryLines(configuredList.targets)},
		time.Now(), maxSnapshotAge)
	if config.Gossip != nil {
		addSeeds(config, stored.PeerAddresses)
	}
	restored := restoredState{endpoints: config.KnownEndpoints, outcome: use.Reason, drained: len(use.Draining)}
	switch {
	case use.UseStored:
		restored.endpoints = storedList.document
	case len(use.Draining) > 0:
		restored.endpoints = withDrained(configuredList.targets, use.Draining)
	}
	log.Info("state: "+use.Reason, zap.Bool("used", use.UseStored), zap.Strings("drained", use.Draining))
	return restored, nil
}

// addSeeds adds stored addresses of peers to the gossip seeds: some of these proxies may still be there.
func addSeeds(config *Config, addresses []string) {
	for _, address := range addresses[:min(len(addresses), maxRestoredSeeds)] {
		if !slices.Contains(config.Gossip.Seeds, address) {
			config.Gossip.Seeds = append(config.Gossip.Seeds, address)
		}
	}
}

// withDrained returns the endpoint list with these endpoints not ready, in discovery's format. It changes targets.
func withDrained(targets []wire.Endpoint, drained []string) *fastjson.Value {
	for i := range targets {
		if slices.Contains(drained, targets[i].Name) {
			targets[i].Ready = false
		}
	}
	return fastjson.MustParseBytes(wire.AppendEndpointList(nil, targets))
}

// endpointList is an endpoint list in discovery's format and decoded.
type endpointList struct {
	document *fastjson.Value
	version  int64
	targets  []wire.Endpoint
}

func parseEndpoints(text []byte) (*endpointList, error) {
	document, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	return decodeEndpoints(document)
}

func decodeEndpoints(document *fastjson.Value) (*endpointList, error) {
	version, _, targets, err := wire.ParseEndpointList(document)
	if err != nil {
		return nil, err
	}
	return &endpointList{document: document, version: version, targets: targets}, nil
}

// configuredEndpoints decodes the endpoint list of the configuration; one that is left out is an empty list.
func configuredEndpoints(config *Config) (*endpointList, error) {
	if isNull(config.KnownEndpoints) {
		return &endpointList{}, nil
	}
	list, err := decodeEndpoints(config.KnownEndpoints)
	if err != nil {
		return nil, fmt.Errorf("configuration: known: %w", err)
	}
	return list, nil
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
