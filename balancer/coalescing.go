package balancer

import "slices"

// mayFollow reports whether the current request can wait, once, for another request's fetch of the same key.
func (b *Balancer) mayFollow() bool {
	request := b.current
	leader, isFetched := b.coalescing.leaders[request.Key]
	return request.HasKey && !request.Write && !request.hasFollowed && !request.queued &&
		isFetched && leader != b.currentIndex
}

// follow makes the current request wait for the other one's fetch, for half of the remaining time at most.
func (b *Balancer) follow() {
	request := b.current
	request.hasFollowed, request.following = true, true
	b.coalescing.followers[request.Key] = append(b.coalescing.followers[request.Key], b.currentIndex)
	b.setDeadline(b.currentIndex, b.now+(request.giveUpAt-b.now)/2)
	b.releaseCurrent()
}

// leadFetch lets other requests follow the current one if it is a read and its key has no leader yet.
func (b *Balancer) leadFetch() {
	request := b.current
	if _, isFetched := b.coalescing.leaders[request.Key]; request.HasKey && !request.Write && !isFetched {
		b.coalescing.leaders[request.Key] = b.currentIndex
		request.leadsFetch = true
	}
}

// completeFetch ends the waiting of the followers. They are sent to the cache, which now holds the value.
func (b *Balancer) completeFetch(leader *requestState) {
	leader.leadsFetch = false
	delete(b.coalescing.leaders, leader.Key)
	for _, index := range slices.Backward(b.coalescing.followers[leader.Key]) {
		follower := &b.requests[index]
		follower.following, follower.needsOrigin = false, false
		follower.triedEndpoints = follower.triedEndpoints[:0]
		b.clearDeadline(index)
		b.pending = append(b.pending, index)
	}
	delete(b.coalescing.followers, leader.Key)
}
