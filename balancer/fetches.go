package balancer

import "slices"

// coalescer records which requests fetch a key from the origin and which wait for them. Entries are removed
// when a fetch completes.
type coalescer struct {
	leaders   map[uint64]int   // by key: the request that fetches it
	followers map[uint64][]int // by key: the requests that wait for the fetch
}

func newCoalescer() coalescer {
	return coalescer{leaders: map[uint64]int{}, followers: map[uint64][]int{}}
}

func (b *Balancer) unfollow(index int) {
	request := &b.requests[index]
	request.following = false
	b.coalescing.followers[request.Key] = slices.DeleteFunc(b.coalescing.followers[request.Key],
		func(follower int) bool { return follower == index })
}
