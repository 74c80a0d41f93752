package replica

import (
	"fmt"
	"math/rand/v2"
)

const (
	maxVersionsSent  = 8192 // maximum in one reply to a digest; further ones differ again in the next digest
	maxRowsPerSend   = 64   // maximum in one message
	maxRowsRequested = 8192 // maximum in one message

	syncReplyTimeout  = Second / 4 // time to wait for the reply of a sync peer before another one is polled
	noPeerSyncTimeout = 2 * Second // duration of catching up if no peer is live
	syncTimeout       = 5 * Second // maximum duration of catching up

	// maxDigestReplies is the maximum number of replies with row versions in a digestReplyInterval. Further digests that
	// differ get a busy reply.
	maxDigestReplies    = 4
	digestReplyInterval = Second / 2
)

// catchUp is the state of fetching from a sync peer the rows that the proxy missed while it was down or suspended.
type catchUp struct {
	members          *membership
	random           *rand.Rand
	active           bool
	since            Time
	peer             string // name of the polled sync peer; "" if none was polled
	polledAt         Time
	versionsReceived bool            // the sync peer has sent its versions
	requested        map[uint64]bool // IDs of rows that were requested from the sync peer and not yet received
}

// start starts catching up. A sync peer may be polled at once.
func (c *catchUp) start(now Time) {
	c.active, c.since = true, now
	c.peer = ""
	c.allowPoll(now)
}

// finish ends catching up and clears the state of the sync peer.
func (c *catchUp) finish() {
	c.active, c.peer, c.versionsReceived = false, "", false
	clear(c.requested)
}

// allowPoll allows the next sync peer to be polled without waiting for the reply of the last one.
func (c *catchUp) allowPoll(now Time) { c.polledAt = now - syncReplyTimeout }

// pollDue reports whether the next sync peer must be polled.
func (c *catchUp) pollDue(now Time) bool { return c.active && now-c.polledAt >= syncReplyTimeout }

// syncingWith reports whether the proxy is catching up from the given peer.
func (c *catchUp) syncingWith(peer string) bool { return c.active && peer == c.peer }

// complete reports whether the sync peer has sent its versions and all rows that were requested from it.
func (c *catchUp) complete() bool { return c.versionsReceived && len(c.requested) == 0 }

// expectRows records the IDs of the rows that are requested from the sync peer, whose versions have been received.
func (c *catchUp) expectRows(now Time, ids []uint64) {
	clear(c.requested)
	for _, id := range ids {
		c.requested[id] = true
	}
	c.polledAt, c.versionsReceived = now, true
}

// syncPeers holds the peers that may be polled and the number of live peers. Live peers that are not catching up
// themselves are preferred; if all of them are catching up, any may be polled. Proxies that poll each other in a cycle
// do not block each other for good, since each poll has a timeout.
type syncPeers struct {
	preferred []*member
	live      int
}

// syncPeers returns the peers that may be polled at time now.
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

// timedOut reports whether to stop catching up and continue with the rows received so far.
func (c *catchUp) timedOut(now Time, livePeers int) bool {
	elapsed := now - c.since
	return elapsed >= syncTimeout || elapsed >= noPeerSyncTimeout && livePeers == 0
}

// choosePeer selects one of the peers at random as the sync peer. It returns false if there are none; the next tick then
// tries again.
func (c *catchUp) choosePeer(now Time, peers []*member) bool {
	c.versionsReceived = false
	if len(peers) == 0 {
		c.polledAt = now - syncReplyTimeout + 1 // due at the next tick, but not again in this one
		return false
	}
	c.polledAt = now
	c.peer = peers[c.random.IntN(len(peers))].name
	clear(c.requested)
	return true
}

// digestReplyLimiter limits the number of replies with row versions per digestReplyInterval. When a whole fleet restarts,
// the limit spreads the polls of its proxies over all peers instead of a single one.
type digestReplyLimiter struct {
	intervalStart Time
	count         int
}

// allow reports whether one more reply with row versions may be sent at time now.
func (l *digestReplyLimiter) allow(now Time) bool {
	if now-l.intervalStart > digestReplyInterval {
		l.intervalStart, l.count = now, 0
	}
	l.count++
	return l.count <= maxDigestReplies
}

// HandleDigest handles the digest of a peer. The reply contains the versions of the rows in the buckets that differ. It
// is a busy reply if too many such replies were sent recently.
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

// HandleVersions handles the versions that a peer has stored in the buckets of a bit mask. Rows that the peer lacks or
// has in another version are sent to it, and rows that this proxy lacks or has in another version are requested. The
// hashes do not show which of two versions is newer, so both are sent, and the receiver of the older one drops it.
func (s *Store) HandleVersions(now Time, from string, buckets uint64, versions []RowVersion) []Decision {
	s.begin(now)
	peerVersions := make(map[uint64]uint64, len(versions))
	var request []uint64
	for _, version := range versions {
		peerVersions[version.RowID] = version.VersionHash
		stored := s.rows.byID[version.RowID]
		if (stored == nil || stored.version != version.VersionHash) && len(request) < maxRowsRequested {
			request = append(request, version.RowID)
		}
	}
	s.sendRows(from, s.rows.missingFrom(buckets, peerVersions, s.now))
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

// sendRows sends rows to a peer, in several messages if there are more than maxRowsPerSend.
func (s *Store) sendRows(to string, rows []Row) {
	for len(rows) > 0 {
		count := min(len(rows), maxRowsPerSend)
		s.out.add(Decision{Action: ActionSendRows, Peer: to, Rows: rows[:count]})
		rows = rows[count:]
	}
}

// HandleRowRequest handles a peer's request for rows by their IDs. IDs of rows that are not stored are ignored.
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

// HandleInSync handles a peer's reply that both proxies are in sync.
func (s *Store) HandleInSync(now Time, from string) []Decision {
	s.begin(now)
	if s.sync.syncingWith(from) {
		s.finishCatchUp("already in sync with " + from)
	}
	return s.out.decisions
}

// HandleBusy handles a peer's reply that it is syncing too many other proxies. The next tick polls another sync peer.
func (s *Store) HandleBusy(now Time, from string) []Decision {
	s.begin(now)
	if from == s.sync.peer {
		s.sync.allowPoll(s.now)
	}
	return s.out.decisions
}

// pollSyncPeer sends the digest to a sync peer, or ends catching up if it has timed out.
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

// finishCatchUp ends catching up, logs how it ended, and sends a heartbeat unless this proxy has yielded.
func (s *Store) finishCatchUp(how string) {
	s.sync.finish()
	s.out.logf("caught up, %s: %d rows of %d proxies", how, s.rows.size(), len(s.members.all))
	if !s.yielded {
		s.sendHeartbeat()
	}
}
