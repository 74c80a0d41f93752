// Woodproxy routes exchanges to a fleet of cache servers.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"woodproxy/internal/server"
	"woodproxy/internal/wire"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
)

type place struct {
	Config     string `env:"GW_CONFIG" help:"The configuration, a JSON file." placeholder:"FILE"`
	Name       string `env:"GW_NAME" help:"This proxy's name, before the one in the file."`
	Listen     string `env:"GW_LISTEN" help:"Where clients connect, before the one in the file."`
	Discovery  string `env:"GW_DISCOVERY" help:"Where the list comes from, before the one in the file."`
	Management string `env:"GW_MANAGEMENT" help:"Where operators call, before the one in the file."`
	Peers      string `env:"GW_PEERS" help:"A file by which proxies talk with one another; without it they do not." placeholder:"FILE"`
	PeersAt    string `env:"GW_PEERS_LISTEN" name:"peers-listen" help:"Where peers meet this proxy, before the one in that file."`
	Zones      string `env:"GW_ZONES" help:"A file by which whole zones are left and returned to; without it they are not." placeholder:"FILE"`
	Turns      string `env:"GW_TURNS" help:"A file by which proxies that talk take turns; without it each does all for itself." placeholder:"FILE"`
	State      string `env:"GW_STATE" help:"A directory of its own where the proxy keeps the list and its peers for its next start; without it nothing." placeholder:"DIR"`
	Missing    string `env:"GW_MISSING" help:"A file by which keys are remembered that the origin lacks; without it they are not." placeholder:"FILE"`
	Moves      string `env:"GW_MOVES" help:"A file by which moves of shards are planned at the management address; without it they are not." placeholder:"FILE"`
	Shared     string `env:"TMPDIR" help:"A directory that a process shares with the one that replaces it."`
}

func (p *place) read() (*server.Place, error) {
	return server.Read(p.Config, server.Place{
		Name: p.Name, Listen: p.Listen, Discovery: p.Discovery, Management: p.Management,
		Own: true, Shared: p.Shared, Peers: p.Peers, PeersListen: p.PeersAt, ZonesFile: p.Zones, StateDir: p.State, MissingFile: p.Missing, MovesFile: p.Moves, TurnsFile: p.Turns,
	})
}

type serve struct{ place }

func (s *serve) Run() error {
	p, err := s.read()
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	// the environment is that of the start; where discovery is by now, only the file can tell
	again := func() (*server.Place, error) {
		return server.Read(s.Config, server.Place{
			Name: s.Name, Listen: s.Listen, Management: s.Management,
			Own: true, Shared: s.Shared, Peers: s.Peers, PeersListen: s.PeersAt, ZonesFile: s.Zones, StateDir: s.State, MissingFile: s.Missing, MovesFile: s.Moves, TurnsFile: s.Turns,
		})
	}
	return server.Serve(p, again, log, signals)
}

type check struct{ place }

func (c *check) Run() error {
	p, err := c.read()
	if err != nil {
		return err
	}
	if p.Management != "" { // a start would fail on it
		ln, err := net.Listen("tcp", p.Management)
		if err != nil {
			return fmt.Errorf("configuration: management: %w", err)
		}
		ln.Close()
	}
	if p.Talk != nil {
		if err := p.Talk.Free(); err != nil {
			return err
		}
		fmt.Printf("%s: good; cluster %s, %d seeds\n", c.Peers, p.Talk.Cluster, len(p.Talk.Seeds))
	}
	if p.Zones != nil {
		fmt.Printf("%s: good; this proxy stands in %q, %d regions\n", c.Zones, p.Zones.Zone, len(p.Zones.Regions))
	}
	if p.State != nil {
		fmt.Printf("%s: good; what this proxy knows is kept there\n", c.State)
	}
	if p.Missing != nil {
		fmt.Printf("%s: good; room for %d keys, each for %v s\n", c.Missing, p.Missing.Entries, float64(p.Missing.Believe)/1e4)
	}
	if p.Moves != nil {
		fmt.Printf("%s: good; slack %v, %d moves at a node, %d in all\n", c.Moves, p.Moves.Slack, p.Moves.PerNode, p.Moves.InAll)
	}
	if p.Turns != nil {
		fmt.Printf("%s: good; %d watchers, %d keepers\n", c.Turns, p.Turns.Watchers, p.Turns.Keepers)
	}
	fmt.Printf("%s: good; %d routes, %d tenants, %d proxies\n", c.Config, len(p.Book.Routes), len(p.Book.Tenants),
		p.Book.Terms.Proxies)
	if p.Untold {
		fmt.Println("limits.may-tell: no file of peers is named; nothing is told")
	}
	if p.Watch != nil {
		fmt.Println("other settings are watched")
	}
	return nil
}

type counters struct {
	Address string `arg:"" help:"Where the proxy listens."`
}

func (c *counters) Run() error {
	conn, err := net.DialTimeout("tcp", c.Address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(wire.AppendPlain(nil, "INFO")); err != nil {
		return err
	}
	text, err := wire.ReadBulk(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

type peers struct {
	Address string `arg:"" help:"The proxy's management address."`
}

func (p *peers) Run() error {
	return call(http.MethodGet, p.Address, "/control/peers")
}

// call makes an operator's call and prints the answer.
func call(method, address, path string) error {
	q, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	c := http.Client{Timeout: 2 * time.Second}
	r, err := c.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

type zonesCall struct {
	Address string `arg:"" help:"The proxy's management address."`
	Zone    string `arg:"" optional:"" help:"A zone or region to order something of; without it all are shown."`
	Want    string `arg:"" optional:"" enum:"in,out,hold,auto," default:"" help:"in, out, hold as it is, or auto: what the evidence says."`
	Epoch   int64  `default:"-1" help:"The number of the order that this one is to replace, 0: there is none; nothing changes if another stands."`
	Force   string `help:"\"leave no zone\": also if no zone would be left in."`
}

func (z *zonesCall) Run() error {
	if z.Zone == "" {
		return call(http.MethodGet, z.Address, "/control/zones")
	}
	if z.Want == "" {
		return errors.New("zones: in, out, hold or auto: missing")
	}
	words := url.Values{}
	if z.Epoch >= 0 {
		words.Set("epoch", strconv.FormatInt(z.Epoch, 10))
	}
	if z.Force != "" {
		words.Set("force", z.Force)
	}
	return call(http.MethodPost, z.Address, "/control/zones/"+url.PathEscape(z.Zone)+"/"+z.Want+"?"+words.Encode())
}

type version struct{}

func (*version) Run() error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("woodproxy", text)
	return nil
}

func main() {
	var cli struct {
		Serve    serve     `cmd:"" help:"Serve clients until told to stop."`
		Check    check     `cmd:"" help:"Say whether a configuration is good."`
		Counters counters  `cmd:"" help:"Print what a running proxy has counted since its start."`
		Peers    peers     `cmd:"" help:"Print how a running proxy stands with its peers."`
		Zones    zonesCall `cmd:"" help:"Print how zones stand with a running proxy and its peers, or order one in, out or held."`
		Version  version   `cmd:"" help:"Print the version."`
	}
	ctx := kong.Parse(&cli, kong.Name("woodproxy"), kong.Description("A router for fleets of cache servers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "woodproxy:", err)
		os.Exit(1)
	}
}
