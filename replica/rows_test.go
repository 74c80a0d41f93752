package replica

import (
	"fmt"
	"strings"
	"testing"
)

// versionStore receives versions of rows and stores one version of each row.
type versionStore interface {
	receive(Row)
	endpointRow(key string) (Row, bool)
	digest() uint64
}

// replicaStore adapts a replica to versionStore.
type replicaStore struct{ *Store }

func (s replicaStore) receive(row Row) { s.HandleRows(s.now, "x", []Row{row}) }
func (s replicaStore) digest() uint64  { return s.KindStats()[KindEndpoint].Digest }

// lastWriteWins is a deliberately incorrect versionStore: it stores the version received last.
type lastWriteWins map[string]Row

func (s lastWriteWins) receive(row Row)                           { s[row.Key] = row }
func (s lastWriteWins) endpointRow(key string) (row Row, ok bool) { row, ok = s[key]; return row, ok }

func (s lastWriteWins) digest() (digest uint64) {
	for _, row := range s {
		digest ^= rowID(&row) * (versionHash(&row) | 1)
	}
	return digest
}

// permute calls f once for each permutation of the rows.
func permute(rows []Row, f func([]Row)) {
	var permuteFrom func(start int)
	permuteFrom = func(start int) {
		if start == len(rows) {
			f(rows)
			return
		}
		for i := start; i < len(rows); i++ {
			rows[start], rows[i] = rows[i], rows[start]
			permuteFrom(start + 1)
			rows[start], rows[i] = rows[i], rows[start]
		}
	}
	permuteFrom(0)
}

// convergenceFault passes the same versions to stores in every order. It describes a step back to an older version, or a
// difference between the final states, and returns "" if there is neither.
func convergenceFault(newStore func() versionStore) (fault string) {
	rows := []Row{
		{Kind: KindEndpoint, Key: "c1", Epoch: 5, Rank: EndpointActive, Body: []byte("a")},
		{Kind: KindEndpoint, Key: "c1", Epoch: 5, Rank: EndpointDraining, Body: []byte("a")},
		{Kind: KindEndpoint, Key: "c1", Epoch: 5, Rank: EndpointDraining, Sequence: 7, Body: []byte("b")},
		{Kind: KindEndpoint, Key: "c1", Epoch: 6, Rank: EndpointActive, Body: []byte("c")},
		{Kind: KindEndpoint, Key: "c2", Epoch: 4, Rank: EndpointRemoved, TTL: removedEndpointTTL},
		{Kind: KindEndpoint, Key: "c2", Epoch: 3, Rank: EndpointActive},
	}
	digests := map[uint64]bool{}
	permute(rows, func(rows []Row) {
		store := newStore()
		for _, row := range rows {
			before, stored := store.endpointRow(row.Key)
			store.receive(row)
			if after, _ := store.endpointRow(row.Key); stored && after.compare(&before) < 0 {
				fault = fmt.Sprintf("%s goes back from %+v to %+v", row.Key, before, after)
			}
		}
		digests[store.digest()] = true
	})
	if len(digests) != 1 {
		fault += fmt.Sprintf(" %d different final states", len(digests))
	}
	return fault
}

// TestStoredVersionDoesNotDependOnOrder checks that the stored version does not depend on the order of arrival, and that
// the check detects a store with that fault.
func TestStoredVersionDoesNotDependOnOrder(t *testing.T) {
	if fault := convergenceFault(func() versionStore { return replicaStore{newReplica("n1", 3)} }); fault != "" {
		t.Error(fault)
	}
	if convergenceFault(func() versionStore { return lastWriteWins{} }) == "" {
		t.Error("the check does not detect a store that keeps the version received last")
	}
}

// TestUnknownKindIsGossipedAndOversizedRowRejected checks that rows of an unknown kind are stored, gossiped and expired
// after their TTL, and that rows with a field out of its bounds are rejected and counted.
func TestUnknownKindIsGossipedAndOversizedRowRejected(t *testing.T) {
	replica := newReplica("a", 2)
	decisions := replica.HandleRows(0, "b", []Row{
		{Kind: 77, Key: "order", Writer: "b", Epoch: 1, TTL: 3 * Second, Body: []byte("?")},
	})
	if len(withAction(decisions, ActionGossip)) != 1 || replica.KindStats()[77].Rows != 1 {
		t.Errorf("the row of an unknown kind is not stored and gossiped: %+v", decisions)
	}
	for _, c := range []struct {
		name string
		row  Row
	}{
		{"key too long", Row{Kind: 77, Key: strings.Repeat("k", MaxNameBytes+1)}},
		{"body too long", Row{Kind: 77, Key: "k", Body: make([]byte, MaxBodyBytes+1)}},
		{"no kind", Row{Key: "k"}},
		{"no key", Row{Kind: 77}},
		{"negative age", Row{Kind: 77, Key: "k", Age: -1}},
		{"expired", Row{Kind: 77, Key: "k", TTL: 5, Age: 5}},
		{"epoch too large", Row{Kind: KindDeparture, Key: "a", Epoch: 1<<63 - 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := replica.RejectedRows
			replica.HandleRows(0, "b", []Row{c.row})
			if replica.RejectedRows != before+1 {
				t.Errorf("got %d rejected rows, want 1", replica.RejectedRows-before)
			}
		})
	}
	if replica.RejectedRows != 7 || replica.KindStats()[77].Rows != 1 {
		t.Errorf("got %d rejected rows, want 7, and one stored row", replica.RejectedRows)
	}
	for now := Time(0); now < 4*Second; now += testTick {
		replica.Tick(now)
	}
	digest := replica.Digest()
	replica.expire()
	if replica.KindStats()[77].Rows != 0 || digest != replica.Digest() {
		t.Error("the row has not expired")
	}
}

// TestForwardedRowKeepsItsAge checks that a forwarded row expires no later than at its writer.
func TestForwardedRowKeepsItsAge(t *testing.T) {
	writer, reader := newReplica("a", 2), newReplica("b", 2)
	row := withAction(writer.RecordHealth(0, "c1", false), ActionGossip)[0].Rows[0]
	row.Age = 4 * Second
	reader.HandleRows(100*Second, "a", []Row{row})
	reader.nextExpiry, reader.tickedAt = 0, 101*Second
	reader.Tick(1015 * Second / 10)
	if reader.KindStats()[KindHealthObservation].Rows != 0 {
		t.Error("the row is still stored")
	}
}

// TestRowsAndMessagesAreBounded checks the maximum numbers of stored rows and of rows in a message.
func TestRowsAndMessagesAreBounded(t *testing.T) {
	replica := newReplica("a", 1)
	for i := range maxRows + 50 {
		replica.HandleRows(0, "b", []Row{{Kind: 77, Key: fmt.Sprint(i), Writer: "b"}})
	}
	if replica.rows.size() != maxRows || replica.RejectedRows == 0 {
		t.Errorf("got %d stored rows, want the maximum, and rejections of the others", replica.rows.size())
	}
	for _, d := range withAction(replica.HandleRowRequest(0, "b", make([]uint64, 2*maxRowsRequested)), ActionSendRows) {
		if len(d.Rows) > maxRowsPerSend {
			t.Error("too many rows in a message:", len(d.Rows))
		}
	}
}
