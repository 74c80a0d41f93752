package replica

import (
	"github.com/vmihailenco/msgpack/v5"

	"woodproxy/internal/rowcodec"
)

const (
	// The interval between two heartbeats of a proxy is minHeartbeatInterval plus heartbeatSpacing for each proxy of the
	// fleet, so that a proxy receives at most a hundred heartbeats per second.
	minHeartbeatInterval = Second
	heartbeatSpacing     = Second / 100

	// heartbeatTTL is the time to live of a heartbeat in heartbeat intervals.
	heartbeatTTL = 10

	// longAgo is a duration longer than any interval of this package: an action last done that long ago is due.
	longAgo = 1000 * Second

	// overcommittedView replaces the view hash in the heartbeats of a proxy that has leased out more than its share. No
	// proxy's view has this hash, so the heartbeat acknowledges no incarnation, and no proxy confirms its quota because of
	// it.
	overcommittedView = 1
)

// Heartbeat is the body of a heartbeat row: the state that a proxy reports about itself.
type Heartbeat struct {
	Address      string       `msgpack:"a"` // host:port at which peers reach the proxy
	Zone         string       `msgpack:"z,omitempty"`
	Demand       float64      `msgpack:"d"`           // requests per second from its clients
	ViewHash     uint64       `msgpack:"v"`           // hash of its members, their incarnations, and which have departed
	CatchingUp   bool         `msgpack:"b"`           // whether it is catching up
	BaseQuota    float64      `msgpack:"s"`           // its quota before leases as a fraction of the fleet's limits, 0 to 1
	Leases       []QuotaLease `msgpack:"l,omitempty"` // leases that it grants to other proxies
	WritesSent   int64        `msgpack:"o,omitempty"` // number of messages about its writes that it has sent
	HasSuccessor bool         `msgpack:"h,omitempty"` // whether the process is ending and a successor takes its name
}

// valid reports whether the numbers in a heartbeat are within their bounds.
func (h *Heartbeat) valid() bool {
	return h.Demand >= 0 && h.Demand < 1e9 && h.BaseQuota >= 0 && h.BaseQuota <= 1
}

// sentHeartbeat identifies a heartbeat of this proxy and holds the time at which it was written.
type sentHeartbeat struct {
	sequence    int64
	incarnation int64
	at          Time
}

// heartbeatLog records the latest heartbeats of this proxy. Leases granted by other proxies refer to them.
type heartbeatLog struct {
	lastAt Time
	recent [16]sentHeartbeat // newest first
}

// record adds a heartbeat and drops the oldest one.
func (l *heartbeatLog) record(sent sentHeartbeat) {
	copy(l.recent[1:], l.recent[:len(l.recent)-1])
	l.recent[0] = sent
}

// find returns the heartbeat with a sequence number and incarnation, and whether it is still recorded.
func (l *heartbeatLog) find(sequence, incarnation int64) (sentHeartbeat, bool) {
	for _, sent := range l.recent {
		if sent.sequence == sequence && sent.incarnation == incarnation {
			return sent, true
		}
	}
	return sentHeartbeat{}, false
}

func (s *Store) heartbeatDue() bool {
	return !s.yielded && s.now-s.heartbeats.lastAt >= s.members.heartbeatInterval()
}

// sendHeartbeat gossips a heartbeat. It also sends the digest to one random live peer, to repair what gossip has lost.
func (s *Store) sendHeartbeat() {
	s.heartbeats.lastAt = s.now
	heartbeat := Heartbeat{
		Address:      s.settings.Address,
		Zone:         s.settings.Zone,
		Demand:       s.quota.demand,
		ViewHash:     s.members.viewHash(),
		CatchingUp:   s.sync.active,
		BaseQuota:    s.quota.base(),
		Leases:       s.quota.grantLeases(s.now),
		WritesSent:   s.writesSent,
		HasSuccessor: s.yielded,
	}
	if s.quota.overcommitted(s.now) {
		heartbeat.ViewHash = overcommittedView
	}
	body, err := msgpack.Marshal(&heartbeat)
	if err != nil {
		panic(err) // never happens: all fields have types that can always be encoded
	}
	s.heartbeats.record(sentHeartbeat{sequence: s.ownSequence + 1, incarnation: s.settings.Incarnation, at: s.now})
	s.writeOwn(Row{
		Kind: KindHeartbeat, Key: s.settings.Name, TTL: heartbeatTTL * s.members.heartbeatInterval(), Body: body,
	})
	s.sendRandomDigest()
}

// sendRandomDigest sends the digest to a random member, if that is a live peer and this proxy is not catching up.
func (s *Store) sendRandomDigest() {
	count := len(s.members.all)
	if count <= 1 || s.sync.active {
		return
	}
	peer := s.members.all[s.random.IntN(count)]
	if s.members.live(peer, s.now) && !s.members.isSelf(peer) {
		s.out.add(Decision{Action: ActionSendDigest, Peer: peer.name, Digest: s.rows.digest()})
	}
}

// handleHeartbeat updates members and quota leases from a heartbeat that was just stored, of this proxy or of another
// one. A malformed heartbeat is counted as rejected.
func (s *Store) handleHeartbeat(heartbeat *storedRow) {
	sender := s.members.findOrAdd(heartbeat.Key)
	if sender == nil {
		return
	}
	var report Heartbeat
	if err := rowcodec.Decode(heartbeat.Body, &report); err != nil || !report.valid() {
		s.RejectedRows++
		return
	}
	s.members.recordHeartbeat(sender, heartbeat, &report)
	s.quota.acceptLease(sender)
}
