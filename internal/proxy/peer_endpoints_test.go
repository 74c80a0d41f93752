package proxy

import (
	"testing"

	"woodproxy/internal/wire"
)

// byName returns a list as a map.
func byName(list []wire.Endpoint) map[string]wire.Endpoint {
	m := map[string]wire.Endpoint{}
	for _, t := range list {
		m[t.Name] = t
	}
	return m
}

// What other proxies tell of endpoints counts where it is further than what this proxy's discovery has told, and it
// undoes no drain that this proxy was told.
func TestPeerEndpointsMerge(t *testing.T) {
	active := func(name string, since int64) wire.Endpoint {
		return wire.Endpoint{Name: name, Address: "here:" + name, Ready: true, StartedAtUnixMilli: since}
	}
	draining := wire.Endpoint{Name: "c1"}
	p := newPeerEndpoints(nil)
	p.newer["c1"] = peerUpdate{9, wire.Endpoint{Name: "c1"}}
	p.newer["c3"] = peerUpdate{9, wire.Endpoint{Name: "c3", Address: "there:c3", Ready: true}}
	p.newer["c4"] = peerUpdate{9, wire.Endpoint{Name: "c4", Departed: true}}
	got := byName(p.merge(5, true, []wire.Endpoint{active("c1", 0), active("c2", 0), active("c4", 0)}))
	if got["c1"].Ready || got["c1"].Address != "here:c1" {
		t.Errorf("an older list undoes a drain that other proxies know of: %+v", got["c1"])
	}
	if !got["c3"].Ready || got["c3"].Address != "there:c3" || !got["c4"].Departed {
		t.Errorf("an older list hides what other proxies know: %+v", got)
	}

	p.merge(6, false, []wire.Endpoint{draining})
	changed, corrections := p.classify(6, []peerUpdate{{12, active("c1", 0)}, {12, active("c2", 7)}})
	if len(changed) != 1 || changed[0].Name != "c2" || len(corrections) > 0 {
		t.Errorf("a drain told here is undone: %+v, corrections %+v", changed, corrections)
	}
	if got := byName(p.merge(12, false, []wire.Endpoint{active("c2", 7)})); got["c2"].StartedAtUnixMilli != 7 || len(p.newer) != 0 {
		t.Errorf("%+v, left over %v", got, p.newer)
	}

	p.merge(13, false, []wire.Endpoint{active("c1", 8)})
	if changed, _ := p.classify(13, []peerUpdate{{14, active("c1", 9)}}); len(changed) != 1 {
		t.Error("an endpoint that this proxy's discovery calls active again drains on")
	}

	// An older update that differs is answered with what this proxy's discovery says by now.
	changed, corrections = p.classify(13, []peerUpdate{{9, draining}, {9, active("c9", 0)}, {9, active("c2", 7)}})
	if len(changed) > 0 || len(corrections) != 2 || !corrections[0].Ready || corrections[0].Name != "c1" ||
		!corrections[1].Departed || corrections[1].Name != "c9" {
		t.Errorf("%+v changed, corrections %+v", changed, corrections)
	}
}
