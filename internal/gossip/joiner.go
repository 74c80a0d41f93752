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
	joinInterval     = time.Second // minimum time between checks
	maxJoinAddresses = 3           // maximum number of addresses per attempt while this proxy has no peers
	joinRotation     = 10          // iterations of the event loop after which attempts start at the next address
)

// joiner joins the cluster and later rejoins proxies that memberlist has removed from its members or never had. Otherwise
// the two sides of a network partition would stay separate after it has healed, if both sides had removed each other's
// members. The methods due and check are called from the event loop; check runs attempt in a separate goroutine.
type joiner struct {
	config      *Config
	logger      *zap.Logger
	members     *memberlist.Memberlist
	memberCount *atomic.Int64 // number of members, updated by check
	background  *sync.WaitGroup

	lastCheck        time.Time
	attempting       atomic.Bool // an attempt is running; there is at most one at a time
	joined           atomic.Bool // this proxy has had a peer since the start
	standaloneLogged bool        // the failure to join has been logged; used only by attempt
}

// due reports whether joinInterval has passed since the last check.
func (j *joiner) due() bool { return time.Since(j.lastCheck) >= joinInterval }

// check starts an attempt to join some of the seeds and known proxies that are not members of memberlist. It starts none if
// all are members or the previous attempt is still running.
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

// missingAddresses returns the addresses of the seeds and of the known proxies that have not departed, without the
// addresses of members.
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
		// A proxy in replicated rows is not necessarily a member of memberlist yet. After a restart, a process receives
		// gossip that peers send to the address of its predecessor, but it can't reply before these peers are members.
		proxy := &proxies[i]
		if proxy.State != replica.MemberDeparted && isReachable(proxy.Address) && known.add(proxy.Address) {
			missing = append(missing, proxy.Address)
		}
	}
	return missing
}

// attempt joins the proxies at the addresses. It logs the first success, and the first failure as long as this proxy has
// not had a peer.
func (j *joiner) attempt(ctx context.Context, addresses []string) {
	defer j.attempting.Store(false)
	reached, err := j.members.Join(addresses)
	switch {
	case ctx.Err() != nil: // the agent was closed in the meantime
	case reached > 0:
		if !j.joined.Swap(true) {
			j.logger.Info("peers: joined", zap.Strings("by", addresses))
		}
	case err != nil && !j.joined.Load() && !j.standaloneLogged:
		j.standaloneLogged = true
		j.logger.Warn("peers: no seed reachable; running standalone", zap.Strings("seeds", addresses))
	}
}

// rotate returns count consecutive addresses that start at the offset and wrap around to the first address. The offset is
// taken modulo the number of addresses, which must be at least count.
func rotate(addresses []string, offset, count int) []string {
	selected := make([]string, 0, count)
	for i := range count {
		selected = append(selected, addresses[(offset+i)%len(addresses)])
	}
	return selected
}

// addressSet is a set of addresses in the form host:port.
type addressSet map[string]struct{}

// add adds an address and reports whether it was not in the set before.
func (s addressSet) add(address string) bool {
	if _, present := s[address]; present {
		return false
	}
	s[address] = struct{}{}
	return true
}
