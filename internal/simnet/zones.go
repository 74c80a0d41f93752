package simnet

import (
	"slices"

	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// Zoned is a fleet in zones: proxies, and caches that proxies try as chance has it.
type Zoned struct {
	*World
	ZoneTerms
	Nodes []*ZoneNode
	Minds []*zonehealth.Instance
	Parts []map[int]float64 // by proxy and node, the part of keys that pass it by
	Lost  int               // tries that nobody answered
	tries map[int][]pending
	Lies  map[int]func(v *zonehealth.Voice) // proxies that tell what is not so
	Told  func(proxy int, text string)
}

// ZoneTerms of such a fleet.
type ZoneTerms struct {
	Names []string
	Each  int     // nodes a zone
	Rate  float64 // tries a second and proxy
}

// ZoneNode is a cache.
type ZoneNode struct {
	Zone   int
	Answer func(proxy int) (took replica.Time, ending zonehealth.Ending) // nil: in three milliseconds
}

type pending struct {
	proxy, node int
	sent        replica.Time
	ending      zonehealth.Ending
	life        *zonehealth.Instance
}

// NewZoned starts a fleet whose proxies stand in the zones in turn.
func NewZoned(t Terms, zt ZoneTerms, seed uint64) *Zoned {
	z := &Zoned{ZoneTerms: zt, tries: map[int][]pending{}, Lies: map[int]func(*zonehealth.Voice){}}
	t.ZoneOf = func(i int) string { return zt.Names[i%len(zt.Names)] }
	z.World = New(t, seed)
	for k := range zt.Each * len(zt.Names) {
		z.Nodes = append(z.Nodes, &ZoneNode{Zone: k % len(zt.Names)})
	}
	for i := range z.Proxies {
		z.Minds, z.Parts = append(z.Minds, nil), append(z.Parts, nil)
		z.Begin(i)
	}
	z.World.heard = z.hear
	return z
}

// Begin has a proxy's zones judged anew, as after a start.
func (z *Zoned) Begin(i int) {
	t := zonehealth.Terms{
		Me: Name(i), Zone: z.ZoneOf(i), Shortest: zonehealth.Second / 2, Quiet: 3 * zonehealth.Second / 10, Voices: 0.2, Settle: zonehealth.Second / 5,
		Hold: 2 * zonehealth.Second, MostHold: 60 * zonehealth.Second, Step: zonehealth.Second, Cold: 3 * zonehealth.Second, ColdFrom: 0.4, Alone: true,
	}
	z.Minds[i] = zonehealth.New(zonehealth.Time(z.Now), t)
	z.Parts[i] = map[int]float64{}
	z.List(i)
}

// List tells a proxy of all nodes.
func (z *Zoned) List(i int) {
	var all []zonehealth.Node
	for k, n := range z.Nodes {
		all = append(all, zonehealth.Node{Index: k, Name: "c" + Name(k), Zone: z.Names[n.Zone]})
	}
	z.done(i, z.Minds[i].Nodes(zonehealth.Time(z.Now), all))
}

func (z *Zoned) hear(i int, row replica.Row) {
	var v zonehealth.Voice
	if row.Kind == replica.Voice && msgpack.Unmarshal(row.Body, &v) == nil {
		z.done(i, z.Minds[i].Voice(zonehealth.Time(z.Now), row.Writer, row.Key, v, zonehealth.Time(row.Age), zonehealth.Time(row.Life)))
	}
}

func (z *Zoned) done(i int, ds []zonehealth.Decision) {
	for _, d := range slices.Clone(ds) {
		switch d.Act {
		case zonehealth.Bar:
			z.Parts[i][d.Node] = d.Part
		case zonehealth.Speak:
			if lie := z.Lies[i]; lie != nil {
				lie(&d.Voice)
			}
			z.Speak(i, d.Zone, d.Voice, d.Life)
		case zonehealth.Log:
			if z.Told != nil {
				z.Told(i, d.Text)
			}
		}
	}
}

// Speak has a proxy say something.
func (z *Zoned) Speak(i int, of string, v zonehealth.Voice, life zonehealth.Time) {
	body, err := msgpack.Marshal(&v)
	if err != nil {
		panic(err)
	}
	z.Do(i, func(p *Proxy, now replica.Time) []replica.Decision {
		return p.Instance.Speak(now, replica.Voice, of, replica.Time(life), body)
	})
}

// Play lets time pass.
func (z *Zoned) Play(span replica.Time, check func()) {
	z.Run(span, func() {
		came := z.tries[z.step]
		delete(z.tries, z.step)
		for _, t := range came {
			if p := z.Proxies[t.proxy]; p.Alive && z.Minds[t.proxy] == t.life {
				t.life.Ended(zonehealth.Time(z.Now), t.node, t.ending, zonehealth.Time(z.Now-t.sent))
			}
		}
		for i, p := range z.Proxies {
			if !p.Alive || p.Still {
				continue
			}
			if z.chance.Float64() < z.Rate*float64(Step)/float64(replica.Second) {
				z.try(i)
			}
			if z.step%2 == 0 {
				m := z.Minds[i]
				var fleet []zonehealth.Proxy
				for _, o := range p.Members() {
					fleet = append(fleet, zonehealth.Proxy{Name: o.Name, Zone: o.Zone, Here: o.State == "here", Gone: o.State == "gone"})
				}
				m.Fleet(zonehealth.Time(z.Now), fleet, p.Behind())
				z.done(i, m.Tick(zonehealth.Time(z.Now)))
			}
		}
		if check != nil {
			check()
		}
	})
}

// try has a proxy send one try: to the node that the key is owned by, or to the next that it does not pass by.
func (z *Zoned) try(i int) {
	k, part := z.chance.IntN(len(z.Nodes)), z.chance.Float64()
	for n := 0; n < len(z.Nodes) && part < z.Parts[i][k]; n++ {
		k = (k + 1) % len(z.Nodes)
	}
	took, ending := replica.Second/300, zonehealth.Answered
	if f := z.Nodes[k].Answer; f != nil {
		took, ending = f(i)
	}
	if ending == zonehealth.Nothing || ending == zonehealth.Shut {
		z.Lost++
	}
	z.Minds[i].Sent(zonehealth.Time(z.Now), k)
	at := z.step + max(1, int(took/Step))
	z.tries[at] = append(z.tries[at], pending{i, k, z.Now, ending, z.Minds[i]})
}

// Silent is how a node meets tries that nobody answers.
func Silent(int) (replica.Time, zonehealth.Ending) { return replica.Second / 2, zonehealth.Nothing }

// Dies has a zone's nodes and proxies vanish, or come back.
func (z *Zoned) Dies(zone int, dead bool) {
	for _, n := range z.Nodes {
		if n.Zone == zone {
			if n.Answer = nil; dead {
				n.Answer = Silent
			}
		}
	}
	for i := range z.Proxies {
		if i%len(z.Names) != zone {
			continue
		}
		if dead {
			z.Proxies[i].Alive = false
		} else {
			z.Start(i)
			z.Begin(i)
		}
	}
}

// Open is the part of a zone's keys that a proxy serves there.
func (z *Zoned) Open(i, zone int) float64 { return z.shown(i, zone).Open }

// Stand is how a proxy sees a zone.
func (z *Zoned) Stand(i, zone int) zonehealth.Stand { return z.shown(i, zone).Stand }

func (z *Zoned) shown(i, zone int) zonehealth.Shown {
	for _, s := range z.Minds[i].Shown(zonehealth.Time(z.Now)) {
		if s.Name == z.Names[zone] {
			return s
		}
	}
	return zonehealth.Shown{Open: 1}
}
