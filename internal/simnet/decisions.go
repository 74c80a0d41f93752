package simnet

import (
	"fmt"
	"slices"

	"woodproxy/replica"
)

// Approximate sizes on the wire, in bytes.
const (
	digestBytes     = 600
	rowVersionBytes = 16 // version of one row
	rowBytes        = 100
	rowIDBytes      = 8
)

// apply carries out the decisions of a proxy, in their order.
func (f *Fleet) apply(p *Proxy, decisions []replica.Decision) {
	// The slice is reused by the next call to the store, which a decision may lead to.
	for _, d := range slices.Clone(decisions) {
		switch d.Act {
		case replica.Spread:
			f.queueBroadcast(p, d.Rows[0])
		case replica.Changed:
			f.learnRow(p, d.Rows[0])
		case replica.SetShare:
			p.Quota = d.Share
		case replica.Log:
			if f.Log != nil {
				f.Log(p.Number, d.Text)
			}
		default:
			f.applyToPeer(p, proxyNumber(d.To), d)
		}
	}
}

// learnRow notes a row that a proxy has learned from another.
func (f *Fleet) learnRow(p *Proxy, row replica.Row) {
	if row.Kind == replica.Node {
		p.EndpointRows[row.Key] = row
	}
	if f.rowChanged != nil {
		f.rowChanged(p.Number, row)
	}
}

// applyToPeer carries out a decision about a peer: a message to it, or the check whether its process listens.
func (f *Fleet) applyToPeer(p *Proxy, to int, d replica.Decision) {
	if d.Act == replica.Probe {
		f.probe(p, to, d)
		return
	}
	m, via, size := encode(d, ProxyName(p.Number))
	p.Bytes += size
	f.send(p.Number, to, via, func(receiver *Proxy) []replica.Decision { return m(receiver.Store, receiver.clock(f.Now)) })
}

// storeCall hands a message to the store of the proxy that receives it.
type storeCall func(store *replica.Instance, now replica.Time) []replica.Decision

// encode returns the message of a decision, how it is sent and its size in bytes.
func encode(d replica.Decision, from string) (call storeCall, via transport, size int) {
	type store = *replica.Instance
	switch d.Act {
	case replica.Digest:
		call = func(s store, now replica.Time) []replica.Decision { return s.Digest(now, from, d.Sums) }
		return call, datagram, digestBytes
	case replica.Heads:
		call = func(s store, now replica.Time) []replica.Decision { return s.Heads(now, from, d.Which, d.Heads) }
		return call, stream, rowVersionBytes * len(d.Heads)
	case replica.Rows:
		rows := slices.Clone(d.Rows)
		call = func(s store, now replica.Time) []replica.Decision { return s.Rows(now, from, rows) }
		return call, stream, rowBytes * len(rows)
	case replica.Want:
		call = func(s store, now replica.Time) []replica.Decision { return s.Want(now, from, d.IDs) }
		return call, stream, rowIDBytes * len(d.IDs)
	case replica.Busy:
		return func(s store, now replica.Time) []replica.Decision { return s.Busy(now, from) }, datagram, 0
	case replica.Same:
		return func(s store, now replica.Time) []replica.Decision { return s.Same(now, from) }, datagram, 0
	}
	panic(fmt.Sprintf("simnet: unknown decision %d", d.Act))
}

// probe connects to a peer: the connection is refused if its process has ended, and a link that is cut tells nothing.
func (f *Fleet) probe(p *Proxy, to int, d replica.Decision) {
	if !f.Proxies[to].Running && !f.cut(p.Number, to) && !f.cut(to, p.Number) {
		f.apply(p, p.Store.Refused(p.clock(f.Now), d.To, d.Epoch))
	}
}
