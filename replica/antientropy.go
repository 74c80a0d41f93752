package replica

import (
	"fmt"
	"math/rand/v2"
)

const (
	maxVersionsSent  = 8192 // in one answer to a digest; what is left differs in the next digest
	maxRowsPerSend   = 64   // in one message
	maxRowsRequested = 8192 // in one message

	syncReplyTimeout  = Second / 4 // of a sync peer, before another is polled
	noPeerSyncTimeout = 2 * Second // catching up ends after this time if no peer is live
	syncTimeout       = 5 * Second // and after this time in any case

	maxDigestReplies    = 4 // digests that differ are answered this often in a helpInterval; others get a busy reply
	digestReplyInterval = Second / 2
)

// catchUp is the state of a proxy that fetches what it missed, while it was down or suspended, from a sync peer.
type catchUp struct {
	members          *membership
	random           *rand.Rand
	active           bool
	since            Time
	peer             string // the sync peer that was polled; "" if none was
	polledAt         Time
	versionsReceived bool            // the sync peer has sent its versions
	requested        map[uint64]bool // IDs of rows that the sync peer was asked for and has not sent
}

// start begins to catch up; a sync peer may be polled at once.
func (c *catchUp) start(now Time) {
	c.active, c.since = true, now
	c.peer = ""
	c.allowPoll(now)
}

func (c *catchUp) finish() {
	c.active, c.peer, c.versionsReceived = false, "", false
	clear(c.requested)
}

// allowPoll lets the next sync peer be polled without waiting for the reply of the last one.
func (c *catchUp) allowPoll(now Time) { c.polledAt = now - syncReplyTimeout }

// pollDue reports whether a sync peer has to be polled.
func (c *catchUp) pollDue(now Time) bool { return c.active && now-c.polledAt >= syncReplyTimeout }

// syncingWith reports whether the proxy is catching up from a peer.
func (c *catchUp) syncingWith(peer string) bool { return c.active && peer == c.peer }

// complete reports whether the sync peer has sent all rows that it was asked for.
func (c *catchUp) complete() bool { return c.versionsReceived && len(c.requested) == 0 }

// expectRows notes the rows that the sync peer was asked for.
func (c *catchUp) expectRows(now Time, ids []uint64) {
	clear(c.requested)
	for _, id := range ids {
		c.requested[id] = true
	}
	c.polledAt, c.versionsReceived = now, true
}

// syncPeers are the live peers that may be polled: those that are not catching up themselves, or if all are, all. No
// cycle of proxies that wait for each other lasts, since each poll has a timeout.
type syncPeers struct {
	preferred []*member
	live      int
}

func (c *catchUp) syncPeers(now Time) syncPeers {
	var live, inSync []*member
	for _, other := range c.members.all {
		if c.members.isSelf(other) || !c.members.live(other, now) {
			continue
		}
		live = append(live, other)
		if !other.report.CatchingUp {
			inSync = append(inSync, other)
		}
	}
	if len(inSync) == 0 {
		return syncPeers{preferred: live, live: len(live)}
	}
	return syncPeers{preferred: inSync, live: len(live)}
}

// timedOut reports whether to go on with the rows that there are.
func (c *catchUp) timedOut(now Time, livePeers int) bool {
	elapsed := now - c.since
	return elapsed >= syncTimeout || elapsed >= noPeerSyncTimeout && livePeers == 0
}

// choosePeer picks one of the peers at random as the sync peer. It returns false if there is none; the next tick tries
// again.
func (c *catchUp) choosePeer(now Time, peers []*member) bool {
	c.versionsReceived = false
	if len(peers) == 0 {
		c.polledAt = now - syncReplyTimeout + 1 // due at the next tick, and not once more in this one
		return false
	}
	c.polledAt = now
	c.peer = peers[c.random.IntN(len(peers))].name
	clear(c.requested)
	return true
}

// digestReplyLimiter limits how many peers are helped to catch up at a time: when a whole fleet restarts, its proxies poll all
// of the others and not one.
type digestReplyLimiter struct {
	intervalStart Time
	count         int
}

func (l *digestReplyLimiter) allow(now Time) bool {
	if now-l.intervalStart > digestReplyInterval {
		l.intervalStart, l.count = now, 0
	}
	l.count++
	return l.count <= maxDigestReplies
}

// HandleDigest handles a peer's digest. The reply has the versions of the rows in the buckets that differ, unless too many
// peers were helped lately.
func (s *Store) HandleDigest(now Time, from string, digest Digest) []Decision {
	s.begin(now)
	differing, versions := s.rows.differingVersions(&digest)
	switch {
	case differing == 0:
		s.out.add(Decision{Action: ActionReplyInSync, Peer: from})
	case !s.digestReplies.allow(s.now):
		s.out.add(Decision{Action: ActionReplyBusy, Peer: from})
	default:
		s.out.add(Decision{Action: ActionSendVersions, Peer: from, Buckets: differing, Versions: versions})
	}
	return s.out.decisions
}

// HandleVersions handles the versions that a peer has stored in the buckets of a bit mask. Rows that it lacks or has in another
// version are sent to it, and the reverse is requested: a hash does not tell which of two versions is newer, so that
// both are sent and the older one is dropped by whoever receives it.
func (s *Store) HandleVersions(now Time, from string, buckets uint64, versions []RowVersion) []Decision {
	s.begin(now)
	theirs := make(map[uint64]uint64, len(versions))
	var request []uint64
	for _, version := range versions {
		theirs[version.RowID] = version.VersionHash
		stored := s.rows.byID[version.RowID]
		if (stored == nil || stored.version != version.VersionHash) && len(request) < maxRowsRequested {
			request = append(request, version.RowID)
		}
	}
	s.sendRows(from, s.rows.missingFrom(buckets, theirs, s.now))
	syncing := s.sync.syncingWith(from)
	if syncing {
		s.sync.expectRows(now, request)
	}
	if len(request) > 0 {
		s.out.add(Decision{Action: ActionRequestRows, Peer: from, RowIDs: request})
	} else if syncing {
		s.finishCatchUp("synced from " + from)
	}
	return s.out.decisions
}

// sendRows sends rows to a peer, as many messages as it takes.
func (s *Store) sendRows(to string, rows []Row) {
	for len(rows) > 0 {
		count := min(len(rows), maxRowsPerSend)
		s.out.add(Decision{Action: ActionSendRows, Peer: to, Rows: rows[:count]})
		rows = rows[count:]
	}
}

// HandleRowRequest handles a peer's request for rows.
func (s *Store) HandleRowRequest(now Time, from string, ids []uint64) []Decision {
	s.begin(now)
	var rows []Row
	for _, id := range ids[:min(len(ids), maxRowsRequested)] {
		if stored := s.rows.byID[id]; stored != nil {
			rows = append(rows, stored.aged(s.now))
		}
	}
	s.sendRows(from, rows)
	return s.out.decisions
}

// HandleInSync handles a peer's reply that both are in sync.
func (s *Store) HandleInSync(now Time, from string) []Decision {
	s.begin(now)
	if s.sync.syncingWith(from) {
		s.finishCatchUp("already in sync with " + from)
	}
	return s.out.decisions
}

// HandleBusy handles a peer's reply that it helps too many others; the next tick polls another.
func (s *Store) HandleBusy(now Time, from string) []Decision {
	s.begin(now)
	if from == s.sync.peer {
		s.sync.allowPoll(s.now)
	}
	return s.out.decisions
}

// pollSyncPeer sends the digest to a sync peer, or gives up catching up.
func (s *Store) pollSyncPeer() {
	peers := s.sync.syncPeers(s.now)
	if s.sync.timedOut(s.now, peers.live) {
		elapsed := float64(s.now-s.sync.since) / float64(Second)
		s.finishCatchUp(fmt.Sprintf("timed out after %.1f s with %d live peers", elapsed, peers.live))
		return
	}
	if s.sync.choosePeer(s.now, peers.preferred) {
		s.out.add(Decision{Action: ActionSendDigest, Peer: s.sync.peer, Digest: s.rows.digest()})
	}
}

func (s *Store) finishCatchUp(how string) {
	s.sync.finish()
	s.out.logf("caught up, %s: %d rows of %d proxies", how, s.rows.size(), len(s.members.all))
	if !s.yielded {
		s.sendHeartbeat()
	}
}
