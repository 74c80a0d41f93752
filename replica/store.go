package replica

import (
	"math/rand/v2"
)

const (
	// suspensionGap is the time between two ticks from which on the process counts as suspended in between.
	suspensionGap = 2 * Second

	// randomStream is the second half of the seed, which sets this random sequence apart from those of other packages.
	randomStream = 3
)

// Store is the replica of one proxy.
type Store struct {
	RejectedRows int64 // rows that were rejected since the start

	settings      Settings // its Incarnation rises when a row of this name with a later one is refuted
	now           Time     // latest time seen
	random        *rand.Rand
	out           decisionList
	rows          *rowTable
	members       *membership
	heartbeats    *heartbeatLog
	sync          *catchUp
	digestReplies digestReplyLimiter
	quota         *quota
	ownSequence   int64 // count of the own rows that were written
	writesSent    int64
	yielded       bool // another process of this name speaks for it
	refutedAt     Time
	tickedAt      Time
	nextExpiry    Time // time of the next expiry
}

// New returns a replica that has no rows and is catching up. It tries to find a sync peer for five seconds at most.
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
	s.members.findOrAdd(settings.Name) // or the view of a proxy that does not know this one could pass for its own
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

// begin starts a call: the decisions of the last one are dropped.
func (s *Store) begin(now Time) {
	s.now = max(now, s.now)
	s.out.decisions = s.out.decisions[:0]
}

// CatchingUp reports whether this proxy is catching up.
func (s *Store) CatchingUp() bool { return s.sync.active }

// QuotaShare returns the part of the fleet's limits that this proxy may use, 0 to 1.
func (s *Store) QuotaShare() float64 { return s.quota.share }

// Digest returns the digest of all stored rows.
func (s *Store) Digest() Digest { return s.rows.digest() }

// KindStats returns the figures on the stored rows by kind.
func (s *Store) KindStats() map[Kind]KindStats { return s.rows.kindStats() }

// Members lists all known proxies by name, this one included.
func (s *Store) Members() []Member { return s.members.list(s.now) }

// SetDemand sets the demand of this proxy's clients in requests a second. It should be smoothed over some seconds, so that
// chance moves no quota.
func (s *Store) SetDemand(perSecond float64) { s.quota.demand = perSecond }

// SetWritesSent sets the number of messages about its writes that this proxy has sent, which its heartbeats report.
func (s *Store) SetWritesSent(count int64) { s.writesSent = count }

// SetYielded sets whether another process speaks for this proxy's name, since it replaces this one. A proxy that has yielded
// sends no heartbeats and refutes nothing.
func (s *Store) SetYielded(yielded bool) { s.yielded = yielded }

// AnnounceDeparture announces the end of this process: by a departure record, or where a successor takes its name, by a last
// heartbeat that says so.
func (s *Store) AnnounceDeparture(now Time) []Decision {
	s.begin(now)
	if s.yielded {
		s.sendHeartbeat()
	} else {
		s.yielded = true
		s.writeDeparture(s.settings.Name, s.settings.Incarnation)
	}
	return s.out.decisions
}

// ConnectionRefused reports that a connection to a proxy was refused: the process with that incarnation has ended. Silence alone
// would not tell its end from a network partition.
func (s *Store) ConnectionRefused(now Time, name string, incarnation int64) []Decision {
	s.begin(now)
	if found := s.members.byName[name]; found != nil && found.incarnation == incarnation {
		s.writeDeparture(name, incarnation)
	}
	return s.out.decisions
}

func (s *Store) writeDeparture(name string, incarnation int64) {
	s.writeLocal(Row{Kind: KindDeparture, Key: name, Epoch: incarnation, TTL: departureTTL})
}

// tickRule is something that time may bring: what is due, and what is done then.
type tickRule struct {
	due    func(s *Store) bool
	action func(s *Store)
}

// tickRules are in order of precedence: after an action they are gone through from the first one again.
var tickRules = []tickRule{
	{due: (*Store).wasSuspended, action: (*Store).resume},
	{due: (*Store).expiryDue, action: (*Store).expire},
	{due: (*Store).heartbeatDue, action: (*Store).sendHeartbeat},
	{due: (*Store).pollDue, action: (*Store).pollSyncPeer},
	{due: (*Store).shareChanged, action: (*Store).updateShare},
}

// Tick reports that time has passed. It has to be called about ten times a second: after a gap of two seconds the
// process counts as suspended and catches up anew.
func (s *Store) Tick(now Time) []Decision {
	s.begin(now)
	for s.applyFirstDueRule() {
	}
	s.tickedAt = s.now
	return s.out.decisions
}

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

// resume has the process catch up after it was suspended. After a long suspension its endpoint rows expire: endpoints
// that were removed meanwhile, and whose rows the others may have expired, would come back by them.
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
