package server

import (
	"fmt"
	"os"

	"woodproxy/duties"
	"woodproxy/internal/configfile"
	"woodproxy/internal/settings"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// turnsFile is what the file of turns says. Times are in milliseconds.
type turnsFile struct {
	Watchers int     `toml:"watchers"`
	Keepers  int     `toml:"keepers"`
	Trials   bool    `toml:"trials"`
	Rest     float64 `toml:"trial_ms"`
	Step     float64 `toml:"turn_ms"`
	Beat     float64 `toml:"beat_ms"`
	Patience float64 `toml:"patience_ms"`
}

// readTurns reads the file of turns. An error is one line that names what is wrong and what to do; it wraps one of the module's types
// where that found it.
func readTurns(file, name string, book *settings.Book) (*duties.Terms, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("turns: %w", err)
	}
	shortest := duties.Time(60 * duties.Second)
	for _, r := range book.Terms.Routes {
		shortest = min(shortest, duties.Time(r.Objective))
	}
	f := &turnsFile{Watchers: 0, Keepers: 0, Trials: true, Rest: max(float64(shortest)/10, 50), Step: 200, Beat: 700, Patience: 2500}
	if err := configfile.TOML(text, f); err != nil {
		return nil, fmt.Errorf("turns: %s: %w", file, err)
	}
	t := &duties.Terms{
		Me: name, Watchers: f.Watchers, Keepers: f.Keepers, Trials: f.Trials, Rest: duties.Time(settings.Tenths(f.Rest)),
		Step: duties.Time(settings.Tenths(f.Step)), Beat: duties.Time(settings.Tenths(f.Beat)), Patience: duties.Time(settings.Tenths(f.Patience)),
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("turns: %s: %w", file, err)
	}
	return t, nil
}

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
