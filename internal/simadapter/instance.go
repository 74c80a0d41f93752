package simadapter

import (
	"fmt"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// instance is a running balancer with the names behind its indices.
type instance struct {
	balancer *balancer.Balancer
	settings *settings.Settings
	nodes    nodeTable
	requests requestTable
	timer    int64 // number of the timer that was set last; earlier ones are void
	hasList  bool  // an endpoint list has been received
}

// nodeTable gives each endpoint an index, which it keeps as long as the instance runs.
type nodeTable struct {
	byName     map[string]int
	byPeerCode map[string]int
	names      []string // by index
}

// index returns the index of an endpoint, a new one where it had none.
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

// requestSlot holds what is known of the request at an index. It is reused once the request is over and none of its
// attempts is in flight.
type requestSlot struct {
	id       string // the simulator's name; "": the slot is free
	inFlight int    // attempts
	over     bool
}

// requestTable gives each open request an index.
type requestTable struct {
	byID  map[string]int
	slots []requestSlot // by index
	free  []int         // indices of free slots; the one freed last is used first
}

// open returns the index of a new request.
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

// releaseIfDone frees the slot of a request for which nothing more can be received.
func (t *requestTable) releaseIfDone(index int) {
	slot := &t.slots[index]
	if slot.over && slot.inFlight == 0 && slot.id != "" {
		delete(t.byID, slot.id)
		slot.id = ""
		t.free = append(t.free, index)
	}
}

// start starts an instance with its settings, in place of a running one of that number. It has no state of an earlier
// one.
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

// readSalt reads the seed of the balancer's random numbers. All 64 bits of a natural number count; another one is
// rounded.
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

// stop ends an instance at once. Nothing of it is kept.
func (a *adapter) stop(_ *instance, m *message) []balancer.Decision {
	delete(a.instances, m.instance)
	return nil
}
