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
		switch d.Action {
		case replica.ActionGossip:
			f.queueBroadcast(p, d.Rows[0])
		case replica.ActionRowChanged:
			f.learnRow(p, d.Rows[0])
		case replica.ActionSetQuotaShare:
			p.Quota = d.Share
		case replica.ActionLog:
			if f.Log != nil {
				f.Log(p.Number, d.Text)
			}
		default:
			f.applyToPeer(p, proxyNumber(d.Peer), d)
		}
	}
}

// learnRow notes a row that a proxy has learned from another.
func (f *Fleet) learnRow(p *Proxy, row replica.Row) {
	if row.Kind == replica.KindEndpoint {
		p.EndpointRows[row.Key] = row
	}
	if f.rowChanged != nil {
		f.rowChanged(p.Number, row)
	}
}

// applyToPeer carries out a decision about a peer: a message to it, or the check whether its process listens.
func (f *Fleet) applyToPeer(p *Proxy, to int, d replica.Decision) {
	if d.Action == replica.ActionProbe {
		f.probe(p, to, d)
		return
	}
	m, via, size := encode(d, ProxyName(p.Number))
	p.Bytes += size
	f.send(p.Number, to, via, func(receiver *Proxy) []replica.Decision { return m(receiver.Store, receiver.clock(f.Now)) })
}

// storeCall hands a message to the store of the proxy that receives it.
type storeCall func(store *replica.Store, now replica.Time) []replica.Decision

// encode returns the message of a decision, how it is sent and its size in bytes.
func encode(d replica.Decision, from string) (call storeCall, via transport, size int) {
	type store = *replica.Store
	switch d.Action {
	case replica.ActionSendDigest:
		call = func(s store, now replica.Time) []replica.Decision { return s.HandleDigest(now, from, d.Digest) }
		return call, datagram, digestBytes
	case replica.ActionSendVersions:
		call = func(s store, now replica.Time) []replica.Decision {
			return s.HandleVersions(now, from, d.Buckets, d.Versions)
		}
		return call, stream, rowVersionBytes * len(d.Versions)
	case replica.ActionSendRows:
		rows := slices.Clone(d.Rows)
		call = func(s store, now replica.Time) []replica.Decision { return s.HandleRows(now, from, rows) }
		return call, stream, rowBytes * len(rows)
	case replica.ActionRequestRows:
		call = func(s store, now replica.Time) []replica.Decision { return s.HandleRowRequest(now, from, d.RowIDs) }
		return call, stream, rowIDBytes * len(d.RowIDs)
	case replica.ActionReplyBusy:
		return func(s store, now replica.Time) []replica.Decision { return s.HandleBusy(now, from) }, datagram, 0
	case replica.ActionReplyInSync:
		return func(s store, now replica.Time) []replica.Decision { return s.HandleInSync(now, from) }, datagram, 0
	}
	panic(fmt.Sprintf("simnet: unknown decision %d", d.Action))
}

// probe connects to a peer: the connection is refused if its process has ended, and a link that is cut tells nothing.
func (f *Fleet) probe(p *Proxy, to int, d replica.Decision) {
	if !f.Proxies[to].Running && !f.cut(p.Number, to) && !f.cut(to, p.Number) {
		f.apply(p, p.Store.ConnectionRefused(p.clock(f.Now), d.Peer, d.Incarnation))
	}
}
