package replica

import (
	"math/rand/v2"
)

const (
	// suspensionGap is the time between two ticks above which the process is considered to have been suspended.
	suspensionGap = 2 * Second

	// randomStream is the second half of the seed. It makes this random sequence differ from those of other packages.
	randomStream = 3
)

// Store is the replica of one proxy. It is not safe for concurrent use.
type Store struct {
	RejectedRows int64 // rows that were rejected since the start

	settings      Settings // Incarnation may increase when a row of this name is refuted
	now           Time     // latest time seen
	random        *rand.Rand
	out           decisionList
	rows          *rowTable
	members       *membership
	heartbeats    *heartbeatLog
	sync          *catchUp
	digestReplies digestReplyLimiter
	quota         *quota
	ownSequence   int64 // sequence number of the last own row that was written
	writesSent    int64
	yielded       bool // another process acts under this proxy's name, or the departure was announced
	refutedAt     Time
	tickedAt      Time
	nextExpiry    Time // time of the next call of expire
}

// New returns a replica that has no rows and is catching up. Catching up ends after five seconds at the latest.
func New(now Time, settings Settings, seed uint64) *Store {
	s := &Store{
		settings:   settings,
		now:        now,
		random:     rand.New(rand.NewPCG(seed, randomStream)),
		rows:       newRowTable(),
		heartbeats: &heartbeatLog{lastAt: now - longAgo},
		refutedAt:  now - longAgo,
		tickedAt:   now,
	}
	s.members = newMembership(&s.settings, s.rows)
	s.members.findOrAdd(settings.Name) // else the view of a peer without this proxy could equal this proxy's own view
	s.sync = &catchUp{members: s.members, random: s.random, requested: map[uint64]bool{}}
	s.sync.start(now)
	s.quota = &quota{
		settings:   &s.settings,
		members:    s.members,
		sync:       s.sync,
		heartbeats: s.heartbeats,
		random:     s.random,
		startedAt:  now,
		leasedIn:   map[string]lease{},
	}
	s.quota.share = s.quota.floor()
	return s
}

// begin starts the handling of an event: it advances the time and discards the decisions of the last call.
func (s *Store) begin(now Time) {
	s.now = max(now, s.now)
	s.out.decisions = s.out.decisions[:0]
}

// CatchingUp reports whether this proxy is catching up.
func (s *Store) CatchingUp() bool { return s.sync.active }

// QuotaShare returns the fraction of the fleet's limits that this proxy may use, 0 to 1.
func (s *Store) QuotaShare() float64 { return s.quota.share }

// Digest returns the digest of all stored rows.
func (s *Store) Digest() Digest { return s.rows.digest() }

// KindStats returns statistics of the stored rows by kind.
func (s *Store) KindStats() map[Kind]KindStats { return s.rows.kindStats() }

// Members returns all members of the fleet sorted by name, this proxy included.
func (s *Store) Members() []Member { return s.members.list(s.now) }

// SetDemand sets the demand of this proxy's clients in requests per second. The value should be smoothed over a few
// seconds, so that random variation does not cause leases.
func (s *Store) SetDemand(perSecond float64) { s.quota.demand = perSecond }

// SetWritesSent sets the number of messages about its writes that this proxy has sent, which its heartbeats report.
func (s *Store) SetWritesSent(count int64) { s.writesSent = count }

// SetYielded sets whether another process acts under this proxy's name because it replaces this process. A proxy that has
// yielded refutes no rows and sends no heartbeats, except for the last one that AnnounceDeparture sends.
func (s *Store) SetYielded(yielded bool) { s.yielded = yielded }

// AnnounceDeparture announces the end of this process by a departure record. If the proxy has yielded to a successor, it
// sends a last heartbeat with HasSuccessor instead. The process uses no leases from then on, because they may expire after
// the last Tick.
func (s *Store) AnnounceDeparture(now Time) []Decision {
	s.begin(now)
	if s.yielded {
		s.sendHeartbeat()
	} else {
		s.yielded = true
		s.writeDeparture(s.settings.Name, s.settings.Incarnation)
	}
	s.quota.departing = true
	if s.shareChanged() {
		s.updateShare()
	}
	return s.out.decisions
}

// ConnectionRefused handles a refused connection to a proxy, which shows that the process with that incarnation has ended.
// Missing heartbeats alone could also be due to a network partition. Incarnations other than the latest known one are
// ignored.
func (s *Store) ConnectionRefused(now Time, name string, incarnation int64) []Decision {
	s.begin(now)
	if found := s.members.byName[name]; found != nil && found.incarnation == incarnation {
		s.writeDeparture(name, incarnation)
	}
	return s.out.decisions
}

// writeDeparture writes the departure record of a proxy's incarnation.
func (s *Store) writeDeparture(name string, incarnation int64) {
	s.writeLocal(Row{Kind: KindDeparture, Key: name, Epoch: incarnation, TTL: departureTTL})
}

// tickRule is an action that a tick may cause, with the condition under which it is due.
type tickRule struct {
	due    func(s *Store) bool
	action func(s *Store)
}

// tickRules are in order of precedence: after each action they are evaluated again from the first one.
var tickRules = []tickRule{
	{due: (*Store).wasSuspended, action: (*Store).resume},
	{due: (*Store).expiryDue, action: (*Store).expire},
	{due: (*Store).heartbeatDue, action: (*Store).sendHeartbeat},
	{due: (*Store).pollDue, action: (*Store).pollSyncPeer},
	{due: (*Store).shareChanged, action: (*Store).updateShare},
}

// Tick performs all actions that are due. It must be called about ten times per second: after a gap of more than two
// seconds the process is considered to have been suspended and catches up again.
func (s *Store) Tick(now Time) []Decision {
	s.begin(now)
	for s.applyFirstDueRule() {
	}
	s.tickedAt = s.now
	return s.out.decisions
}

// applyFirstDueRule performs the action of the first rule that is due, and reports whether there was one.
func (s *Store) applyFirstDueRule() bool {
	for i := range tickRules {
		if tickRules[i].due(s) {
			tickRules[i].action(s)
			return true
		}
	}
	return false
}

func (s *Store) pollDue() bool { return s.sync.pollDue(s.now) }

func (s *Store) wasSuspended() bool { return s.now-s.tickedAt > suspensionGap }

// resume starts catching up after the process was suspended. After a long suspension it also expires the endpoint rows:
// for endpoints that were removed in the meantime, the other proxies may no longer store the removal, and the rows of
// this proxy would bring those endpoints back.
func (s *Store) resume() {
	suspended := s.now - s.tickedAt
	s.out.logf("process was suspended for %.1f s: catching up, quota at its floor until then",
		float64(suspended)/float64(Second))
	if suspended > removedEndpointTTL/2 {
		s.rows.expireKind(KindEndpoint)
	}
	s.tickedAt = s.now
	s.sync.start(s.now)
}
