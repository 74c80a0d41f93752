package gossip

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validPeersFile = `cluster = "c"
listen = "127.0.0.1:7946"
seeds = ["127.0.0.1:7946"]
`

// writePeersFile writes a peers file with the given text and returns its path.
func writePeersFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "peers.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// The error for an invalid peers file is a single line that names the file and the key.
func TestReadConfigErrorNamesFileAndKey(t *testing.T) {
	replace := func(from, to string) string { return strings.Replace(validPeersFile, from, to, 1) }
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", validPeersFile + "held_s = 1.0\n", "held_s: unknown"},
		{"number of wrong type", validPeersFile + "hold_s = \"x\"\n", "hold_s"},
		{"number too small", validPeersFile + "hold_s = 0.0\n", "hold_s: 0"},
		{"number too large", validPeersFile + "floor = 1.5\n", "floor: 1.5"},
		{"cluster empty", replace(`"c"`, `""`), "cluster: missing"},
		{"listen missing", replace("listen", "# listen"), "listen: missing"},
		{"listen unspecified", replace("127.0.0.1:7946", "0.0.0.0:7946"), "listen: no address that peers can reach"},
		{"listen without port", replace("127.0.0.1:7946", "127.0.0.1"), "listen: no address and port"},
		{"listen at port zero", replace("127.0.0.1:7946", "127.0.0.1:0"), "listen: no port"},
		{"advertised host name", validPeersFile + "advertise = \"here:1\"\n", "advertise: no address"},
		{"seed host name", replace(`["127.0.0.1:7946"]`, `["x:1"]`), "seeds: no address"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := writePeersFile(t, test.text)
			_, err := ReadConfig(file, "")
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), file) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q and %q", err, file, test.want)
			}
		})
	}
}

func TestReadConfigListenOverride(t *testing.T) {
	config, err := ReadConfig(writePeersFile(t, validPeersFile), "127.0.0.9:1")
	if err != nil || config.Listen != "127.0.0.9:1" || config.Advertise != config.Listen {
		t.Errorf("got config %+v, error %v, want both addresses overridden", config, err)
	}
}

func TestReadConfigMissingFile(t *testing.T) {
	if _, err := ReadConfig(writePeersFile(t, validPeersFile)+"x", ""); err == nil {
		t.Error("got no error, want one for a file that does not exist")
	}
}
