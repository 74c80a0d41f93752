package replica_test

import (
	"fmt"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/replica"
)

// TestGoldenRows pins the encoding of rows, of heartbeat bodies, and of the row versions in replies to digests.
func TestGoldenRows(t *testing.T) {
	goldentest.Msgpack(t, "rows.golden", []goldentest.Value{
		{Name: "row-full", Full: true, Value: &replica.Row{
			Kind: replica.KindEndpoint, Key: "node-1", Writer: "proxy-a", Epoch: 1700000000000,
			Rank: replica.EndpointRemoved, Sequence: 70000, Age: 15000, TTL: 36000000, Body: []byte{0x81, 0xa1, 'z', 0x01},
		}},
		{Name: "row-empty", Value: &replica.Row{Kind: replica.KindDeparture, Key: "proxy-b", Epoch: 7}},
		{Name: "row-negative-epoch", Value: &replica.Row{Kind: replica.KindHealthObservation, Key: "node-2", Epoch: -1}},
		{Name: "head", Full: true, Value: &replica.RowVersion{RowID: 0x0102030405060708, VersionHash: 0xf1f2f3f4f5f6f7f8}},
		{Name: "head-zero", Value: &replica.RowVersion{}},
		{Name: "pulse-full", Full: true, Value: &replica.Heartbeat{
			Address: "192.0.2.1:7946", Zone: "zone-1", Demand: 1234.5,
			ViewHash: 0xfedcba9876543210, CatchingUp: true, BaseQuota: 0.25, WritesSent: 4321, HasSuccessor: true,
			Leases: []replica.QuotaLease{
				{Borrower: "proxy-b", Share: 0.125, HeartbeatSequence: 17},
				{Borrower: "proxy-c", Share: 0.0625, HeartbeatSequence: 70000},
			},
		}},
		{Name: "pulse-empty", Value: &replica.Heartbeat{}},
	})
}

// TestRowKindNumbers pins the wire number of each row kind.
func TestRowKindNumbers(t *testing.T) {
	for _, c := range []struct {
		name string
		got  replica.Kind
		want uint8
	}{
		{"heartbeat", replica.KindHeartbeat, 1},
		{"health observation", replica.KindHealthObservation, 2},
		{"endpoint", replica.KindEndpoint, 3},
		{"departure record", replica.KindDeparture, 4},
		{"zone report", replica.KindZoneReport, 5},
		{"zone override", replica.KindZoneOverride, 6},
		{"endpoint probe", replica.KindEndpointProbe, 7},
		{"watch heartbeat", replica.KindWatchHeartbeat, 8},
		{"written keys", replica.KindWrittenKeys, 9},
		{"absent keys", replica.KindAbsentKeys, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			if uint8(c.got) != c.want {
				t.Errorf("got kind %d, want %d", c.got, c.want)
			}
		})
	}
}

// TestMessageTypeNumbers pins the wire number of each action that sends a message to a peer.
func TestMessageTypeNumbers(t *testing.T) {
	for _, c := range []struct {
		name string
		got  replica.Action
		want uint8
	}{
		{"gossip", replica.ActionGossip, 0},
		{"digest", replica.ActionSendDigest, 1},
		{"row versions", replica.ActionSendVersions, 2},
		{"rows", replica.ActionSendRows, 3},
		{"row request", replica.ActionRequestRows, 4},
		{"busy reply", replica.ActionReplyBusy, 5},
		{"in-sync reply", replica.ActionReplyInSync, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			if uint8(c.got) != c.want {
				t.Errorf("got action %d, want %d", c.got, c.want)
			}
		})
	}
}

// TestWireConstants pins the ranks of endpoint rows, the unit of ages, and the bounds that must be the same at all peers.
func TestWireConstants(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"rank of an active endpoint", replica.EndpointActive, 0},
		{"rank of a draining endpoint", replica.EndpointDraining, 1},
		{"rank of a removed endpoint", replica.EndpointRemoved, 2},
		{"units of Time in a second", int64(replica.Second), 10000},
		{"buckets in a digest", replica.BucketCount, 64},
		{"maximum name length", replica.MaxNameBytes, 128},
		{"maximum body length", replica.MaxBodyBytes, 1024},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %d, want %d", c.got, c.want)
			}
		})
	}
}

// newEmptyReplica returns a replica without rows.
func newEmptyReplica() *replica.Store {
	return replica.New(0, replica.Settings{
		Name: "proxy-a", Incarnation: 1700000000000, FleetSize: 3, Address: "192.0.2.1:7946", Zone: "zone-1",
		TakeoverDelay: replica.Second, QuotaFloor: 0.25, ObservationTTL: 10 * replica.Second,
	}, 1)
}

// TestRowHashes pins the hashes by which peers compare their rows: the ID of a row, the hash of its version, and the value
// that the row contributes to the digest.
func TestRowHashes(t *testing.T) {
	for _, c := range []struct {
		name             string
		row              replica.Row
		id, version, sum uint64
	}{
		{
			"own row",
			replica.Row{
				Kind: replica.KindZoneReport, Key: "zone-1", Writer: "proxy-b", Epoch: 1700000000000, Rank: 1, Sequence: 42,
				Body: []byte("body"),
			},
			0x6c4794fbc077f633, 0xd57460454c946dff, 0x793a35c910418bd0,
		},
		{
			"row without a writer",
			replica.Row{Kind: replica.KindEndpoint, Key: "node-1", Epoch: 7, Rank: 2, Sequence: -3},
			0x62cc639c9394768a, 0x52b66f5e05ef379f, 0x5bc25998bb93a6cd,
		},
		{
			"age and TTL are not hashed",
			replica.Row{Kind: replica.KindEndpoint, Key: "node-1", Epoch: 7, Rank: 2, Sequence: -3, Age: 5, TTL: 900},
			0x62cc639c9394768a, 0x52b66f5e05ef379f, 0x5bc25998bb93a6cd,
		},
		{
			"other kind",
			replica.Row{Kind: replica.KindZoneOverride, Key: "node-1", Epoch: 7, Rank: 2, Sequence: -3},
			0x0bea878a2a5b0746, 0x52b66f5e05ef379f, 0xe1afa60560d6b721,
		},
		{
			"kind above 127",
			replica.Row{Kind: 200, Key: "node-1", Epoch: 7, Rank: 2, Sequence: -3},
			0x2187d20f3fa0f211, 0x52b66f5e05ef379f, 0x328abea990b120fa,
		},
		{
			"negative epoch",
			replica.Row{Kind: replica.KindDeparture, Key: "proxy-c", Epoch: -1},
			0x9dc84bed8f08082e, 0xe6dd06ec53a24941, 0xf7be418f9d48ba87,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newEmptyReplica()
			store.HandleRows(0, "proxy-b", []replica.Row{c.row})
			version, sum := onlyVersion(t, store)
			if version.RowID != c.id || version.VersionHash != c.version || sum != c.sum {
				t.Errorf("got ID %#016x version %#016x sum %#016x, want %#016x %#016x %#016x",
					version.RowID, version.VersionHash, sum, c.id, c.version, c.sum)
			}
			if stats := store.KindStats()[c.row.Kind]; stats.Rows != 1 || stats.Digest != c.sum {
				t.Errorf("got stats of the kind %+v, want one row with digest %#016x", stats, c.sum)
			}
		})
	}
}

// onlyVersion returns the version of the only stored row of a replica and the value that the row contributes to the
// digest. It checks that only the bucket selected by the lowest bits of the row's ID is not zero.
func onlyVersion(t *testing.T, store *replica.Store) (replica.RowVersion, uint64) {
	t.Helper()
	decisions := store.HandleDigest(0, "proxy-b", invertedDigest(store))
	if len(decisions) != 1 || decisions[0].Action != replica.ActionSendVersions || len(decisions[0].Versions) != 1 {
		t.Fatalf("got reply to a digest %+v, want one version", decisions)
	}
	version := decisions[0].Versions[0]
	sums := store.Digest()
	for i, sum := range sums {
		if (sum != 0) != (uint64(i) == version.RowID%64) {
			t.Errorf("bucket %d has digest %#x for a row with ID %#x", i, sum, version.RowID)
		}
	}
	return version, sums[version.RowID%64]
}

// invertedDigest returns a digest that differs from the replica's digest in each bucket.
func invertedDigest(store *replica.Store) replica.Digest {
	sums := store.Digest()
	for i := range sums {
		sums[i] = ^sums[i]
	}
	return sums
}

// TestDigestSums pins the digest of several rows, two of which are in the same bucket.
func TestDigestSums(t *testing.T) {
	store := newEmptyReplica()
	var rows []replica.Row
	for n := range 16 {
		rows = append(rows, replica.Row{Kind: replica.KindEndpoint, Key: fmt.Sprint("node-", n), Epoch: 7, Sequence: 1})
	}
	store.HandleRows(0, "proxy-b", rows)
	want := replica.Digest{
		2:  0x494761b02840bf72,
		5:  0x28742252832f5df1,
		10: 0xa1ac9acd981bb1ca,
		15: 0x8aa8e54c01abf363,
		19: 0xccac1e77df1d15d7,
		23: 0x60ff02668ad216c0,
		28: 0x870c59ee97342254,
		35: 0xd7acb823e55b3f07,
		41: 0x2fbc44ff185a1845,
		44: 0x5f4cb24d90d67d84,
		46: 0xd38bab26393a055e,
		58: 0x717e3165d4a5c11a,
		60: 0x46e0fff83f132034,
		61: 0xa911778c038e3e19,
		63: 0x9ffa37487c1b00b3,
	}
	if got := store.Digest(); got != want {
		for i, sum := range got {
			if sum != want[i] {
				t.Errorf("bucket %d: got %#016x, want %#016x", i, sum, want[i])
			}
		}
	}
}

// TestViewHash pins the hash of a proxy's view of the fleet in its heartbeats.
func TestViewHash(t *testing.T) {
	known := []replica.Row{
		heartbeatRow(t, "proxy-b", 1700000000001),
		heartbeatRow(t, "proxy-c", 1700000000002),
	}
	departure := replica.Row{Kind: replica.KindDeparture, Key: "proxy-c", Epoch: 1700000000002}
	for _, c := range []struct {
		name string
		rows []replica.Row
		want uint64
	}{
		{"alone", nil, 0x1c4c4c49df960e31},
		{"three proxies", known, 0xbbc7b895a9bf29c3},
		{"one has departed", append(known, departure), 0x78160c6d5104bfa7},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newEmptyReplica()
			store.HandleRows(0, "proxy-b", c.rows)
			if got := lastHeartbeat(t, store, 20*replica.Second).ViewHash; got != c.want {
				t.Errorf("got %#016x, want %#016x", got, c.want)
			}
		})
	}
}

// heartbeatRow returns a heartbeat row of another proxy. The row does not expire.
func heartbeatRow(t *testing.T, name string, incarnation int64) replica.Row {
	t.Helper()
	body := encode(t, &replica.Heartbeat{Address: "192.0.2.2:7946", BaseQuota: 0.25})
	return replica.Row{Kind: replica.KindHeartbeat, Key: name, Writer: name, Epoch: incarnation, Sequence: 1, Body: body}
}

// lastHeartbeat advances the time of a replica by span and returns its latest heartbeat.
func lastHeartbeat(t *testing.T, store *replica.Store, span replica.Time) (latest replica.Heartbeat) {
	t.Helper()
	for now := replica.Time(0); now <= span; now += replica.Second / 10 {
		for _, d := range store.Tick(now) {
			if d.Action != replica.ActionGossip || d.Rows[0].Kind != replica.KindHeartbeat || d.Rows[0].Writer != "proxy-a" {
				continue
			}
			latest = replica.Heartbeat{}
			decode(t, d.Rows[0].Body, &latest)
		}
	}
	return latest
}
