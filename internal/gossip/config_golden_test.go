package gossip

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"
)

// readPeers reads a peers file with the given text. The text of a returned error does not contain the temporary directory.
func readPeers(t *testing.T, text, listen string) (*Config, error) {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "peers.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := ReadConfig(file, listen)
	if err != nil {
		return nil, errors.New(goldentest.StableError(err, dir))
	}
	return config, nil
}

// describePeers returns the configuration with one line per key of the peers file, or the error.
func describePeers(t *testing.T, text, listen string) string {
	t.Helper()
	config, err := readPeers(t, text, listen)
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	list := "not stated"
	if config.ShareEndpoints != nil {
		list = fmt.Sprint(*config.ShareEndpoints)
	}
	var lines strings.Builder
	line := func(label string, value any) { fmt.Fprintf(&lines, "%s = %v\n", label, value) }
	line("cluster", config.Cluster)
	line("listen", config.Listen)
	line("advertise", config.Advertise)
	line("seeds", config.Seeds)
	line("hold_s", config.TakeoverDelaySeconds)
	line("floor", config.QuotaFloor)
	line("list", list)
	return lines.String()
}

func TestPeersFileEveryKey(t *testing.T) {
	every := goldentest.Read(t, "peers_every_key.toml")
	goldentest.Text(t, "peers_every_key.golden", describePeers(t, every, ""))
	goldentest.Text(t, "peers_every_key_left_out.golden",
		goldentest.LeaveOutEachLine(every, func(text string) string { return describePeers(t, text, "") }))
}

func TestPeersFileDefaults(t *testing.T) {
	goldentest.Text(t, "peers_defaults.golden", describePeers(t, goldentest.Read(t, "peers_required_keys.toml"), ""))
}

// The listen parameter of ReadConfig overrides the listen address in the file.
func TestPeersFileListenOverride(t *testing.T) {
	required := goldentest.Read(t, "peers_required_keys.toml")
	goldentest.Text(t, "peers_listen_override.golden", describePeers(t, required, "127.0.0.9:7009"))
}

func TestPeersFileDeployed(t *testing.T) {
	text, err := os.ReadFile("../../deploy/peers.toml")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Text(t, "peers_deployed.golden", describePeers(t, string(text), ""))
}

// invalidPeersFiles lists invalid peers files and the wanted errors. Each file is peers_every_key.toml with one replacement.
var invalidPeersFiles = []struct{ name, from, to, want string }{
	{
		"empty cluster",
		`cluster = "harbour"`, `cluster = ""`,
		"peers: peers.toml: cluster: missing or too long",
	},
	{
		"cluster too long",
		`"harbour"`, `"` + strings.Repeat("h", 101) + `"`,
		"peers: peers.toml: cluster: missing or too long",
	},
	{
		"cluster as a number",
		`cluster = "harbour"`, `cluster = 7`,
		"peers: peers.toml: line 1: cluster: " +
			"toml: cannot decode TOML integer into struct field FIELD of type string",
	},
	{
		"unknown key",
		`cluster = "harbour"`, `fleet = "harbour"`,
		"peers: peers.toml: line 1: fleet: unknown",
	},
	{
		"key twice",
		`cluster = "harbour"`, "cluster = \"harbour\"\ncluster = \"harbour\"",
		"peers: peers.toml: line 2: cluster: toml: key cluster is already defined",
	},
	{
		"no equals sign",
		`cluster = "harbour"`, `cluster "harbour"`,
		"peers: peers.toml: line 1: : toml: expected '=' after key",
	},
	{
		"listen missing",
		`listen = "127.0.0.3:7001"`, ``,
		"peers: peers.toml: listen: missing",
	},
	{
		"listen without port",
		`127.0.0.3:7001`, `127.0.0.3`,
		`peers: peers.toml: listen: no address and port: "127.0.0.3"`,
	},
	{
		"listen at port zero",
		`127.0.0.3:7001`, `127.0.0.3:0`,
		`peers: peers.toml: listen: no port: "127.0.0.3:0"`,
	},
	{
		"listen unspecified",
		`127.0.0.3:7001`, `0.0.0.0:7001`,
		`peers: peers.toml: listen: no address that peers can reach: "0.0.0.0:7001"`,
	},
	{
		"advertised host name",
		`192.0.2.7:7002`, `proxy-1:7002`,
		`peers: peers.toml: advertise: no address that peers can reach: "proxy-1:7002"`,
	},
	{
		"seed port too large",
		`192.0.2.8:7003`, `192.0.2.8:70030`,
		`peers: peers.toml: seeds: no port: "192.0.2.8:70030"`,
	},
	{
		"seed multicast",
		`192.0.2.8:7003`, `239.0.0.1:7003`,
		`peers: peers.toml: seeds: no address that peers can reach: "239.0.0.1:7003"`,
	},
	{
		"too many seeds",
		`"192.0.2.8:7003"`, strings.Repeat(`"192.0.2.8:7003", `, 64) + `"192.0.2.8:7003"`,
		"peers: peers.toml: seeds: more than 64",
	},
	{
		"hold too short",
		`hold_s = 7.25`, `hold_s = 0.4`,
		"peers: peers.toml: hold_s: 0.4: not from 0.5 to 600",
	},
	{
		"hold too long",
		`hold_s = 7.25`, `hold_s = 601`,
		"peers: peers.toml: hold_s: 601: not from 0.5 to 600",
	},
	{
		"hold as text",
		`hold_s = 7.25`, `hold_s = "7.25"`,
		"peers: peers.toml: line 5: hold_s: " +
			"toml: cannot decode TOML string into struct field FIELD of type float64",
	},
	{
		"floor too small",
		`floor = 0.375`, `floor = 0.009`,
		"peers: peers.toml: floor: 0.009: not from 0.01 to 1",
	},
	{
		"floor not a number",
		`floor = 0.375`, `floor = nan`,
		"peers: peers.toml: floor: NaN: not from 0.01 to 1",
	},
	{
		"list as text",
		`list = false`, `list = "no"`,
		"peers: peers.toml: line 7: list: " +
			"toml: cannot decode TOML string into struct field FIELD of type bool",
	},
}

func TestPeersFileInvalid(t *testing.T) {
	every := goldentest.Read(t, "peers_every_key.toml")
	for _, test := range invalidPeersFiles {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(every, test.from, test.to, 1)
			if text == every {
				t.Errorf("text %s to replace is not in peers_every_key.toml", test.from)
			}
			_, err := readPeers(t, text, "")
			if err == nil {
				err = errors.New("no error")
			}
			if err.Error() != test.want {
				t.Errorf("got error %q, want %q", err, test.want)
			}
		})
	}
	t.Run("missing file", func(t *testing.T) {
		_, err := ReadConfig("testdata/absent.toml", "")
		if err == nil || err.Error() != "peers: open testdata/absent.toml: no such file or directory" {
			t.Errorf("got error %v, want that the file does not exist", err)
		}
	})
}

// CheckListenAddress returns an error that names the key if the address is in use for TCP or UDP.
func TestPeersFileAddressInUse(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeListener(t, tcp) })
	udp := listenPacketOnly(t)
	t.Cleanup(func() { closeListener(t, udp) })
	for _, address := range []net.Addr{tcp.Addr(), udp.LocalAddr()} {
		config, err := readPeers(t, goldentest.Read(t, "peers_required_keys.toml"), address.String())
		if err != nil {
			t.Fatal(err)
		}
		want := fmt.Sprintf("peers: listen: listen %s %s: bind: address already in use", address.Network(), address)
		if err := config.CheckListenAddress(); err == nil || err.Error() != want {
			t.Errorf("%v: got error %v, want %s", address, err, want)
		}
	}
}

// listenPacketOnly listens at a UDP port whose number is free for TCP.
func listenPacketOnly(t *testing.T) net.PacketConn {
	t.Helper()
	const attempts = 50
	for range attempts {
		tcp, err := net.Listen("tcp", "127.0.0.1:0") // which proves that no connection in TIME_WAIT has the port
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		closeListener(t, tcp)
		if err == nil {
			return udp
		}
	}
	t.Fatal("no port is free for both TCP and UDP")
	return nil
}

func closeListener(t *testing.T, listener io.Closer) {
	t.Helper()
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}
