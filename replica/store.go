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

// Instance is the replica of one proxy.
type Instance struct {
	Dropped int64 // rows that were rejected since the start

	settings   Terms // its Incarnation rises when a row of this name with a later one is refuted
	now        Time  // latest time seen
	random     *rand.Rand
	out        decisionList
	rows       *rowTable
	members    *membership
	heartbeats *heartbeatLog
	sync       *catchUp
	helpLimit  helpLimiter
	quota      *quota
	ownRows    int64 // count of the own rows that were written
	writesSent int64
	yielded    bool // another process of this name speaks for it
	refutedAt  Time
	tickedAt   Time
	expireAt   Time // time of the next expiry
}

// New returns a replica that has no rows and is catching up. It tries to find a sync peer for five seconds at most.
func New(now Time, settings Terms, seed uint64) *Instance {
	s := &Instance{
		settings:   settings,
		now:        now,
		random:     rand.New(rand.NewPCG(seed, randomStream)),
		rows:       newRowTable(),
		heartbeats: &heartbeatLog{lastAt: now - longAgo},
		refutedAt:  now - longAgo,
		tickedAt:   now,
	}
	s.members = newMembership(&s.settings, s.rows)
	s.members.findOrAdd(settings.Me) // or the view of a proxy that does not know this one could pass for its own
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
func (s *Instance) begin(now Time) {
	s.now = max(now, s.now)
	s.out.decisions = s.out.decisions[:0]
}

// Behind reports whether this proxy is catching up.
func (s *Instance) Behind() bool { return s.sync.active }

// Share returns the part of the fleet's limits that this proxy may use, 0 to 1.
func (s *Instance) Share() float64 { return s.quota.share }

// Sums returns the digest of all stored rows.
func (s *Instance) Sums() Sums { return s.rows.digest() }

// Kinds returns the figures on the stored rows by kind.
func (s *Instance) Kinds() map[Kind]Held { return s.rows.figures() }

// Members lists all known proxies by name, this one included.
func (s *Instance) Members() []Member { return s.members.list(s.now) }

// Each calls f with each stored row of a kind, in the same order every time. f must not write rows.
func (s *Instance) Each(kind Kind, f func(Row)) {
	s.rows.forEach(kind, func(row *storedRow) { f(row.aged(s.now)) })
}

// Demand sets the demand of this proxy's clients in requests a second. It should be smoothed over some seconds, so that
// chance moves no quota.
func (s *Instance) Demand(perSecond float64) { s.quota.demand = perSecond }

// Writes sets the number of messages about its writes that this proxy has sent, which its heartbeats report.
func (s *Instance) Writes(count int64) { s.writesSent = count }

// Yield sets whether another process speaks for this proxy's name, since it replaces this one. A proxy that has yielded
// sends no heartbeats and refutes nothing.
func (s *Instance) Yield(yielded bool) { s.yielded = yielded }

// Leave announces the end of this process: by a departure record, or where a successor takes its name, by a last
// heartbeat that says so.
func (s *Instance) Leave(now Time) []Decision {
	s.begin(now)
	if s.yielded {
		s.sendHeartbeat()
	} else {
		s.yielded = true
		s.writeDeparture(s.settings.Me, s.settings.Incarnation)
	}
	return s.out.decisions
}

// Refused reports that a connection to a proxy was refused: the process with that incarnation has ended. Silence alone
// would not tell its end from a network partition.
func (s *Instance) Refused(now Time, name string, incarnation int64) []Decision {
	s.begin(now)
	if found := s.members.byName[name]; found != nil && found.incarnation == incarnation {
		s.writeDeparture(name, incarnation)
	}
	return s.out.decisions
}

func (s *Instance) writeDeparture(name string, incarnation int64) {
	s.writeLocal(Row{Kind: Gone, Key: name, Epoch: incarnation, Life: departureTTL})
}

// tickRule is something that time may bring: what is due, and what is done then.
type tickRule struct {
	due    func(s *Instance) bool
	action func(s *Instance)
}

// tickRules are in order of precedence: after an action they are gone through from the first one again.
var tickRules = []tickRule{
	{due: (*Instance).wasSuspended, action: (*Instance).resume},
	{due: (*Instance).expiryDue, action: (*Instance).expire},
	{due: (*Instance).heartbeatDue, action: (*Instance).sendHeartbeat},
	{due: (*Instance).pollDue, action: (*Instance).pollSyncPeer},
	{due: (*Instance).shareChanged, action: (*Instance).updateShare},
}

// Tick reports that time has passed. It has to be called about ten times a second: after a gap of two seconds the
// process counts as suspended and catches up anew.
func (s *Instance) Tick(now Time) []Decision {
	s.begin(now)
	for s.applyFirstDueRule() {
	}
	s.tickedAt = s.now
	return s.out.decisions
}

func (s *Instance) applyFirstDueRule() bool {
	for i := range tickRules {
		if tickRules[i].due(s) {
			tickRules[i].action(s)
			return true
		}
	}
	return false
}

func (s *Instance) pollDue() bool { return s.sync.pollDue(s.now) }

func (s *Instance) wasSuspended() bool { return s.now-s.tickedAt > suspensionGap }

// resume has the process catch up after it was suspended. After a long suspension its endpoint rows expire: endpoints
// that were removed meanwhile, and whose rows the others may have expired, would come back by them.
func (s *Instance) resume() {
	suspended := s.now - s.tickedAt
	s.out.logf("process was suspended for %.1f s: catching up, quota at its floor until then",
		float64(suspended)/float64(Second))
	if suspended > removedEndpointTTL/2 {
		s.rows.expireKind(Node)
	}
	s.tickedAt = s.now
	s.sync.start(s.now)
}
