package server

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"woodproxy/internal/configfile"
	"woodproxy/internal/settings"
	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// zonesFile is what the file of zones says. Times are in milliseconds.
type zonesFile struct {
	Zone    string   `toml:"zone"`  // in which this proxy stands, where settings do not say; the same file serves all where they do
	Zones   []string `toml:"zones"` // that nodes may have; where none is named, those that discovery tells
	Regions []struct {
		Name  string   `toml:"name"`
		Zones []string `toml:"zones"`
	} `toml:"region"`
	Quiet    float64 `toml:"quiet_ms"`
	Voices   float64 `toml:"voices"`
	Settle   float64 `toml:"settle_ms"`
	Hold     float64 `toml:"hold_ms"`
	MostHold float64 `toml:"most_hold_ms"`
	Step     float64 `toml:"step_ms"`
	Alone    bool    `toml:"alone"`
	Together bool    `toml:"together"`
}

// readZones reads the file of zones. An error is one line that names what is wrong.
func readZones(file, name string, book *settings.Book) (*zonehealth.Terms, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	f := &zonesFile{Voices: 0.2, Settle: 200, Hold: 2000, MostHold: 60000, Step: 1000, Alone: true, Together: true}
	if err := configfile.TOML(text, f); err != nil {
		return nil, fmt.Errorf("zones: %s: %w", file, err)
	}
	t, err := f.terms(name, book)
	if err != nil {
		return nil, fmt.Errorf("zones: %s: %w", file, err)
	}
	return t, nil
}

func (f *zonesFile) terms(name string, book *settings.Book) (*zonehealth.Terms, error) {
	shortest := zonehealth.Time(60 * zonehealth.Second)
	for _, r := range book.Terms.Routes {
		shortest = min(shortest, zonehealth.Time(r.Objective))
	}
	if f.Quiet == 0 {
		f.Quiet = max(float64(shortest)/10*0.6, 50)
	}
	for _, n := range []struct {
		key            string
		v, least, most float64
	}{
		{"quiet_ms", f.Quiet, 50, 60000},
		{"voices", f.Voices, 0.01, 1},
		{"settle_ms", f.Settle, 0, 60000},
		{"hold_ms", f.Hold, 100, 3600000},
		{"most_hold_ms", f.MostHold, f.Hold, 3600000},
		{"step_ms", f.Step, 100, 3600000},
	} {
		if !(n.v >= n.least && n.v <= n.most) {
			return nil, fmt.Errorf("%s: %v: not from %v to %v", n.key, n.v, n.least, n.most)
		}
	}
	listed := f.Zones
	if len(listed) == 0 {
		for z := range book.Zones {
			listed = append(listed, z)
		}
	} else if len(book.Zones) > 0 {
		for _, z := range listed {
			if _, ok := book.Zones[z]; !ok {
				return nil, fmt.Errorf("zones: %q: none of the settings'", z)
			}
		}
	}
	seen := map[string]bool{}
	for _, z := range f.Zones {
		if z == "" || len(z) > 100 || seen[z] {
			return nil, fmt.Errorf("zones: %q: missing, too long or doubled", z)
		}
		seen[z] = true
	}
	t := &zonehealth.Terms{
		Me: name, Zone: book.Locality, Shortest: shortest, Quiet: tenths(f.Quiet), Voices: f.Voices, Settle: tenths(f.Settle),
		Hold: tenths(f.Hold), MostHold: tenths(f.MostHold), Step: tenths(f.Step), Cold: zonehealth.Time(book.Terms.Cold), ColdFrom: book.Terms.ColdFrom,
		Alone: f.Alone, Apart: !f.Together,
	}
	if t.Zone == "" {
		t.Zone = f.Zone
	}
	if t.Zone != "" && len(listed) > 0 && !slices.Contains(listed, t.Zone) {
		return nil, fmt.Errorf("zone: %q: none of those that nodes may have", t.Zone)
	}
	names, within := map[string]bool{}, map[string]string{}
	for i, r := range f.Regions {
		if r.Name == "" || names[r.Name] || slices.Contains(listed, r.Name) {
			return nil, fmt.Errorf("region[%d].name: %q: missing, doubled or a zone's", i, r.Name)
		}
		names[r.Name] = true
		if len(r.Zones) < 2 {
			return nil, fmt.Errorf("region[%d].zones: %s: fewer than two", i, r.Name)
		}
		for _, z := range r.Zones {
			if other, ok := within[z]; ok {
				return nil, fmt.Errorf("region[%d].zones: %q: is in %s already", i, z, other)
			}
			if within[z] = r.Name; len(listed) > 0 && !slices.Contains(listed, z) {
				return nil, fmt.Errorf("region[%d].zones: %q: no node may have it", i, z)
			}
		}
		t.Regions = append(t.Regions, zonehealth.Region{Name: r.Name, Zones: r.Zones})
	}
	return t, nil
}

func tenths(ms float64) zonehealth.Time { return zonehealth.Time(settings.Tenths(ms)) }

// Zone is that in which the proxy stands, "": not known.
func (p *Place) Zone() string {
	if p.Zones != nil {
		return p.Zones.Zone
	}
	return p.Book.Locality
}

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
