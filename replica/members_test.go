package replica

import "testing"

// TestYieldedProxySendsNoHeartbeat checks that a proxy that has yielded to another process of its name sends no heartbeat,
// not even when it finishes catching up.
func TestYieldedProxySendsNoHeartbeat(t *testing.T) {
	replica := newReplica("a", 1)
	replica.SetYielded(true)
	for now := Time(0); now < 5*Second; now += testTick {
		if sent := withAction(replica.Tick(now), ActionGossip); len(sent) > 0 {
			t.Fatalf("sent rows %+v", sent[0].Rows)
		}
	}
	if replica.CatchingUp() {
		t.Error("the proxy is still catching up")
	}
}

// TestProxyWithSuccessorIsProbedLater checks that a proxy whose last heartbeat announces a successor is probed later than
// one without. On an overloaded machine the successor may take more than two heartbeat intervals to start. No process
// listens in the meantime, and an earlier probe would record the proxy as departed.
func TestProxyWithSuccessorIsProbedLater(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor bool
	}{
		{"with successor", true},
		{"without successor", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newReplica("a", 2), newReplica("b", 2)
			a.HandleRows(0, "b", withAction(b.Tick(0), ActionGossip)[0].Rows)
			if b.SetYielded(c.successor); c.successor {
				a.HandleRows(Second, "b", withAction(b.AnnounceDeparture(Second), ActionGossip)[0].Rows)
			}
			probedAt := Time(0)
			for now := Second; now < 9*Second && probedAt == 0; now += testTick {
				if len(withAction(a.Tick(now), ActionProbe)) > 0 {
					probedAt = now
				}
			}
			if late := probedAt > 7*Second; probedAt == 0 || late != c.successor {
				t.Errorf("first probe at %v", probedAt)
			}
		})
	}
}

// pair holds two replicas that exchange rows at each tick unless they are partitioned.
type pair struct {
	now  Time
	a, b *Store
}

func (p *pair) deliver(from, to *Store, decisions []Decision) {
	for _, d := range withAction(decisions, ActionGossip) {
		to.HandleRows(p.now, from.settings.Name, d.Rows)
	}
}

// advanceConnected advances the time of both replicas, which receive each other's rows.
func (p *pair) advanceConnected(span Time) {
	for end := p.now + span; p.now < end; p.now += testTick {
		p.deliver(p.b, p.a, p.b.tickCopy(p.now))
		p.deliver(p.a, p.b, p.a.tickCopy(p.now))
	}
}

// advancePartitioned advances the time of replica a only, and returns the number of probes that it requested.
func (p *pair) advancePartitioned(span Time) (probes int) {
	for end := p.now + span; p.now < end; p.now += testTick {
		probes += len(withAction(p.a.Tick(p.now), ActionProbe))
	}
	return probes
}

// TestQuotaOfDepartedProxyIsTakenOver checks that a silent proxy keeps its quota, and that the quota of a departed proxy is
// taken over after the takeover delay and returned when a process with the same name starts.
func TestQuotaOfDepartedProxyIsTakenOver(t *testing.T) {
	p := &pair{a: newReplica("a", 2), b: newReplica("b", 2)}
	if p.advanceConnected(8 * Second); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() != 0.5 {
		t.Fatalf("shares %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
	if probes := p.advancePartitioned(8 * Second); p.a.QuotaShare() != 0.5 || probes == 0 {
		t.Errorf("silent: share %v, %d probes", p.a.QuotaShare(), probes)
	}
	if p.a.ConnectionRefused(p.now, "b", 7); p.a.members.incarnationEnded(p.a.members.byName["b"]) {
		t.Error("a refused connection to an unknown incarnation is recorded as the end of the current one")
	}
	p.a.ConnectionRefused(p.now, "b", 1)
	if p.advancePartitioned(Second); p.a.QuotaShare() != 0.5 {
		t.Errorf("share before the takeover delay: %v", p.a.QuotaShare())
	}
	if p.advancePartitioned(p.a.quota.leaseDuration()); p.a.QuotaShare() != 1-0.25/2 {
		t.Errorf("share after the takeover delay: %v", p.a.QuotaShare())
	}
	p.b = newReplica("b", 2)
	p.b.settings.Incarnation, p.b.tickedAt = 2, p.now
	p.deliver(p.b, p.a, p.b.tickCopy(p.now))
	if p.advanceConnected(Second / 2); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() > 0.25/2 {
		t.Errorf("shares after the restart: %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
	if p.advanceConnected(8 * Second); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() != 0.5 {
		t.Errorf("shares after the quota is confirmed again: %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
}
