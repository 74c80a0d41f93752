package replica

const (
	// removedEndpointTTL is the time to live of the row of an endpoint that was removed from the list.
	removedEndpointTTL = 3600 * Second

	// refuteInterval is the time between two refutations. Two processes with one name would refute each other without
	// end, so that it is done now and then only.
	refuteInterval = 5 * Second

	// The ranks of a health observation.
	responding    = 0
	notResponding = 1
)

// Listed takes endpoints from the endpoint list with the given index: the complete list, or the changes. Each endpoint
// is a row with its key, rank, count and body. One that is stored already is not written again, since each proxy that
// starts would have the complete list gossiped. Endpoints that a complete list lacks were removed.
func (s *Instance) Listed(now Time, complete bool, index int64, endpoints []Row) []Decision {
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

func (s *Instance) writeEndpoint(index int64, row Row) {
	row.Kind, row.Writer, row.Epoch, row.Age = Node, "", index, 0
	if row.Rank == Left {
		row.Life = removedEndpointTTL
	}
	stored := s.rows.byID[rowID(&row)]
	if stored == nil || stored.Rank != row.Rank || stored.Count != row.Count {
		s.writeLocal(row)
	}
}

// removeUnlisted writes the removal of the endpoints that the complete list with the given index lacks.
func (s *Instance) removeUnlisted(index int64, listed map[string]bool) {
	var removed []Row
	s.rows.forEach(Node, func(row *storedRow) {
		if !listed[row.Key] && row.Rank != Left && row.Epoch < index {
			removed = append(removed, Row{
				Kind: Node, Key: row.Key, Epoch: index, Rank: Left, Count: row.Count, Life: removedEndpointTTL,
			})
		}
	})
	for _, row := range removed {
		s.writeLocal(row)
	}
}

// Saw writes a health observation of this proxy: whether an endpoint responds.
func (s *Instance) Saw(now Time, endpoint string, responds bool) []Decision {
	s.begin(now)
	row := Row{Kind: Sight, Key: endpoint, Life: s.settings.SightLife, Rank: notResponding}
	if responds {
		row.Rank = responding
	}
	s.writeOwn(row)
	return s.out.decisions
}

// Speak writes an own row with a time to live, unless this proxy has yielded.
func (s *Instance) Speak(now Time, kind Kind, key string, ttl Time, body []byte) []Decision {
	s.begin(now)
	if !s.yielded {
		s.writeOwn(Row{Kind: kind, Key: key, Life: ttl, Body: body})
	}
	return s.out.decisions
}

// Put writes a shared row. Its Writer and Age are ignored.
func (s *Instance) Put(now Time, row Row) []Decision {
	s.begin(now)
	row.Writer, row.Age = "", 0
	s.writeLocal(row)
	return s.out.decisions
}

// Rows handles rows that a peer sent. Those out of their bounds are rejected and counted.
func (s *Instance) Rows(now Time, from string, rows []Row) []Decision {
	s.begin(now)
	for i := range rows {
		s.writeReceived(from, &rows[i])
	}
	if s.sync.syncingWith(from) && s.sync.complete() {
		s.finishCatchUp("synced from " + from)
	}
	return s.out.decisions
}

// writeOwn writes an own row of this proxy.
func (s *Instance) writeOwn(row Row) {
	s.ownRows++
	row.Writer, row.Epoch, row.Count = s.settings.Me, s.settings.Incarnation, s.ownRows
	s.writeLocal(row)
}

// writeLocal stores a row that this proxy wrote, if it is valid and newer than the stored version.
func (s *Instance) writeLocal(row Row) {
	id := rowID(&row)
	if s.admit(id, &row) {
		s.store(id, &row)
	}
}

// writeReceived stores a row that a peer sent, if it is valid and newer than the stored version, and tells the caller.
// A row that contradicts what this process says about itself is refuted.
func (s *Instance) writeReceived(from string, row *Row) {
	id := rowID(row)
	if !s.admit(id, row) {
		return
	}
	if s.aboutSelf(row) && !s.yielded && !s.refute(row) {
		return
	}
	stored := s.store(id, row)
	if stored != nil && row.Writer != s.settings.Me {
		s.out.add(Decision{Act: Changed, To: from, Rows: []Row{stored.aged(s.now)}})
	}
}

// admit notes that a row has arrived, and reports whether it is valid.
func (s *Instance) admit(id uint64, row *Row) bool {
	delete(s.sync.requested, id)
	if !row.valid() {
		s.Dropped++
		return false
	}
	return true
}

// store stores a row and has it gossiped, if it is newer than the stored version. Otherwise it returns nil.
func (s *Instance) store(id uint64, row *Row) *storedRow {
	current := s.rows.byID[id]
	if current != nil && row.compare(&current.Row) <= 0 {
		return nil
	}
	if current == nil && s.rows.full() {
		s.Dropped++
		return nil
	}
	stored := s.rows.put(id, row, s.now)
	s.out.add(Decision{Act: Spread, Rows: []Row{stored.aged(s.now)}})
	switch {
	case row.Kind == Pulse && row.Key == row.Writer:
		s.heartbeatReceived(stored)
	case row.Kind == Gone:
		s.members.findOrAdd(stored.Key)
	}
	return stored
}

// aboutSelf reports whether a row was written in this proxy's name, or says that this proxy has departed.
func (s *Instance) aboutSelf(row *Row) bool {
	return row.Writer == s.settings.Me || row.Kind == Gone && row.Key == s.settings.Me
}

// refute makes sure that the next own rows are newer than a received row about this proxy, which an earlier process of
// this name wrote, or another at the same time, or which says that this one has departed. Otherwise the old rows would
// stay current for good after a clock that steps back between two starts. It returns false if the row has to be
// ignored.
func (s *Instance) refute(row *Row) bool {
	incarnation := s.settings.Incarnation
	switch {
	case row.Kind != Gone && row.Epoch == incarnation && row.Count > s.ownRows:
		s.ownRows = row.Count
	case row.Epoch > incarnation || row.Kind == Gone && row.Epoch == incarnation:
		if s.now-s.refutedAt < refuteInterval {
			return false
		}
		s.out.logf("refuting a row of this name with incarnation %d, while this process has %d", row.Epoch, incarnation)
		s.refutedAt = s.now
		s.takeIncarnation(row.Epoch + 1)
	}
	return true
}

// takeIncarnation goes on with a later incarnation, which the others have to acknowledge anew.
func (s *Instance) takeIncarnation(incarnation int64) {
	s.settings.Incarnation = incarnation
	s.quota.confirmed = false
	s.members.forgetAcknowledgements()
	s.heartbeats.lastAt = s.now - longAgo
}
