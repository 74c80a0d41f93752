package simnet

import (
	"fmt"
	"slices"

	"woodproxy/replica"
)

// Approximate sizes on the wire, in bytes.
const (
	digestBytes     = 600
	rowVersionBytes = 16
	rowBytes        = 100
	rowIDBytes      = 8
)

// apply carries out the decisions of a proxy in order.
func (f *Fleet) apply(p *Proxy, decisions []replica.Decision) {
	// The store reuses the slice in its next call, and carrying out a decision may call the store.
	for _, d := range slices.Clone(decisions) {
		switch d.Action {
		case replica.ActionGossip:
			f.queueBroadcast(p, d.Rows[0])
		case replica.ActionRowChanged:
			f.recordRow(p, d.Rows[0])
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

// recordRow records a row that a proxy has received from a peer, and passes it to rowChanged.
func (f *Fleet) recordRow(p *Proxy, row replica.Row) {
	if row.Kind == replica.KindEndpoint {
		p.EndpointRows[row.Key] = row
	}
	if f.rowChanged != nil {
		f.rowChanged(p.Number, row)
	}
}

// applyToPeer carries out a decision about a peer: it sends a message to the peer or probes the peer's process.
func (f *Fleet) applyToPeer(p *Proxy, to int, d replica.Decision) {
	if d.Action == replica.ActionProbe {
		f.probe(p, to, d)
		return
	}
	call, via, size := messageFor(d, ProxyName(p.Number))
	p.Bytes += size
	f.send(p.Number, to, via, func(receiver *Proxy) []replica.Decision { return call(receiver.Store, receiver.clock(f.Now)) })
}

// storeCall passes a message to the store of the receiving proxy and returns the store's decisions.
type storeCall func(store *replica.Store, now replica.Time) []replica.Decision

// messageFor returns the message of a decision as a call to the receiver's store, its transport and its approximate size in
// bytes. It panics if the decision sends no message.
func messageFor(d replica.Decision, from string) (call storeCall, via transport, size int) {
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

// probe connects to a peer and reports a refused connection to the store. The connection is refused if the peer's process
// has ended and the link is not cut in either direction.
func (f *Fleet) probe(p *Proxy, to int, d replica.Decision) {
	if !f.Proxies[to].Running && !f.cut(p.Number, to) && !f.cut(to, p.Number) {
		f.apply(p, p.Store.ConnectionRefused(p.clock(f.Now), d.Peer, d.Incarnation))
	}
}
