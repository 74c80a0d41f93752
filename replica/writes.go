package replica

const (
	// removedEndpointTTL is the time to live of the row of an endpoint that was removed from the endpoint list.
	removedEndpointTTL = 3600 * Second

	// refuteInterval is the minimum time between two refutations. It limits their rate, since two processes with the same
	// name refute each other endlessly.
	refuteInterval = 5 * Second

	// The ranks of a health observation.
	responding    = 0
	notResponding = 1
)

// ApplyEndpointList writes the rows of endpoints from the endpoint list with the given index, either the complete list or
// only its changes. Of each row, Key, Rank, Sequence and Body are used. A row that is already stored with the same rank
// and sequence number is not written again: otherwise each proxy that starts would cause the complete list to be gossiped.
// Endpoints that are missing from a complete list are marked as removed.
func (s *Store) ApplyEndpointList(now Time, complete bool, index int64, endpoints []Row) []Decision {
	s.begin(now)
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].Key] = true
		s.writeEndpoint(index, endpoints[i])
	}
	if complete {
		s.removeUnlisted(index, listed)
	}
	return s.out.decisions
}

// writeEndpoint writes the row of an endpoint, unless its rank and sequence number are already stored.
func (s *Store) writeEndpoint(index int64, row Row) {
	row.Kind, row.Writer, row.Epoch, row.Age = KindEndpoint, "", index, 0
	if row.Rank == EndpointRemoved {
		row.TTL = removedEndpointTTL
	}
	stored := s.rows.byID[rowID(&row)]
	if stored == nil || stored.Rank != row.Rank || stored.Sequence != row.Sequence {
		s.writeLocal(row)
	}
}

// removeUnlisted marks the stored endpoints as removed that are missing from the complete list with the given index and
// come from an earlier list.
func (s *Store) removeUnlisted(index int64, listed map[string]bool) {
	var removed []Row
	s.rows.forEach(KindEndpoint, func(row *storedRow) {
		if !listed[row.Key] && row.Rank != EndpointRemoved && row.Epoch < index {
			removed = append(removed, Row{
				Kind: KindEndpoint, Key: row.Key, Epoch: index, Rank: EndpointRemoved, Sequence: row.Sequence, TTL: removedEndpointTTL,
			})
		}
	})
	for _, row := range removed {
		s.writeLocal(row)
	}
}

// RecordHealth writes a health observation of this proxy, which states whether an endpoint responds.
func (s *Store) RecordHealth(now Time, endpoint string, responds bool) []Decision {
	s.begin(now)
	row := Row{Kind: KindHealthObservation, Key: endpoint, TTL: s.settings.ObservationTTL, Rank: notResponding}
	if responds {
		row.Rank = responding
	}
	s.writeOwn(row)
	return s.out.decisions
}

// WriteOwn writes an own row of this proxy with a time to live, unless the proxy has yielded.
func (s *Store) WriteOwn(now Time, kind Kind, key string, ttl Time, body []byte) []Decision {
	s.begin(now)
	if !s.yielded {
		s.writeOwn(Row{Kind: kind, Key: key, TTL: ttl, Body: body})
	}
	return s.out.decisions
}

// WriteShared writes a shared row. Writer and Age of the given row are ignored.
func (s *Store) WriteShared(now Time, row Row) []Decision {
	s.begin(now)
	row.Writer, row.Age = "", 0
	s.writeLocal(row)
	return s.out.decisions
}

// HandleRows handles rows that a peer sent. Invalid rows are rejected and counted.
func (s *Store) HandleRows(now Time, from string, rows []Row) []Decision {
	s.begin(now)
	for i := range rows {
		s.writeReceived(from, &rows[i])
	}
	if s.sync.syncingWith(from) && s.sync.complete() {
		s.finishCatchUp("synced from " + from)
	}
	return s.out.decisions
}

// writeOwn writes an own row of this proxy with its incarnation and the next sequence number.
func (s *Store) writeOwn(row Row) {
	s.ownSequence++
	row.Writer, row.Epoch, row.Sequence = s.settings.Name, s.settings.Incarnation, s.ownSequence
	s.writeLocal(row)
}

// writeLocal stores a row that this proxy wrote, if it is valid and newer than the stored version.
func (s *Store) writeLocal(row Row) {
	id := rowID(&row)
	if s.validateRow(id, &row) {
		s.store(id, &row)
	}
}

// writeReceived stores a row that a peer sent, if it is valid and newer than the stored version, and reports the change
// to the caller. A row about this proxy that is newer than this process's own rows is refuted.
func (s *Store) writeReceived(from string, row *Row) {
	id := rowID(row)
	if !s.validateRow(id, row) {
		return
	}
	if s.aboutSelf(row) && !s.yielded && !s.refute(row) {
		return
	}
	stored := s.store(id, row)
	if stored != nil && row.Writer != s.settings.Name {
		s.out.add(Decision{Action: ActionRowChanged, Peer: from, Rows: []Row{stored.aged(s.now)}})
	}
}

// validateRow removes a row from the outstanding requests of the sync, and reports whether it is valid. An invalid row is
// counted as rejected.
func (s *Store) validateRow(id uint64, row *Row) bool {
	delete(s.sync.requested, id)
	if !row.valid() {
		s.RejectedRows++
		return false
	}
	return true
}

// store stores a row and gossips it, if it is newer than the stored version and the table has capacity. Otherwise it
// returns nil.
func (s *Store) store(id uint64, row *Row) *storedRow {
	current := s.rows.byID[id]
	if current != nil && row.compare(&current.Row) <= 0 {
		return nil
	}
	if current == nil && s.rows.full() {
		s.RejectedRows++
		return nil
	}
	stored := s.rows.put(id, row, s.now)
	s.out.add(Decision{Action: ActionGossip, Rows: []Row{stored.aged(s.now)}})
	switch {
	case row.Kind == KindHeartbeat && row.Key == row.Writer:
		s.handleHeartbeat(stored)
	case row.Kind == KindDeparture:
		s.members.findOrAdd(stored.Key)
	}
	return stored
}

// aboutSelf reports whether a row has this proxy as its writer or is a departure record of this proxy.
func (s *Store) aboutSelf(row *Row) bool {
	return row.Writer == s.settings.Name || row.Kind == KindDeparture && row.Key == s.settings.Name
}

// refute ensures that the next own rows are newer than a received row about this proxy. The row comes from an earlier or
// a concurrent process of this name, or is a departure record of this proxy. Without a refutation, rows of the earlier
// process would stay current forever if the clock stepped back between the two starts. It returns false if the row must
// be ignored.
func (s *Store) refute(row *Row) bool {
	incarnation := s.settings.Incarnation
	switch {
	case row.Kind != KindDeparture && row.Epoch == incarnation && row.Sequence > s.ownSequence:
		s.ownSequence = row.Sequence
	case row.Epoch > incarnation || row.Kind == KindDeparture && row.Epoch == incarnation:
		if s.now-s.refutedAt < refuteInterval {
			return false
		}
		s.out.logf("refuting a row of this name with incarnation %d, while this process has %d", row.Epoch, incarnation)
		s.refutedAt = s.now
		s.takeIncarnation(row.Epoch + 1)
	}
	return true
}

// takeIncarnation continues with a later incarnation. The other proxies must acknowledge it before the quota is confirmed
// again, and a heartbeat is due at once.
func (s *Store) takeIncarnation(incarnation int64) {
	s.settings.Incarnation = incarnation
	s.quota.confirmed = false
	s.members.resetAcknowledgements()
	s.heartbeats.lastAt = s.now - longAgo
}
