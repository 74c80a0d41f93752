package server

import (
	"woodproxy/duties"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// turnKinds are the rows by which what the module says goes round.
var turnKinds = [...]replica.Kind{duties.Trial: replica.Trial, duties.Beat: replica.Beat}

// turn takes what another proxy says of what goes by turns.
func (p *peers) turn(row *replica.Row) {
	var s duties.Said
	if p.duties == nil || msgpack.Unmarshal(row.Body, &s) != nil {
		return
	}
	for k, kind := range turnKinds {
		if kind == row.Kind {
			p.duties.Heard(row.Writer, duties.Kind(k), row.Key, s, duties.Time(row.Age))
		}
	}
}

// dutyFleet tells who the proxies are.
func (p *peers) dutyFleet(all []replica.Member, behind bool) {
	if p.duties == nil {
		return
	}
	fleet := make([]duties.Proxy, 0, len(all))
	for _, m := range all {
		fleet = append(fleet, duties.Proxy{Name: m.Name, Zone: m.Zone, Here: m.State == "here"})
	}
	p.duties.Fleet(fleet, behind)
}

// sayTurn has peers hear what this proxy says.
func (p *peers) sayTurn(k duties.Kind, key string, s duties.Said, life duties.Time) {
	if t := p.now.Load(); t != nil {
		if body, err := msgpack.Marshal(&s); err == nil {
			t.Speak(turnKinds[k], key, replica.Time(life), body)
		}
	}
}

// Turns is how it stands, nil: nothing goes by turns.
func (s *service) Turns() any {
	if s.peers.duties == nil {
		return nil
	}
	return s.peers.duties.Shown()
}
