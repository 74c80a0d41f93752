package replica

import "testing"

// TestRefutesRowsOfLaterIncarnation checks that a proxy restarted after its clock stepped back takes a later incarnation
// than its old rows, which may include its departure record.
func TestRefutesRowsOfLaterIncarnation(t *testing.T) {
	for _, c := range []struct {
		name string
		row  Row
	}{
		{"own row", Row{Kind: KindHealthObservation, Key: "c1", Writer: "a", Epoch: 50, Sequence: 900}},
		{"departure record", Row{Kind: KindDeparture, Key: "a", Epoch: 50}},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica("a", 2)
			replica.HandleRows(0, "b", []Row{c.row})
			heartbeat := withAction(replica.Tick(100), ActionGossip)
			if replica.settings.Incarnation != 51 || len(heartbeat) == 0 || heartbeat[0].Rows[0].Epoch != 51 {
				t.Errorf("got incarnation %d and heartbeats %+v, want incarnation 51 in both", replica.settings.Incarnation, heartbeat)
			}
			// two processes with the same name must not refute each other endlessly
			replica.HandleRows(200, "b", []Row{{Kind: KindHeartbeat, Key: "a", Writer: "a", Epoch: 60}})
			if replica.settings.Incarnation != 51 {
				t.Errorf("got incarnation %d after a second refutation within refuteInterval, want 51", replica.settings.Incarnation)
			}
		})
	}
}

// TestCompleteListRemovesEndpoints checks that a complete list writes no rows for endpoints that are already stored and
// marks the endpoints that are missing from it as removed, and that an older list does not remove endpoints.
func TestCompleteListRemovesEndpoints(t *testing.T) {
	replica := newReplica("a", 1)
	replica.ApplyEndpointList(0, true, 5, []Row{{Key: "c1"}, {Key: "c2"}})
	if written := withAction(replica.ApplyEndpointList(0, true, 9, []Row{{Key: "c1"}, {Key: "c2"}}), ActionGossip); len(written) != 0 {
		t.Errorf("an unchanged list wrote rows: %+v", written)
	}
	replica.ApplyEndpointList(0, true, 4, []Row{{Key: "c1"}})
	if row, stored := replica.endpointRow("c2"); !stored || row.Rank != EndpointActive {
		t.Errorf("an older list changed c2: %+v", row)
	}
	replica.ApplyEndpointList(0, true, 10, []Row{{Key: "c1"}})
	if row, stored := replica.endpointRow("c2"); !stored || row.Rank != EndpointRemoved || row.Epoch != 10 {
		t.Errorf("c2 is not removed: %+v", row)
	}
}
