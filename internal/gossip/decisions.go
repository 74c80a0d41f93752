package gossip

import "woodproxy/replica"

// apply carries out the store's decisions in their order. It is called from the event loop.
func (a *Agent) apply(decisions []replica.Decision) {
	for i := range decisions {
		a.applyDecision(&decisions[i])
	}
}

func (a *Agent) applyDecision(decision *replica.Decision) {
	switch decision.Act {
	case replica.Spread:
		a.broadcasts.add(&decision.Rows[0], a.newMessage(decision).encode())
	case replica.Digest, replica.Busy, replica.Same:
		a.sender.send(decision.To, a.newMessage(decision), bestEffort)
	case replica.Heads, replica.Rows, replica.Want:
		a.sender.send(decision.To, a.newMessage(decision), reliable)
	case replica.Probe:
		a.probe(decision)
	case replica.Changed:
		a.rowChanged(&decision.Rows[0])
	case replica.SetShare:
		a.handler.QuotaShareChanged(decision.Share)
		a.updateStatus()
	case replica.Log:
		a.logger.Info("peers: " + decision.Text)
	}
}

// newMessage returns the message that a decision asks to send. It shares the decision's slices and has to be encoded
// before the store is called again.
func (a *Agent) newMessage(decision *replica.Decision) *message {
	m := &message{
		Sender:   a.name,
		Type:     decision.Act,
		Rows:     decision.Rows,
		Versions: decision.Heads,
		RowIDs:   decision.IDs,
		Buckets:  decision.Which,
	}
	if decision.Act == replica.Digest {
		m.Digests = decision.Sums[:]
	}
	return m
}

// probe checks whether the process at a proxy's address has ended, and reports to the store if it has.
func (a *Agent) probe(decision *replica.Decision) {
	name, incarnation := decision.To, decision.Epoch
	a.prober.probe(a.ctx, decision.Address, func() {
		a.mailbox.offer(func() { a.apply(a.store.Refused(a.now(), name, incarnation)) })
	})
}

// rowChanged hands a row that a peer wrote to the proxy.
func (a *Agent) rowChanged(row *replica.Row) {
	switch row.Kind {
	case replica.Pulse, replica.Gone: // of interest to the store alone
	case replica.Sight:
		a.handler.HealthReported(row.Key, row.Rank == 0)
	case replica.Node:
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

// receive takes a message from a peer. It is called from the event loop.
func (a *Agent) receive(m *message) {
	switch m.Type {
	case replica.Spread, replica.Rows:
		a.apply(a.store.Rows(a.now(), m.Sender, m.Rows))
	case replica.Digest:
		if len(m.Digests) == replica.Buckets {
			a.apply(a.store.Digest(a.now(), m.Sender, replica.Sums(m.Digests)))
		}
	case replica.Heads:
		a.apply(a.store.Heads(a.now(), m.Sender, m.Buckets, m.Versions))
	case replica.Want:
		a.apply(a.store.Want(a.now(), m.Sender, m.RowIDs))
	case replica.Busy:
		a.apply(a.store.Busy(a.now(), m.Sender))
	case replica.Same:
		a.apply(a.store.Same(a.now(), m.Sender))
	default: // of a later version, or a decision that is no message
		a.Faults.Add(1)
	}
}
