package replica

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Loan is a lease of a part of the sender's quota to another proxy. It lasts for four heartbeat intervals from the time
// at which the borrower wrote the heartbeat that Count names. Lender and borrower each count from a time on their own
// clock, and the borrower's is earlier: the lease has ended there when the lender uses that part again.
type Loan struct {
	To    string  `msgpack:"t"` // the borrower
	Part  float64 `msgpack:"p"` // of the fleet's limits, 0 to 1
	Count int64   `msgpack:"c"` // Row.Count of the borrower's heartbeat
}

// The share of what all proxies may do together that this one may use. The sum over all that run stays at one in every
// state, by these rules and without a vote:
//
//   - Everyone named by the operators or ever met counts, here or not: an even share each.
//   - Silence takes nothing: who is cut off serves on. Only of those whose end is known (nothing listens where they did,
//     or they said so) the others take over, after Hold, and all but Floor of it.
//   - Who starts uses no more than that floor, until all others who are not gone have said that they know of its
//     incarnation and do not take it to be gone: what they hear late of its end is of an older one. So it does while it is
//     behind. A share falls at once.

// fleet is how many proxies there are, gone ones included.
func (r *Instance) fleet() int {
	return max(len(r.members), r.Proxies)
}

func (r *Instance) gone() int {
	n := 0
	for _, m := range r.members {
		if m.gone {
			n++
		}
	}
	return n
}

//   - Of its share a proxy may lend up to half, to those whose clients ask for more, by demand. A loan ends by itself, at the
//     borrower no later than at the lender; until then the lender does without, and says so to who waits for room.

// least is what one may use whom nobody has seen.
func (r *Instance) least() float64 { return r.Floor / float64(r.fleet()) }

// view is a hash of who counts, as which incarnation, and who is gone.
func (r *Instance) view() uint64 {
	sum := uint64(r.fleet())
	for _, m := range r.members {
		n := m.incarnation << 1
		if m.name == r.Me {
			n = r.Incarnation << 1
		}
		if m.gone {
			n |= 1
		}
		sum ^= xxhash.Sum64String(m.name) * uint64(2*n+1)
	}
	if r.views[0] != sum {
		copy(r.views[1:], r.views[:len(r.views)-1])
		r.views[0] = sum
	}
	return sum
}

// settle looks whether all who are not gone know of this process.
func (r *Instance) settle() {
	r.view()
	if r.settled || r.behind || r.now-r.began < r.loanSpan() && r.fleet() > 1 { // what an earlier process of its name had lent ends
		return
	}
	count := r.gone()
	for _, m := range r.members {
		if m.gone {
			continue
		}
		if m.name != r.Me && !m.knows {
			return
		}
		count++
	}
	if count < r.fleet() { // some were never met: they may be on the other side of a cut
		return
	}
	r.settled = true
	r.log("settled: all %d proxies know of this one, %d are gone", r.fleet(), r.gone())
}

// base is the share that this proxy has by now, before what is lent.
func (r *Instance) base() float64 {
	if !r.settled || r.behind {
		return r.least()
	}
	gone := float64(r.gone())
	return (1 - gone*r.least()) / (float64(r.fleet()) - gone)
}

// due is the share that this proxy may use by now.
func (r *Instance) due() float64 {
	if !r.settled || r.behind {
		return r.base()
	}
	part := max(r.base()-r.lentOut(), 0)
	for _, m := range r.members { // in order, or sums would differ in their last digits
		if l, ok := r.borrowed[m.name]; ok {
			if r.now < l.until {
				part += l.part
			} else {
				delete(r.borrowed, m.name)
			}
		}
	}
	return part
}

type stamp struct {
	count, incarnation int64
	at                 Time
}

type loan struct {
	to    string
	part  float64
	until Time
}

const (
	loanPulses = 4    // a loan is for so many pulses' time
	mostLoans  = 6    // in a pulse
	keeps      = 0.5  // part of its share that nobody lends
	worthwhile = 0.02 // of an even share; less is not lent to one
	idle       = 0.25 // of its share; where less is to spare it may be chance, and nothing is lent
)

// loanSpan is how long a loan lasts. All who count by it know the same proxies, or the lender's share has not settled.
func (r *Instance) loanSpan() Time { return loanPulses * (pulseLeast + Time(r.fleet())*pulseEach) }

func (r *Instance) lentOut() float64 {
	r.lent = slices.DeleteFunc(r.lent, func(l loan) bool { return r.now >= l.until })
	sum := 0.0
	for i, l := range r.lent { // of several to one only the largest can be in use
		largest := true
		for k, o := range r.lent {
			if o.to == l.to && (o.part > l.part || o.part == l.part && k < i) {
				largest = false
			}
		}
		if largest {
			sum += l.part
		}
	}
	return sum
}

// lend deals out what this proxy's clients do not need, by demand: it keeps what its demand is of the fleet's, and half of
// its share in any case. The others' deficits decide who gets how much.
func (r *Instance) lend() (loans []Loan) {
	if !r.settled || r.behind {
		return nil
	}
	sum := r.demand
	for _, m := range r.members {
		if m.name != r.Me && r.here(m) {
			sum += m.said.Demand
		}
	}
	base, total := r.base(), 0.0
	spare := base - max(keeps*base, r.demand/max(sum, 1e-9))
	if spare < idle*base || sum < 1 {
		return nil
	}
	lacks := func(m *member) float64 {
		if m.name == r.Me || !r.here(m) || m.said.Base < base/2 {
			return 0 // one that has not settled uses no loan
		}
		return max(m.said.Demand/sum-m.said.Base, 0)
	}
	for _, m := range r.members {
		total += lacks(m)
	}
	spare = min(spare, total) // all spare together may be more than is lacking: that does no harm
	from := r.chance.IntN(len(r.members))
	for i := range r.members {
		m := r.members[(from+i)%len(r.members)]
		if part := spare * lacks(m) / max(total, 1e-9); part >= worthwhile*base && len(loans) < mostLoans {
			loans = append(loans, Loan{To: m.name, Part: part, Count: m.pulse.Count})
			r.lent = append(r.lent, loan{m.name, part, r.now + r.loanSpan()})
		}
	}
	for r.lentOut() > base*(1-keeps)+1e-12 && len(loans) > 0 { // with earlier ones that are still out
		loans = loans[:len(loans)-1]
		r.lent = r.lent[:len(r.lent)-1]
	}
	return loans
}

// borrow takes a loan to this one from a pulse, for as long as is left of its time by when this one's own pulse was written.
func (r *Instance) borrow(m *member) {
	for _, l := range m.said.Loans {
		for _, p := range r.pulses {
			if l.To == r.Me && l.Count == p.count && p.incarnation == r.Incarnation && l.Part > 0 && l.Part <= m.said.Base/2+1e-9 {
				r.borrowed[m.name] = loan{m.name, l.Part, p.at + r.loanSpan()}
				return
			}
		}
	}
	// a pulse without one takes none back: what was lent is lent until its end
}

func (r *Instance) setShare() {
	was := r.share
	r.share = r.due()
	r.say(Decision{Act: SetShare, Share: r.share})
	if base := r.base(); base != r.said {
		r.log("share %.4f, before %.4f: %d proxies, %d gone, settled %v", r.share, was, r.fleet(), r.gone(), r.settled)
		r.said = base
	}
}
