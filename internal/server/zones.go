package server

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// Row takes what a peer says.
func (p *peers) Row(row *replica.Row) {
	switch row.Kind {
	case replica.Voice:
		p.voice(row)
	case replica.Order:
		p.order(row)
	case replica.Trial, replica.Beat:
		p.turn(row)
	case replica.Wrote, replica.Absent:
		p.word(row)
	}
}

// Fleet takes who the proxies are.
func (p *peers) Fleet(all []replica.Member, behind bool) {
	p.dutyFleet(all, behind)
	p.writers(all, behind)
	if p.place.Zones == nil || p.place.Zones.Apart {
		return
	}
	fleet := make([]zonehealth.Proxy, 0, len(all))
	for _, m := range all {
		fleet = append(fleet, zonehealth.Proxy{Name: m.Name, Zone: m.Zone, Here: m.State == "here", Gone: m.State == "gone"})
	}
	p.router.ZoneFleet(fleet, behind)
}

func (p *peers) voice(row *replica.Row) {
	var v zonehealth.Voice
	if p.place.Zones == nil || p.place.Zones.Apart || msgpack.Unmarshal(row.Body, &v) != nil {
		return
	}
	p.router.ZoneVoice(row.Writer, row.Key, v, zonehealth.Time(row.Age), zonehealth.Time(row.Life))
}

func (p *peers) order(row *replica.Row) {
	if p.place.Zones != nil {
		p.router.ZoneOrder(zonehealth.Order{
			Zone: row.Key, Want: zonehealth.Want(row.Rank), Epoch: row.Epoch, By: string(row.Body[:min(len(row.Body), 128)]),
			Force: row.Count != 0,
		})
	}
}

// speak has peers hear what this proxy says of a zone.
func (p *peers) speak(of string, v zonehealth.Voice, life zonehealth.Time) {
	if t := p.now.Load(); t != nil {
		if body, err := msgpack.Marshal(&v); err == nil {
			t.Speak(replica.Voice, of, replica.Time(life), body)
		}
	}
}

// autoLife is how long an order that takes back another goes round: longer than a proxy is away that may still hold that one.
const autoLife = 24 * 3600 * replica.Second

var errOff = errors.New("zones are not judged: no file of zones is named")

// Command takes an operator's order on a zone or region; epoch is that of the order which it is to replace, below zero:
// whichever stands. An error says why nothing has changed.
func (s *service) Command(name, want string, epoch int64, force bool) (string, error) {
	config := s.peers.place.Zones
	if config == nil {
		return "", errOff
	}
	w, ok := zonehealth.Wants[want]
	if !ok {
		return "", fmt.Errorf("%q: none of in, out, hold, auto", want)
	}
	shown, names := s.peers.router.ZonesShown(), config.Zones(name)
	if wrong := zonehealth.Check(shown, names, w, epoch, force); wrong != "" {
		return "", errors.New(wrong)
	}
	var said strings.Builder
	for _, z := range names {
		i := slices.IndexFunc(shown, func(s zonehealth.Shown) bool { return s.Name == z })
		o := zonehealth.Order{Zone: z, Want: w, Epoch: shown[i].Order.Epoch + 1, By: s.peers.place.Name, Force: force}
		if !s.peers.router.ZoneOrder(o) {
			return "", fmt.Errorf("zone %q: too busy to take it; nothing has changed there", z)
		}
		row := replica.Row{Kind: replica.Order, Key: z, Epoch: o.Epoch, Rank: uint8(w), Body: []byte(o.By)}
		if force {
			row.Count = 1
		}
		if w == zonehealth.Auto {
			row.Life = autoLife
		}
		if t := s.peers.now.Load(); t != nil {
			t.Put(row)
		}
		fmt.Fprintf(&said, "zone %s: %s, order %d\n", z, w, o.Epoch)
	}
	s.peers.log.Info("zones: ordered", zap.String("zone", name), zap.String("want", want), zap.Bool("force", force))
	return said.String(), nil
}

// Zones words how the zones stand, "": they are not judged.
func (s *service) Zones() string {
	config := s.peers.place.Zones
	if config == nil {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "this proxy stands in %q; %d regions\n", config.Zone, len(config.Regions))
	for _, z := range s.peers.router.ZonesShown() {
		how := z.Stand.State.String()
		switch {
		case z.Stand.State == zonehealth.In && z.Watched:
			how = "watched"
		case z.Own:
			how += " for others"
		}
		fmt.Fprintf(&b, "zone %s %s epoch %d step %d flaps %d open %.3f nodes %d for %d s; %d against from %d zones, %d for; of %d that tried it since %d in time, %d late, %d unanswered",
			z.Name, how, z.Stand.Epoch, z.Stand.Step, z.Stand.Flaps, z.Open, z.Nodes, z.Held/zonehealth.Second, z.Against, z.AgainstZones, z.For, z.Tried, z.Fine, z.Late, z.Lost)
		if n := len(z.By); n > 0 {
			fmt.Fprintf(&b, "; against: %s", strings.Join(z.By[:min(n, 8)], " "))
		}
		if z.Alone {
			b.WriteString("; passed by alone")
		}
		if o := z.Order; o.Epoch > 0 {
			fmt.Fprintf(&b, "; ordered %v by way of %s, order %d", o.Want, o.By, o.Epoch)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
