package balancer

import "slices"

// coalescer knows which requests fetch a key from the origin and which wait for them. Both maps are emptied
// as fetches complete.
type coalescer struct {
	leaders   map[uint64]int   // by key: the request that fetches it
	followers map[uint64][]int // by key: the requests that wait for its fetch
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
