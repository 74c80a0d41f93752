package simadapter

import (
	"fmt"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// instance is a running balancer with the mapping between its indices and the simulator's names.
type instance struct {
	balancer *balancer.Balancer
	settings *settings.Settings
	nodes    nodeTable
	requests requestTable
	timer    int64 // number of the latest timer; earlier timers are ignored when they fire
	hasList  bool  // whether an endpoint list has been received
}

// nodeTable assigns each endpoint an index, which stays the same as long as the instance runs.
type nodeTable struct {
	byName     map[string]int
	byPeerCode map[string]int
	names      []string // by index
}

// index returns the index of an endpoint, and assigns a new index to an unknown endpoint.
func (t *nodeTable) index(name string) int {
	index, ok := t.byName[name]
	if !ok {
		index = len(t.names)
		t.byName[name] = index
		t.byPeerCode[peerCode(name)] = index
		t.names = append(t.names, name)
	}
	return index
}

// requestSlot holds the state of the request at an index. The slot is reused once the request has finished and none of
// its attempts is in flight.
type requestSlot struct {
	id       string // the simulator's name of the request; empty if the slot is free
	inFlight int    // number of attempts in flight
	finished bool   // whether the client has a reply or is gone
}

// requestTable assigns an index to each open request.
type requestTable struct {
	byID  map[string]int
	slots []requestSlot // by index
	free  []int         // indices of free slots; the most recently freed one is used first
}

// open assigns an index to a new request and returns it.
func (t *requestTable) open(id string) int {
	index := len(t.slots)
	if n := len(t.free); n > 0 {
		index, t.free = t.free[n-1], t.free[:n-1]
		t.slots[index] = requestSlot{id: id}
	} else {
		t.slots = append(t.slots, requestSlot{id: id})
	}
	t.byID[id] = index
	return index
}

// releaseIfDone frees the slot of a request that has finished and has no attempts in flight.
func (t *requestTable) releaseIfDone(index int) {
	slot := &t.slots[index]
	if slot.finished && slot.inFlight == 0 && slot.id != "" {
		delete(t.byID, slot.id)
		slot.id = ""
		t.free = append(t.free, index)
	}
}

// start starts an instance with the settings in the message. It replaces a running instance of the same number, whose
// state is discarded.
func (a *adapter) start(_ *instance, m *message) []balancer.Decision {
	salt := readSalt(m)
	object := m.at(2)
	if object == nil || object.Type() != fastjson.TypeObject {
		m.fail("setup", errWrongSettings)
		return nil
	}
	s, err := settings.Read(object)
	if err != nil && m.err == nil {
		m.err = fmt.Errorf("%s: %w", m.name, err)
	}
	if m.err != nil {
		return nil
	}
	a.instances[m.instance] = &instance{
		balancer: balancer.New(a.now, s.Balancer, salt),
		settings: s,
		nodes:    nodeTable{byName: map[string]int{}, byPeerCode: map[string]int{}},
		requests: requestTable{byID: map[string]int{}},
	}
	return nil
}

// readSalt reads the seed of the balancer's random number generator. A non-negative integer is used with all its 64
// bits; a negative or fractional number is truncated to an integer.
func readSalt(m *message) uint64 {
	number := m.number(1, "salt", jsonvalue.Required)
	if m.err != nil {
		return 0
	}
	if salt, err := m.at(1).Uint64(); err == nil {
		return salt
	}
	return uint64(int64(number))
}

// stop ends an instance immediately and discards its state.
func (a *adapter) stop(_ *instance, m *message) []balancer.Decision {
	delete(a.instances, m.instance)
	return nil
}
