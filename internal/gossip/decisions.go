package gossip

import "woodproxy/replica"

// apply carries out the store's decisions in the given order. It must be called from the event loop.
func (a *Agent) apply(decisions []replica.Decision) {
	for i := range decisions {
		a.applyDecision(&decisions[i])
	}
}

func (a *Agent) applyDecision(decision *replica.Decision) {
	switch decision.Action {
	case replica.ActionGossip:
		a.broadcasts.add(&decision.Rows[0], a.newMessage(decision).encode())
	case replica.ActionSendDigest, replica.ActionReplyBusy, replica.ActionReplyInSync:
		a.sender.send(decision.Peer, a.newMessage(decision), bestEffort)
	case replica.ActionSendVersions, replica.ActionSendRows, replica.ActionRequestRows:
		a.sender.send(decision.Peer, a.newMessage(decision), reliable)
	case replica.ActionProbe:
		a.probe(decision)
	case replica.ActionRowChanged:
		a.rowChanged(&decision.Rows[0])
	case replica.ActionSetQuotaShare:
		a.handler.QuotaShareChanged(decision.Share)
		a.updateStatus()
	case replica.ActionLog:
		a.logger.Info("peers: " + decision.Text)
	}
}

// newMessage returns the message to be sent for a decision. The message shares the slices of the decision, so it must be
// encoded before the next call of the store.
func (a *Agent) newMessage(decision *replica.Decision) *message {
	m := &message{
		Sender:   a.name,
		Type:     decision.Action,
		Rows:     decision.Rows,
		Versions: decision.Versions,
		RowIDs:   decision.RowIDs,
		Buckets:  decision.Buckets,
	}
	if decision.Action == replica.ActionSendDigest {
		m.Digests = decision.Digest[:]
	}
	return m
}

// probe starts a connect probe of a proxy's address. If the connection is refused, the process has ended, and the store is
// notified.
func (a *Agent) probe(decision *replica.Decision) {
	name, incarnation := decision.Peer, decision.Incarnation
	a.prober.probe(a.ctx, decision.Address, func() {
		a.mailbox.offer(func() { a.apply(a.store.ConnectionRefused(a.now(), name, incarnation)) })
	})
}

// rowChanged passes a row that a peer has changed to the handler.
func (a *Agent) rowChanged(row *replica.Row) {
	switch row.Kind {
	case replica.KindHeartbeat, replica.KindDeparture: // used only by the store
	case replica.KindHealthObservation:
		a.handler.HealthReported(row.Key, row.Rank == 0)
	case replica.KindEndpoint:
		a.endpointChanged(row)
	default:
		a.handler.RowChanged(row)
	}
}

func (a *Agent) endpointChanged(row *replica.Row) {
	if !a.config.sharesEndpoints() {
		return
	}
	endpoint, err := decodeEndpoint(row)
	if err != nil {
		a.Faults.Add(1)
		return
	}
	a.handler.EndpointChanged(row.Epoch, endpoint)
}

// receive passes a message from a peer to the store and carries out the decisions. It must be called from the event loop.
func (a *Agent) receive(m *message) {
	switch m.Type {
	case replica.ActionGossip, replica.ActionSendRows:
		a.apply(a.store.HandleRows(a.now(), m.Sender, m.Rows))
	case replica.ActionSendDigest:
		if len(m.Digests) == replica.BucketCount {
			a.apply(a.store.HandleDigest(a.now(), m.Sender, replica.Digest(m.Digests)))
		}
	case replica.ActionSendVersions:
		a.apply(a.store.HandleVersions(a.now(), m.Sender, m.Buckets, m.Versions))
	case replica.ActionRequestRows:
		a.apply(a.store.HandleRowRequest(a.now(), m.Sender, m.RowIDs))
	case replica.ActionReplyBusy:
		a.apply(a.store.HandleBusy(a.now(), m.Sender))
	case replica.ActionReplyInSync:
		a.apply(a.store.HandleInSync(a.now(), m.Sender))
	default: // a message type of a later version, or an action that is not a message type
		a.Faults.Add(1)
	}
}
