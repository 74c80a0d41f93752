package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"woodproxy/internal/configfile"
	"woodproxy/internal/emulator"
)

// maxRounds is the maximum number of rounds that a file may state.
const maxRounds = 1000

// Experiment is the content of an experiment file. In each round, each variant runs each scenario once with each seed.
type Experiment struct {
	Name          string    `toml:"experiment"` // this key marks the file as an experiment
	ScenarioFiles []string  `toml:"days"`       // relative to the directory of the experiment file
	Seeds         []uint64  `toml:"seeds"`
	Rounds        int       `toml:"rounds"` // 1 to 1000, by default 1
	Variants      []Variant `toml:"variant"`

	scenarios []*emulator.Scenario // one for each file
}

// IsExperiment reports whether a file looks like an experiment rather than a scenario. It returns false for a file that
// cannot be read.
func IsExperiment(file string) bool {
	text, err := os.ReadFile(file)
	return err == nil && (bytes.HasPrefix(text, []byte("experiment")) || bytes.Contains(text, []byte("\nexperiment")))
}

// Read reads and checks an experiment file and the scenarios that it names. An error is one line that names the file and
// the invalid line or key.
func Read(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	e := &Experiment{Rounds: 1}
	if err := configfile.DecodeTOML(text, e); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	if err := e.readScenarios(filepath.Dir(file)); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	return e, nil
}

// check returns the first error in the experiment file itself, without its scenarios.
func (e *Experiment) check() error {
	switch {
	case e.Name == "":
		return errors.New("experiment: missing")
	case len(e.ScenarioFiles) == 0:
		return errors.New("days: missing")
	case len(e.Seeds) == 0:
		return errors.New("seeds: missing")
	case len(e.Variants) == 0:
		return errors.New("variant: missing")
	case e.Rounds < 1 || e.Rounds > maxRounds:
		return fmt.Errorf("rounds: %d: not from 1 to %d", e.Rounds, maxRounds)
	}
	if err := checkSeeds(e.Seeds); err != nil {
		return err
	}
	return checkVariantNames(e.Variants)
}

func checkSeeds(seeds []uint64) error {
	seen := map[uint64]bool{}
	for i, seed := range seeds {
		if seen[seed] {
			return fmt.Errorf("seeds[%d]: %d: doubled", i, seed)
		}
		seen[seed] = true
	}
	return nil
}

// checkVariantNames rejects empty and duplicate names, and names with a separator of tables or of paths.
func checkVariantNames(variants []Variant) error {
	seen := map[string]bool{}
	for i, v := range variants {
		if v.Name == "" || seen[v.Name] || strings.ContainsAny(v.Name, "|\t\n/") {
			return fmt.Errorf("variant[%d].name: missing, doubled or with a separator of tables or paths", i)
		}
		seen[v.Name] = true
	}
	return nil
}

// readScenarios reads the scenarios, and checks each with the changes of each variant.
func (e *Experiment) readScenarios(dir string) error {
	for _, file := range e.ScenarioFiles {
		scenario, err := emulator.ReadScenario(filepath.Join(dir, file))
		if err != nil {
			return err
		}
		for _, v := range e.Variants {
			if err := v.apply(scenario).Check(); err != nil {
				return fmt.Errorf("variant %s: %s: %w", v.Name, file, err)
			}
		}
		e.scenarios = append(e.scenarios, scenario)
	}
	return nil
}
