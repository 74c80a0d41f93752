package zonehealth

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Orders of operators, and what they are shown.

// Order takes an operator's word on a zone; of two the later stands, then the stricter.
func (z *Instance) Order(now Time, d Order) []Decision {
	z.begin(now)
	o := z.find(d.Zone)
	if o == nil || d.Want > KeepOut || d.Epoch < 1 || cmp.Or(cmp.Compare(d.Epoch, o.order.Epoch), cmp.Compare(d.Want, o.order.Want)) <= 0 {
		return z.out
	}
	was := o.order.Want
	d.Zone, d.By = o.name, strings.Clone(d.By)
	o.order, o.suspect, o.witness = d, 0, 0
	if d.Want != was {
		z.log("zone %s: ordered %v by way of %s (order %d, before %v)", o.name, d.Want, d.By, d.Epoch, was)
	}
	if was == KeepOut && d.Want == Auto && o.stand.State == In { // its nodes may have been restarted: all at once would push them over
		if len(z.here) > 1 {
			z.take(o, o.after(Returning, 0, false), "no longer ordered out")
		} else {
			z.turn(o, Returning, 1)
		}
	}
	z.apply()
	return z.out
}

// Zones names the zones that a name stands for: its own, or those of a region.
func (t *Terms) Zones(name string) []string {
	for _, r := range t.Regions {
		if r.Name == name {
			return r.Zones
		}
	}
	return []string{name}
}

// Check tells what is wrong with an order, "": nothing. An epoch that is not negative has to be that of the order that stands
// for each of the zones, 0: none.
func Check(shown []Shown, names []string, want Want, epoch int64, force bool) string {
	stays := false
	for i := range shown {
		s := &shown[i]
		stays = stays || s.Nodes > 0 && !slices.Contains(names, s.Name) && s.Open > 0 && s.Order.Want != KeepOut
	}
	for _, name := range names {
		i := slices.IndexFunc(shown, func(s Shown) bool { return s.Name == name })
		if i < 0 {
			return fmt.Sprintf("zone %q: no node has it", name)
		}
		if now := shown[i].Order.Epoch; epoch >= 0 && now != epoch {
			return fmt.Sprintf("zone %q: order %d does not stand, but %d", name, epoch, now)
		}
	}
	if want == KeepOut && !stays && !force {
		return fmt.Sprintf("zone %q: no other zone would be left in", names[0])
	}
	return ""
}

// Shown lists how all zones stand, by name.
func (z *Instance) Shown(now Time) []Shown {
	all := make([]Shown, 0, len(z.zones))
	z.now = max(now, z.now)
	for _, o := range z.zones {
		s := Shown{
			Name: o.name, Nodes: o.nodes, Open: o.told, Stand: o.stand, Alone: o.alone.State != In, Own: z.own(o) && o.stand.State != In,
			Order: o.order, Against: o.tally.against, For: o.tally.fors, AgainstZones: len(o.tally.from), Watched: o.watched,
			Held: z.now - o.since, By: slices.Clone(o.tally.by), Tried: o.tally.tried, Fine: o.tally.fine, Late: o.tally.slow, Lost: o.tally.losers,
		}
		all = append(all, s)
	}
	return all
}
