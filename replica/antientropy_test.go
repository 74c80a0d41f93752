package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// deliverSync delivers the messages of anti-entropy and all replies to them without delay.
func deliverSync(replicas map[string]*Store, from string, decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		to := replicas[d.Peer]
		switch d.Action {
		case ActionSendDigest:
			deliverSync(replicas, d.Peer, to.HandleDigest(0, from, d.Digest))
		case ActionSendVersions:
			deliverSync(replicas, d.Peer, to.HandleVersions(0, from, d.Buckets, d.Versions))
		case ActionSendRows:
			deliverSync(replicas, d.Peer, to.HandleRows(0, from, slices.Clone(d.Rows)))
		case ActionRequestRows:
			deliverSync(replicas, d.Peer, to.HandleRowRequest(0, from, d.RowIDs))
		}
	}
}

// TestDigestsAloneConverge checks that three replicas, each with a part of the rows, converge by exchanging digests,
// without gossip and in any order.
func TestDigestsAloneConverge(t *testing.T) {
	for _, names := range [][]string{
		{"a", "b", "c"}, {"a", "c", "b"}, {"b", "a", "c"}, {"b", "c", "a"}, {"c", "a", "b"}, {"c", "b", "a"},
	} {
		t.Run(strings.Join(names, ""), func(t *testing.T) {
			replicas := map[string]*Store{"a": newReplica("a", 3), "b": newReplica("b", 3), "c": newReplica("c", 3)}
			for i, name := range names {
				for k := range 30 {
					row := Row{Key: fmt.Sprint("c", k%(20+i)), Sequence: int64(k), Body: []byte(name)}
					replicas[name].ApplyEndpointList(0, false, int64(i+k), []Row{row})
				}
			}
			for _, pair := range [][2]string{{names[0], names[1]}, {names[1], names[2]}, {names[0], names[1]}} {
				digest := Decision{Action: ActionSendDigest, Peer: pair[1], Digest: replicas[pair[0]].Digest()}
				deliverSync(replicas, pair[0], []Decision{digest})
			}
			a, b, c := replicas["a"], replicas["b"], replicas["c"]
			if a.Digest() != b.Digest() || b.Digest() != c.Digest() || a.KindStats()[KindEndpoint].Rows != 22 {
				t.Error("the replicas have not converged to the 22 rows")
			}
		})
	}
}

// TestCatchUpSendsOnlyWhatDiffers checks that the size of the messages depends on the number of missed rows, not on the
// number of stored rows.
func TestCatchUpSendsOnlyWhatDiffers(t *testing.T) {
	rows := make([]Row, 2000)
	for i := range rows {
		rows[i] = Row{Key: fmt.Sprint("c", i)}
	}
	a, b := newReplica("a", 2), newReplica("b", 2)
	a.ApplyEndpointList(0, true, 1, rows)
	b.ApplyEndpointList(0, true, 1, rows)
	a.ApplyEndpointList(0, false, 2, []Row{{Key: "c7", Rank: EndpointDraining}})
	reply := withAction(a.HandleDigest(0, "b", b.Digest()), ActionSendVersions)[0]
	if count := len(reply.Versions); count > 100 {
		t.Errorf("got %d versions for one changed row, want at most 100", count)
	}
	decisions := b.HandleVersions(0, "a", reply.Buckets, reply.Versions)
	request := withAction(decisions, ActionRequestRows)
	if len(request) != 1 || len(request[0].RowIDs) != 1 || len(withAction(decisions, ActionSendRows)) != 1 {
		t.Errorf("got decisions %+v, want one request of one row and one message with rows", decisions)
	}
}

// TestDigestRepliesAreLimited checks that only a limited number of digests get a reply with versions, and that the others
// get a busy reply at once.
func TestDigestRepliesAreLimited(t *testing.T) {
	replica := newReplica("a", 9)
	replica.ApplyEndpointList(0, true, 1, []Row{{Key: "c1"}})
	replied, busy := 0, 0
	for range 10 {
		decisions := replica.HandleDigest(0, "b", Digest{})
		replied += len(withAction(decisions, ActionSendVersions))
		busy += len(withAction(decisions, ActionReplyBusy))
	}
	if replied != maxDigestReplies || busy != 10-maxDigestReplies {
		t.Errorf("got %d replies with versions and %d busy replies", replied, busy)
	}
}

// TestSuspendedProxyCatchesUp checks that a proxy that was suspended catches up with its quota at the floor, and that this
// ends after a timeout if no peer replies.
func TestSuspendedProxyCatchesUp(t *testing.T) {
	replica := newReplica("a", 1)
	now := Time(0)
	advance := func(span Time) {
		for end := now + span; now < end; now += testTick {
			replica.Tick(now)
		}
	}
	advance(4 * Second)
	if replica.CatchingUp() || replica.QuotaShare() != 1 {
		t.Fatalf("in a fleet of one: catching up %v, share %v", replica.CatchingUp(), replica.QuotaShare())
	}
	now += 30 * Second
	replica.Tick(now)
	if !replica.CatchingUp() || replica.QuotaShare() != 0.25 {
		t.Errorf("after 30 s: catching up %v, share %v", replica.CatchingUp(), replica.QuotaShare())
	}
	if advance(noPeerSyncTimeout + Second); replica.CatchingUp() || replica.QuotaShare() != 1 {
		t.Errorf("after the timeout: catching up %v, share %v", replica.CatchingUp(), replica.QuotaShare())
	}
}

// TestFirstLivePeerIsPolledAtOnce checks that a proxy that starts before any peer is live polls the first peer at the tick
// after that peer's heartbeat, and does not wait for the timeout of a poll that was never sent.
func TestFirstLivePeerIsPolledAtOnce(t *testing.T) {
	a, b := newReplica("a", 2), newReplica("b", 2)
	a.Tick(0)
	for _, d := range withAction(b.Tick(0), ActionGossip) {
		a.HandleRows(Second/20, "b", d.Rows)
	}
	if polls := withAction(a.Tick(testTick), ActionSendDigest); len(polls) != 1 || polls[0].Peer != "b" {
		t.Errorf("got polls %+v, want one of b", polls)
	}
}
