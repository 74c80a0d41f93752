package replica

import "testing"

// A proxy that has yielded to another of its name sends no heartbeat, also not when it has caught up.
func TestYieldedProxySendsNoHeartbeat(t *testing.T) {
	replica := newReplica("a", 1)
	replica.SetYielded(true)
	for now := Time(0); now < 5*Second; now += testTick {
		if sent := withAction(replica.Tick(now), ActionGossip); len(sent) > 0 {
			t.Fatalf("%+v", sent[0].Rows)
		}
	}
	if replica.CatchingUp() {
		t.Error("it is still catching up")
	}
}

// A proxy with a successor says so in its last heartbeat. The successor may take more than two heartbeats to start on a
// busy machine, and nothing listens meanwhile: the name has not departed. Without a successor the proxy is probed soon.
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
				t.Errorf("probed at %v", probedAt)
			}
		})
	}
}

// pair is two replicas that exchange rows at each tick.
type pair struct {
	now  Time
	a, b *Store
}

func (p *pair) deliver(from, to *Store, decisions []Decision) {
	for _, d := range withAction(decisions, ActionGossip) {
		to.HandleRows(p.now, from.settings.Name, d.Rows)
	}
}

// advanceConnected lets time pass for both replicas.
func (p *pair) advanceConnected(span Time) {
	for end := p.now + span; p.now < end; p.now += testTick {
		p.deliver(p.b, p.a, p.b.tickCopy(p.now))
		p.deliver(p.a, p.b, p.a.tickCopy(p.now))
	}
}

// advancePartitioned lets time pass for a alone, and returns how many probes a decided on.
func (p *pair) advancePartitioned(span Time) (probes int) {
	for end := p.now + span; p.now < end; p.now += testTick {
		probes += len(withAction(p.a.Tick(p.now), ActionProbe))
	}
	return probes
}

// A silent proxy keeps its quota. That of a departed one is taken over after the takeover delay, and returned when a
// process with the same name is back.
func TestQuotaOfDepartedProxyIsTakenOver(t *testing.T) {
	p := &pair{a: newReplica("a", 2), b: newReplica("b", 2)}
	if p.advanceConnected(8 * Second); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() != 0.5 {
		t.Fatalf("shares %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
	if probes := p.advancePartitioned(8 * Second); p.a.QuotaShare() != 0.5 || probes == 0 {
		t.Errorf("silent: share %v, %d probes", p.a.QuotaShare(), probes)
	}
	if p.a.ConnectionRefused(p.now, "b", 7); p.a.members.incarnationEnded(p.a.members.byName["b"]) {
		t.Error("an incarnation that never was is believed to have ended")
	}
	p.a.ConnectionRefused(p.now, "b", 1)
	if p.advancePartitioned(Second); p.a.QuotaShare() != 0.5 {
		t.Errorf("before the takeover delay: %v", p.a.QuotaShare())
	}
	if p.advancePartitioned(p.a.quota.leaseDuration()); p.a.QuotaShare() != 1-0.25/2 {
		t.Errorf("after it: %v", p.a.QuotaShare())
	}
	p.b = newReplica("b", 2)
	p.b.settings.Incarnation, p.b.tickedAt = 2, p.now
	p.deliver(p.b, p.a, p.b.tickCopy(p.now))
	if p.advanceConnected(Second / 2); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() > 0.25/2 {
		t.Errorf("back: %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
	if p.advanceConnected(8 * Second); p.a.QuotaShare() != 0.5 || p.b.QuotaShare() != 0.5 {
		t.Errorf("confirmed again: %v %v", p.a.QuotaShare(), p.b.QuotaShare())
	}
}
