package replica

import "testing"

// A proxy that restarts with a clock that stepped back takes a later incarnation than its old rows, also where one of
// them says that it has departed.
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
				t.Errorf("incarnation %d, %+v", replica.settings.Incarnation, heartbeat)
			}
			// a second process with the same name is not refuted without end
			replica.HandleRows(200, "b", []Row{{Kind: KindHeartbeat, Key: "a", Writer: "a", Epoch: 60}})
			if replica.settings.Incarnation != 51 {
				t.Errorf("incarnation %d at once again", replica.settings.Incarnation)
			}
		})
	}
}

// A complete list writes nothing for endpoints that are stored already, and removes those that it lacks; an older list
// does neither.
func TestCompleteListRemovesEndpoints(t *testing.T) {
	replica := newReplica("a", 1)
	replica.ApplyEndpointList(0, true, 5, []Row{{Key: "c1"}, {Key: "c2"}})
	if written := withAction(replica.ApplyEndpointList(0, true, 9, []Row{{Key: "c1"}, {Key: "c2"}}), ActionGossip); len(written) != 0 {
		t.Errorf("%+v", written)
	}
	replica.ApplyEndpointList(0, true, 4, []Row{{Key: "c1"}})
	if row, stored := replica.endpointRow("c2"); !stored || row.Rank != EndpointActive {
		t.Errorf("an older list removes c2: %+v", row)
	}
	replica.ApplyEndpointList(0, true, 10, []Row{{Key: "c1"}})
	if row, stored := replica.endpointRow("c2"); !stored || row.Rank != EndpointRemoved || row.Epoch != 10 {
		t.Errorf("c2 is not removed: %+v", row)
	}
}
