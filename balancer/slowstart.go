package balancer

// coldFull holds for a fresh node with as much in flight as its answers so far allow, or whose part of the
// budget is used up. The budget is what the rule lets all proxies send, cut to this proxy's part, with the
// capacity taken to be no more than what a warm node bears for this proxy.
func (b *Instance) coldFull(n *node) bool {
	age := b.now - n.Since
	if n.Since == 0 || age >= b.cold {
		return false
	}
	if n.out >= 1+n.answers/4 {
		return true
	}
	part := b.coldFrom + (1-b.coldFrom)*float64(max(age, 0))/float64(b.cold)
	// a node that serves one at a time does one in the time that answers take: no node can do less
	warm := b.count(0) / float64(max(b.caches, 1))
	rate := max(0.5*b.pushed*part*warm, b.share*part*float64(second)/max(b.took, 1))
	n.budget += rate * float64(b.now-n.budgetAt) / float64(second)
	// what a window of the rule has room for, saved up by all proxies, may come at one time; one from each of
	// many would be too much, so that a part of a send is one by chance
	window := rate * float64(b.pushedFor) / float64(second)
	n.budget = min(n.budget, 1.5*window, 1+window/4)
	n.budgetAt = b.now
	lot := min(n.budget, 1)
	n.budget -= lot
	return b.draw() >= lot
}
