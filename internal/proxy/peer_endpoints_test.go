package proxy

import (
	"testing"

	"woodproxy/internal/wire"
)

// What peers tell of nodes stands where it is further than what this proxy's discovery told, and no drain that this one was
// told is undone by it.
func TestPeerEndpointsMerge(t *testing.T) {
	active := func(name string, since int64) wire.Target {
		return wire.Target{Name: name, Address: "here:" + name, Ready: true, Since: since}
	}
	draining := wire.Target{Name: "c1"}
	peers := newPeerEndpoints(nil)
	state := func(list []wire.Target) map[string]wire.Target {
		m := map[string]wire.Target{}
		for _, t := range list {
			m[t.Name] = t
		}
		return m
	}
	peers.newer["c1"] = peerUpdate{9, wire.Target{Name: "c1"}}
	peers.newer["c3"] = peerUpdate{9, wire.Target{Name: "c3", Address: "there:c3", Ready: true}}
	peers.newer["c4"] = peerUpdate{9, wire.Target{Name: "c4", Gone: true}}
	got := state(peers.merge(5, true, []wire.Target{active("c1", 0), active("c2", 0), active("c4", 0)}))
	if got["c1"].Ready || got["c1"].Address != "here:c1" {
		t.Errorf("an older list undoes a drain that peers know of: %+v", got["c1"])
	}
	if !got["c3"].Ready || got["c3"].Address != "there:c3" || !got["c4"].Gone {
		t.Errorf("an older list hides what peers know: %+v", got)
	}
	peers.merge(6, false, []wire.Target{draining})
	if list, again := peers.classify(6, []peerUpdate{{12, active("c1", 0)}, {12, active("c2", 7)}}); len(list) != 1 || list[0].Name != "c2" || len(again) > 0 {
		t.Errorf("a drain told here is undone: %+v, told again %+v", list, again)
	}
	if got := state(peers.merge(12, false, []wire.Target{active("c2", 7)})); got["c2"].Since != 7 || len(peers.newer) != 0 {
		t.Errorf("%+v, left over %v", got, peers.newer)
	}
	peers.merge(13, false, []wire.Target{active("c1", 8)})
	if list, _ := peers.classify(13, []peerUpdate{{14, active("c1", 9)}}); len(list) != 1 {
		t.Error("a node that this proxy's discovery calls active again drains on")
	}
	// an older line that says otherwise is answered with what this proxy's discovery says by now
	list, again := peers.classify(13, []peerUpdate{{9, draining}, {9, active("c9", 0)}, {9, active("c2", 7)}})
	if len(list) > 0 || len(again) != 2 || !again[0].Ready || again[0].Name != "c1" || !again[1].Gone || again[1].Name != "c9" {
		t.Errorf("%+v is news, %+v told again", list, again)
	}
}
