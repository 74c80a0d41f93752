package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

const (
	joinInterval     = time.Second
	maxJoinAddresses = 3  // of one attempt, while this proxy has no peers
	joinRotation     = 10 // iterations of the event loop after which attempts start at the next address
)

// joiner joins the cluster and later rejoins proxies that memberlist has lost or never met: without that a network
// partition that has healed would not be noticed once both sides have forgotten each other. Its methods are called
// from the event loop.
type joiner struct {
	config      *Config
	logger      *zap.Logger
	members     *memberlist.Memberlist
	memberCount *atomic.Int64 // updated by check
	background  *sync.WaitGroup

	lastCheck        time.Time
	attempting       atomic.Bool // one attempt at a time
	joined           atomic.Bool // this proxy has had a peer
	standaloneLogged bool        // used by attempts alone
}

// due tells whether it is time for the next check.
func (j *joiner) due() bool { return time.Since(j.lastCheck) >= joinInterval }

// check starts an attempt to join some of the seeds and known proxies that are not among memberlist's members, if
// there are any and the previous attempt has ended.
func (j *joiner) check(ctx context.Context, iteration int, proxies []replica.Member) {
	j.lastCheck = time.Now()
	missing := j.missingAddresses(proxies)
	memberCount := j.members.NumMembers()
	j.memberCount.Store(int64(memberCount))
	hasPeers := memberCount > 1
	if hasPeers {
		j.joined.Store(true)
	}
	if len(missing) == 0 || j.attempting.Swap(true) {
		return
	}
	count := min(maxJoinAddresses, len(missing))
	if hasPeers {
		count = 1
	}
	addresses := rotate(missing, iteration/joinRotation, count)
	j.background.Go(func() { j.attempt(ctx, addresses) })
}

// missingAddresses returns the addresses of seeds and of proxies that have not departed, without those of members.
func (j *joiner) missingAddresses(proxies []replica.Member) []string {
	known := addressSet{j.config.Advertise: {}}
	for _, node := range j.members.Members() {
		known.add(node.Address())
	}
	var missing []string
	for _, seed := range j.config.Seeds {
		if known.add(seed) {
			missing = append(missing, seed)
		}
	}
	for i := range proxies {
		// A proxy that others gossip about may still be unknown to memberlist: a process that restarts gets the
		// gossip that is sent to its predecessor's address, and could answer nobody.
		proxy := &proxies[i]
		if proxy.State != replica.MemberDeparted && isReachable(proxy.Address) && known.add(proxy.Address) {
			missing = append(missing, proxy.Address)
		}
	}
	return missing
}

// attempt joins the addresses, and logs the first success, or a first failure that leaves this proxy without peers.
func (j *joiner) attempt(ctx context.Context, addresses []string) {
	defer j.attempting.Store(false)
	reached, err := j.members.Join(addresses)
	switch {
	case ctx.Err() != nil: // the agent was closed meanwhile
	case reached > 0:
		if !j.joined.Swap(true) {
			j.logger.Info("peers: joined", zap.Strings("by", addresses))
		}
	case err != nil && !j.joined.Load() && !j.standaloneLogged:
		j.standaloneLogged = true
		j.logger.Warn("peers: no seed reachable; running standalone", zap.Strings("seeds", addresses))
	}
}

// rotate returns count of the addresses, which are at least as many, from that offset on and then from the first one.
func rotate(addresses []string, offset, count int) []string {
	selected := make([]string, 0, count)
	for i := range count {
		selected = append(selected, addresses[(offset+i)%len(addresses)])
	}
	return selected
}

// addressSet is a set of addresses with ports.
type addressSet map[string]struct{}

// add adds an address and tells whether it was new.
func (s addressSet) add(address string) bool {
	if _, present := s[address]; present {
		return false
	}
	s[address] = struct{}{}
	return true
}
