package replica

import "github.com/cespare/xxhash/v2"

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
	if r.settled || r.behind {
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

// due is the share that this proxy may use by now.
func (r *Instance) due() float64 {
	if !r.settled || r.behind {
		return r.least()
	}
	gone := float64(r.gone())
	return (1 - gone*r.least()) / (float64(r.fleet()) - gone)
}

func (r *Instance) setShare() {
	was := r.share
	r.share = r.due()
	r.say(Decision{Act: SetShare, Share: r.share})
	r.log("share %.4f, before %.4f: %d proxies, %d gone, settled %v", r.share, was, r.fleet(), r.gone(), r.settled)
}
