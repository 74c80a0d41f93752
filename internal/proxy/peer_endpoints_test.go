package proxy

import (
	"testing"

	"woodproxy/internal/wire"
)

// byName returns a list as a map by name.
func byName(list []wire.Endpoint) map[string]wire.Endpoint {
	m := map[string]wire.Endpoint{}
	for _, endpoint := range list {
		m[endpoint.Name] = endpoint
	}
	return m
}

// Endpoints from other proxies are used if their index is later than that of this proxy's discovery. They do not undo a
// drain that this proxy's discovery has reported.
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
		t.Errorf("an older list undoes a drain that another proxy has reported: %+v", got["c1"])
	}
	if !got["c3"].Ready || got["c3"].Address != "there:c3" || !got["c4"].Departed {
		t.Errorf("an older list hides later endpoints of other proxies: %+v", got)
	}

	p.merge(6, false, []wire.Endpoint{draining})
	changed, corrections := p.classify(6, []peerUpdate{{12, active("c1", 0)}, {12, active("c2", 7)}})
	if len(changed) != 1 || changed[0].Name != "c2" || len(corrections) > 0 {
		t.Errorf("got changed %+v and corrections %+v, want only c2 changed", changed, corrections)
	}
	if got := byName(p.merge(12, false, []wire.Endpoint{active("c2", 7)})); got["c2"].StartedAtUnixMilli != 7 || len(p.newer) != 0 {
		t.Errorf("got %+v, newer %v, want the start of c2 to be 7 and nothing newer", got, p.newer)
	}

	p.merge(13, false, []wire.Endpoint{active("c1", 8)})
	if changed, _ := p.classify(13, []peerUpdate{{14, active("c1", 9)}}); len(changed) != 1 {
		t.Error("an endpoint still drains although this proxy's discovery reports it as active again")
	}

	// An older update that differs is corrected with the state of this proxy's discovery.
	changed, corrections = p.classify(13, []peerUpdate{{9, draining}, {9, active("c9", 0)}, {9, active("c2", 7)}})
	if len(changed) > 0 || len(corrections) != 2 || !corrections[0].Ready || corrections[0].Name != "c1" ||
		!corrections[1].Departed || corrections[1].Name != "c9" {
		t.Errorf("got changed %+v and corrections %+v, want corrections of c1 and c9 only", changed, corrections)
	}
}
