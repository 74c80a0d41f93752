package negativecache

import "fmt"

const (
	batchFor = Second / 20 // what comes within is told together
	renewed  = Second / 2  // how long Fleet's word is good for
	transit  = Second / 2  // that a word is on its way at most, between those who hold it
	settles  = Second      // in which what lies unread after a process stood still is read
)

// Proxy is one that may write.
type Proxy struct {
	Name  string
	Here  bool  // heard of within the stated term
	Gone  bool  // its process is known to have ended
	Wrote int64 // so many words on writes it has sent out, as its latest pulse says, of this incarnation
	Epoch int64 // its incarnation
}

// Instance decides for one proxy.
type Instance struct {
	Terms
	*Table
	shown   Figures
	now     Time
	writers map[string]*writer // proxies that were ever heard; emptied as they are forgotten by Fleet
	seq     int64              // own words on writes that went out
	wrote   []uint64           // not told yet
	absent  []uint64
	told    int // own words on what is missing
	saidAt  Time
	behind  bool
	deaf    Time   // others' words on what is missing are passed over until then
	parts   []part // of Grow, one for each tenant and one for who is none
	hold    Time   // writes that nobody told of may be carried out until then: nothing is believed, and then all is forgotten once more
	held    bool
	was     bool
	out     []Decision
}

// writer is what is known of the words of one proxy on its writes.
type writer struct {
	epoch int64
	have  int64          // all up to this one came
	ahead map[int64]bool // beyond it; as many as slots
	gone  bool           // its process is known to have ended
	away  bool           // it was not heard for a while, and what it wrote meanwhile has not come
	said  int64          // as many as its pulses say
	since Time           // some of these have been lacking since then, 0: none is
	seen  bool
}

// part is what one tenant may take of the table's growth.
type part struct {
	tokens float64
	at     Time
}

// New returns an instance and its table, which believes nothing yet.
func New(now Time, t Terms) *Instance {
	x := &Instance{Terms: t, Table: newTable(t.Entries, t.Believe), now: now, writers: map[string]*writer{}, saidAt: now, parts: make([]part, t.Tenants+1)}
	for i := range x.parts {
		x.parts[i] = part{x.most(), now}
	}
	return x
}

func (x *Instance) begin(now Time) { x.now, x.out = max(now, x.now), x.out[:0] }

func (x *Instance) log(format string, args ...any) {
	x.out = append(x.out, Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

// Sent is how many words on writes have gone out, for this proxy's pulse. The word itself is given out first.
func (x *Instance) Sent() int64 { return x.seq }

// Wrote hears that this proxy has taken a write on, which the table knows of already.
func (x *Instance) Wrote(now Time, hash uint64) []Decision {
	x.begin(now)
	x.wrote = append(x.wrote, hash)
	if len(x.wrote) >= maxReportKeys {
		x.tell()
	}
	return x.out
}

// most is how many entries a tenant's exchanges may add in a second.
func (x *Instance) most() float64 { return max(float64(x.Grow)/float64(max(x.Tenants, 1)), 1) }

// Learned takes the origin's word that it has no such key, with the ticket of the look-up, which was for a tenant, or for none: -1.
func (x *Instance) Learned(now Time, hash uint64, k Ticket, tenant int) []Decision {
	x.begin(now)
	p := &x.parts[0]
	if tenant >= 0 && tenant < x.Tenants {
		p = &x.parts[tenant+1]
	}
	p.tokens = min(p.tokens+float64(x.now-p.at)/float64(Second)*x.most(), x.most())
	if p.at = x.now; p.tokens < 1 {
		x.shown.GrowthLimited++
	} else if x.Table.recordAbsent(hash, k, x.now) {
		p.tokens--
		if len(x.absent) < 4*maxReportKeys {
			x.absent = append(x.absent, hash)
		}
	}
	return x.out
}

// tell gives out what was written, and then what is missing.
func (x *Instance) tell() {
	for len(x.wrote) > 0 {
		n := min(len(x.wrote), maxReportKeys)
		x.seq++
		x.out = append(x.out, Decision{Act: SayWrote, Slot: int(x.seq % reportSlots), Word: Word{Seq: x.seq, Hashes: append([]uint64(nil), x.wrote[:n]...)}})
		x.wrote = x.wrote[n:]
	}
	for n := min(len(x.absent), maxReportKeys); n > 0; n = 0 {
		x.told++
		x.out = append(x.out, Decision{Act: SayAbsent, Slot: x.told % reportSlots, Word: Word{Hashes: append([]uint64(nil), x.absent[:n]...)}})
		x.absent = x.absent[n:]
	}
	x.saidAt = x.now
}

// HeardWrote takes a word of another proxy's on what it wrote.
func (x *Instance) HeardWrote(now Time, from string, epoch int64, w Word) []Decision {
	x.begin(now)
	if w.Seq < 1 || len(w.Hashes) > maxReportKeys || from == x.Me {
		x.shown.RejectedFromPeers++
		return x.out
	}
	for _, h := range w.Hashes {
		x.Table.Wrote(h, x.now)
	}
	p := x.writer(from)
	if epoch != p.epoch {
		if epoch < p.epoch {
			return x.out // an earlier process's; its keys are out
		}
		x.anew(p, epoch)
	}
	if w.Seq > p.have && len(p.ahead) < 4*reportSlots {
		p.ahead[w.Seq] = true
	}
	for p.ahead[p.have+1] {
		p.have++
		delete(p.ahead, p.have)
	}
	return x.out
}

func (x *Instance) writer(name string) *writer {
	p := x.writers[name]
	if p == nil {
		p = &writer{ahead: map[int64]bool{}}
		x.writers[name] = p
	}
	return p
}

// anew begins the count of a process that was not known.
func (x *Instance) anew(p *writer, epoch int64) {
	*p = writer{epoch: epoch, ahead: map[int64]bool{}}
}

// HeardAbsent takes a word of another's on what the origin lacks, and how long ago it was said.
func (x *Instance) HeardAbsent(now Time, from string, w Word, age Time) []Decision {
	x.begin(now)
	if len(w.Hashes) > maxReportKeys || age < 0 || from == x.Me || x.now < x.deaf {
		x.shown.RejectedFromPeers++
		return x.out
	}
	for _, h := range w.Hashes {
		// it was found out within the batch's time before it was said, and ages do not count the time on the way
		if x.Table.recordPeerAbsent(h, x.now-age-batchFor-transit, x.now) {
			x.shown.PeerEntries++
		} else {
			x.shown.RejectedFromPeers++
		}
	}
	return x.out
}

// Lost hears that a write could not be told: its word counts as sent, so that others find out that they lack it.
func (x *Instance) Lost() { x.seq++ }

// Fleet takes all proxies that may write, and whether this one still catches up with them. It is called several times a second.
// Entries are believed only while all that are not gone are here, and what each says it wrote has come, or has not been
// lacking for longer than Terms.Grace; after that all is forgotten.
func (x *Instance) Fleet(now Time, all []Proxy, stated int, behind bool) []Decision {
	x.begin(now)
	believes := !behind && len(all) >= stated
	x.shown.AwaitedProxies = 0
	known := make(map[string]bool, len(all))
	forget, until := "", Time(0)
	for i := range all {
		q := &all[i]
		known[q.Name] = true
		if q.Name == x.Me {
			continue
		}
		p := x.writer(q.Name)
		if q.Gone { // what it wrote last may not have come, and may be carried out yet
			if !p.gone {
				p.gone, forget = true, q.Name+" has ended"
			}
			continue
		}
		if q.Epoch < p.epoch { // a pulse of an earlier process, of which a later one's words have come already
			believes = false
			continue
		}
		p.gone = false
		believes = believes && q.Here
		p.away = p.away || !q.Here
		switch {
		case q.Epoch > p.epoch && p.seen: // a new process: what the one before wrote last may not have come
			x.anew(p, q.Epoch)
			forget = q.Name + " has begun anew"
		case q.Epoch > p.epoch:
			x.anew(p, q.Epoch)
		}
		if p.said = max(p.said, q.Wrote); !p.seen { // what it wrote before it was met is older than all that is held here
			p.seen, p.have = true, max(p.have, p.said)
			forget = "met " + q.Name
		}
		if p.have >= p.said {
			p.since, p.away = 0, p.away && !q.Here
			continue
		}
		believes = believes && !p.away
		if x.shown.AwaitedProxies++; p.since == 0 {
			p.since = max(x.now, 1)
		} else if x.now-p.since >= x.Grace {
			forget = fmt.Sprintf("%d of %s's words on writes never came", p.said-p.have, q.Name)
			until = max(until, p.since+x.Terms.Believe/2) // it had sent them out by then
			p.have, p.since, p.away = p.said, 0, false
			clear(p.ahead)
		}
	}
	for name := range x.writers {
		if !known[name] {
			delete(x.writers, name)
		}
	}
	if behind && !x.behind { // it stood still, and what came meanwhile lies unread: how old that is nobody knows
		forget = "stood still, or started"
		x.deaf = x.now + settles
	}
	x.behind = behind
	if forget != "" {
		x.forget(forget)
		if until == 0 {
			until = x.now + x.Terms.Believe/2 // twice the longest overall timeout is the least that an entry lives
		}
		x.hold, x.held = max(x.hold, until), true
	}
	if x.held && x.now >= x.hold {
		x.Table.flush(x.now)
		x.held = false
	}
	believes = believes && !x.held
	if x.shown.Believes = believes; believes != x.was {
		x.was = believes
		x.log("missing keys believed %v: %d proxies, %d lacking words", believes, len(all), x.shown.AwaitedProxies)
	}
	if believes {
		x.Table.serveUntil(x.now + renewed)
	} else {
		x.Table.serveUntil(0)
	}
	return x.out
}

// forget clears the table: which keys were written since is not known.
func (x *Instance) forget(why string) {
	x.Table.flush(x.now)
	x.absent = x.absent[:0]
	if x.shown.Cleared++; x.shown.Cleared&(x.shown.Cleared-1) == 0 { // now and then
		x.log("missing keys forgotten: %s (%d times by now)", why, x.shown.Cleared)
	}
}

// Forget is an operator's word.
func (x *Instance) Forget(now Time) []Decision {
	x.begin(now)
	x.forget("an operator's word")
	return x.out
}

// Tick looks what time has brought. It is called some twenty times a second.
func (x *Instance) Tick(now Time) []Decision {
	x.begin(now)
	if (len(x.wrote) > 0 || len(x.absent) > 0) && x.now-x.saidAt >= batchFor {
		x.tell()
	}
	return x.out
}

// Shown is the figures by now.
func (x *Instance) Shown() Figures {
	f := x.shown
	f.Hits, f.Put, f.RejectedFull, f.Capacity = x.Table.hits.Load(), x.Table.stored.Load(), x.Table.rejectedFull.Load(), x.Table.capacity()
	return f
}
