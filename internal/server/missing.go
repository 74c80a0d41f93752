package server

import (
	"errors"
	"fmt"

	"woodproxy/negativecache"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// sayMissing has peers hear what this proxy wrote, or what the origin lacks.
func (p *peers) sayMissing(d *negativecache.Decision) {
	t := p.now.Load()
	if t == nil {
		return
	}
	body, err := msgpack.Marshal(&d.Word)
	if err != nil {
		return
	}
	kind := replica.Wrote
	if d.Act == negativecache.SayAbsent {
		kind = replica.Absent
	}
	t.Speak(kind, fmt.Sprint("s", d.Slot), replica.Time(p.place.Missing.Believe), body)
}

// word takes what another proxy says of keys.
func (p *peers) word(row *replica.Row) {
	var w negativecache.Word
	if p.absent == nil || msgpack.Unmarshal(row.Body, &w) != nil {
		return
	}
	if row.Kind == replica.Wrote {
		p.absent.HeardWrote(row.Writer, row.Epoch, w)
	} else {
		p.absent.HeardAbsent(row.Writer, w, negativecache.Time(row.Age))
	}
}

// writers tells who may write.
func (p *peers) writers(all []replica.Member, behind bool) {
	if p.absent == nil {
		return
	}
	fleet := make([]negativecache.Proxy, 0, len(all))
	for _, m := range all {
		fleet = append(fleet, negativecache.Proxy{Name: m.Name, Here: m.State == "here", Gone: m.State == "gone", Wrote: m.Wrote, Epoch: m.Incarnation})
	}
	p.absent.Fleet(fleet, max(p.place.Book.Terms.Proxies, 1), behind)
}

// Writes is how many words on writes this proxy has sent out, for its pulse.
func (p *peers) Writes() int64 {
	if p.absent == nil {
		return 0
	}
	return p.absent.Sent()
}

// Missing is how it stands, nil: no keys are known to be missing here.
func (s *service) Missing() any {
	if s.peers.absent == nil {
		return nil
	}
	return s.peers.absent.Shown()
}

var errMissingOff = errors.New("no file of missing keys is named")

// Forget has all missing keys be forgotten here and, as they lapse, elsewhere.
func (s *service) Forget() error {
	switch {
	case s.peers.absent == nil:
		return errMissingOff
	case !s.peers.absent.Forget():
		return errors.New("too busy to take it; ask again")
	}
	return nil
}
