package replica

import "testing"

// fleet holds replicas that receive each other's rows without delay. The replica of a departed proxy is nil.
type fleet struct {
	now      Time
	names    []string
	replicas map[string]*Store
}

// advance advances the time of all replicas. It calls afterTick after each tick unless afterTick is nil.
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

// tick calls Tick of one replica and delivers its rows to the others.
func (f *fleet) tick(name string) {
	for _, d := range withAction(f.replicas[name].tickCopy(f.now), ActionGossip) {
		for _, to := range f.names {
			if f.replicas[to] != nil && to != name {
				f.replicas[to].HandleRows(f.now, name, d.Rows)
			}
		}
	}
}

// totalShare returns the sum of the shares of all replicas.
func (f *fleet) totalShare() float64 {
	total := 0.0
	for _, replica := range f.replicas {
		if replica != nil {
			total += replica.QuotaShare()
		}
	}
	return total
}

// TestLeaseOutlivesLender checks that leased quota is not used twice when the process of the lender ends or restarts: the
// other proxies, and the new process of the lender, wait until the lease has expired.
func TestLeaseOutlivesLender(t *testing.T) {
	f := &fleet{names: []string{"a", "b", "c"}, replicas: map[string]*Store{}}
	for i, name := range f.names {
		f.replicas[name] = newReplica(name, 3)
		f.replicas[name].settings.TakeoverDelay = Second / 2
		f.replicas[name].SetDemand([]float64{0, 0, 50}[i])
	}
	f.advance(15*Second, nil)
	if a, c := f.replicas["a"].QuotaShare(), f.replicas["c"].QuotaShare(); a > 0.17 || c < 0.6 {
		t.Fatalf("got shares %.3f and %.3f with leases by demand, want at most 0.17 and at least 0.6", a, c)
	}
	restarted := restartedReplica("a", 3, f.now)
	f.replicas["a"] = restarted
	f.advance(6*Second, func() {
		if total := f.totalShare(); total > 1+1e-9 {
			t.Fatalf("at %d: sum of the shares is %.3f, want at most 1", f.now, total)
		}
	})
	if restarted.QuotaShare() < 0.1 {
		t.Errorf("the new process has share %.3f, want at least 0.1", restarted.QuotaShare())
	}
	f.replicas["a"] = nil
	for _, name := range []string{"b", "c"} {
		f.replicas[name].ConnectionRefused(f.now, "a", 2)
	}
	f.advance(3*Second, func() {
		if f.replicas["b"].members.departedCount() > 0 {
			t.Fatal("the share of a is taken over before the leases that it granted have expired")
		}
	})
	if f.advance(3*Second, nil); f.replicas["b"].members.departedCount() != 1 {
		t.Error("the share of a is not taken over")
	}
}

// TestDepartingBorrowerReturnsLeases checks that leased quota is not used twice when the borrower announces its departure:
// its share no longer changes from then on, while it still serves requests and its leases expire at the lenders.
func TestDepartingBorrowerReturnsLeases(t *testing.T) {
	f := &fleet{names: []string{"a", "b", "c"}, replicas: map[string]*Store{}}
	for i, name := range f.names {
		f.replicas[name] = newReplica(name, 3)
		f.replicas[name].SetDemand([]float64{0, 0, 50}[i])
	}
	f.advance(15*Second, nil)
	borrower := f.replicas["c"]
	if share := borrower.QuotaShare(); share < 0.6 {
		t.Fatalf("got share %.3f with leases by demand, want at least 0.6", share)
	}
	for _, name := range f.names {
		f.replicas[name].SetDemand(50)
	}
	f.advance(3*Second, nil)
	set := withAction(borrower.AnnounceDeparture(f.now), ActionSetQuotaShare)
	if len(set) != 1 || set[0].Share != borrower.QuotaShare() {
		t.Errorf("got decisions %v on the share, want one with share %.3f", set, borrower.QuotaShare())
	}
	f.names = f.names[:2] // the agent of the borrower is closed, and calls Tick no more
	f.advance(3*Second, func() {
		if total := f.totalShare(); total > 1+1e-9 {
			t.Fatalf("at %d: sum of the shares is %.3f, want at most 1", f.now, total)
		}
	})
}

// restartedReplica returns a replica with incarnation 2 that has already caught up.
func restartedReplica(name string, proxies int, now Time) *Store {
	restarted := newReplica(name, proxies)
	restarted.settings.Incarnation = 2
	restarted.now, restarted.tickedAt, restarted.quota.startedAt = now, now, now
	restarted.heartbeats.lastAt = now - longAgo
	restarted.sync.active, restarted.sync.since, restarted.sync.polledAt = false, now, now
	return restarted
}
