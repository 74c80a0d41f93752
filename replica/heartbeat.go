package replica

import (
	"github.com/vmihailenco/msgpack/v5"

	"woodproxy/internal/rowcodec"
)

const (
	// A proxy sends a heartbeat every minHeartbeatInterval, and heartbeatSpacing later for each proxy of the fleet, so
	// that no more than a hundred heartbeats a second arrive.
	minHeartbeatInterval = Second
	heartbeatSpacing     = Second / 100

	// heartbeatTTL is the time to live of a heartbeat in heartbeat intervals.
	heartbeatTTL = 10

	// longAgo is a span after which anything that is done at intervals is due.
	longAgo = 1000 * Second

	// overcommittedView is sent in place of the view hash by a proxy that has leased out more than its share. Nobody's
	// view has this hash, so that the heartbeat acknowledges no incarnation and no proxy confirms its quota by it.
	overcommittedView = 1
)

// Heartbeat is the body of a heartbeat row.
type Heartbeat struct {
	Address      string       `msgpack:"a"` // host:port at which peers reach the proxy
	Zone         string       `msgpack:"z,omitempty"`
	Demand       float64      `msgpack:"d"` // requests a second from its clients
	ViewHash     uint64       `msgpack:"v"` // hash of the proxies that it knows, their incarnations, and which have departed
	CatchingUp   bool         `msgpack:"b"` // it is catching up
	BaseQuota    float64      `msgpack:"s"` // its quota before leases, 0 to 1
	Leases       []QuotaLease `msgpack:"l,omitempty"`
	WritesSent   int64        `msgpack:"o,omitempty"` // messages about its writes that it has sent
	HasSuccessor bool         `msgpack:"h,omitempty"` // the process is ending, and a successor takes its name
}

// valid reports whether the figures of a heartbeat are within their bounds.
func (h *Heartbeat) valid() bool {
	return h.Demand >= 0 && h.Demand < 1e9 && h.BaseQuota >= 0 && h.BaseQuota <= 1
}

// sentHeartbeat identifies a heartbeat of this proxy, and says when it was written.
type sentHeartbeat struct {
	sequence    int64
	incarnation int64
	at          Time
}

// heartbeatLog knows the latest heartbeats of this proxy, which the leases of other proxies refer to.
type heartbeatLog struct {
	lastAt Time
	recent [16]sentHeartbeat // the newest first
}

func (l *heartbeatLog) record(sent sentHeartbeat) {
	copy(l.recent[1:], l.recent[:len(l.recent)-1])
	l.recent[0] = sent
}

// find returns the heartbeat of an incarnation by its count.
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

// sendHeartbeat gossips a heartbeat, and sends the digest to one live peer, which finds what gossip has lost.
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
		panic(err) // all fields are plain values, which can always be encoded
	}
	s.heartbeats.record(sentHeartbeat{sequence: s.ownSequence + 1, incarnation: s.settings.Incarnation, at: s.now})
	s.writeOwn(Row{
		Kind: KindHeartbeat, Key: s.settings.Name, TTL: heartbeatTTL * s.members.heartbeatInterval(), Body: body,
	})
	s.sendRandomDigest()
}

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

// handleHeartbeat takes a heartbeat that was just stored: this proxy's own, or another's.
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
