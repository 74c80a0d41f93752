package replica

import "testing"

// fleet is replicas that receive each other's rows at once. A departed one is nil.
type fleet struct {
	now      Time
	names    []string
	replicas map[string]*Store
}

// advance lets time pass, and calls afterTick, if it is not nil, after each tick.
func (f *fleet) advance(span Time, afterTick func()) {
	for end := f.now + span; f.now < end; f.now += testTick {
		for _, name := range f.names {
			if f.replicas[name] != nil {
				f.tick(name)
			}
		}
		if afterTick != nil {
			afterTick()
		}
	}
}

// tick has one replica tick, and delivers its rows to the others.
func (f *fleet) tick(name string) {
	for _, d := range withAction(f.replicas[name].tickCopy(f.now), ActionGossip) {
		for _, to := range f.names {
			if f.replicas[to] != nil && to != name {
				f.replicas[to].HandleRows(f.now, name, d.Rows)
			}
		}
	}
}

func (f *fleet) totalShare() float64 {
	total := 0.0
	for _, replica := range f.replicas {
		if replica != nil {
			total += replica.QuotaShare()
		}
	}
	return total
}

// What a proxy has leased out is not used a second time when its process ends or restarts: the others wait until the
// lease has expired, and so does the new process.
func TestLeaseOutlivesLender(t *testing.T) {
	f := &fleet{names: []string{"a", "b", "c"}, replicas: map[string]*Store{}}
	for i, name := range f.names {
		f.replicas[name] = newReplica(name, 3)
		f.replicas[name].settings.TakeoverDelay = Second / 2
		f.replicas[name].SetDemand([]float64{0, 0, 50}[i])
	}
	f.advance(15*Second, nil)
	if a, c := f.replicas["a"].QuotaShare(), f.replicas["c"].QuotaShare(); a > 0.17 || c < 0.6 {
		t.Fatalf("shares %.3f and %.3f by demand", a, c)
	}
	restarted := restartedReplica("a", 3, f.now)
	f.replicas["a"] = restarted
	f.advance(6*Second, func() {
		if total := f.totalShare(); total > 1+1e-9 {
			t.Fatalf("at %d: %.3f together", f.now, total)
		}
	})
	if restarted.QuotaShare() < 0.1 {
		t.Errorf("the new process has %.3f", restarted.QuotaShare())
	}
	f.replicas["a"] = nil
	for _, name := range []string{"b", "c"} {
		f.replicas[name].ConnectionRefused(f.now, "a", 2)
	}
	f.advance(3*Second, func() {
		if f.replicas["b"].members.departedCount() > 0 {
			t.Fatal("its share is taken over before the leases that it granted have expired")
		}
	})
	if f.advance(3*Second, nil); f.replicas["b"].members.departedCount() != 1 {
		t.Error("its share is never taken over")
	}
}

// restartedReplica returns a replica with an incarnation of two, which has caught up already.
func restartedReplica(name string, proxies int, now Time) *Store {
	restarted := newReplica(name, proxies)
	restarted.settings.Incarnation = 2
	restarted.now, restarted.tickedAt, restarted.quota.startedAt = now, now, now
	restarted.heartbeats.lastAt = now - longAgo
	restarted.sync.active, restarted.sync.since, restarted.sync.polledAt = false, now, now
	return restarted
}
