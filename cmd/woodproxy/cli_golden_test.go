package main_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"
)

// buildPrograms builds all programs of the module into a temporary directory and returns its path.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return dir
}

// command is a program to run with its arguments.
type command struct {
	program     string
	args        []string
	environment []string // the complete environment
	input       string
	dir         string
}

// output runs the command and returns its command line, exit code and output in the format of the golden files.
func (c *command) output(t *testing.T, programs string) string {
	t.Helper()
	process := exec.Command(filepath.Join(programs, c.program), c.args...)
	process.Dir, process.Env, process.Stdin = c.dir, append([]string{}, c.environment...), strings.NewReader(c.input)
	var stdout, stderr bytes.Buffer
	process.Stdout, process.Stderr = &stdout, &stderr
	err := process.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "$ %s", strings.Join(append(append([]string{}, c.environment...), c.program), " "))
	for _, arg := range c.args {
		fmt.Fprintf(&text, " %s", arg)
	}
	fmt.Fprintf(&text, "\nexit %d\n", process.ProcessState.ExitCode())
	if stdout.Len() > 0 {
		fmt.Fprintf(&text, "--- standard output\n%s", stdout.String())
	}
	if stderr.Len() > 0 {
		fmt.Fprintf(&text, "--- standard error\n%s", stderr.String())
	}
	return text.String() + "\n"
}

// outputs runs commands one after the other in the same directory and returns their outputs.
func outputs(t *testing.T, programs, dir string, all []command) string {
	t.Helper()
	var text strings.Builder
	for i := range all {
		all[i].dir = dir
		text.WriteString(all[i].output(t, programs))
	}
	return text.String()
}

func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const cliSettings = `{"replicas-of-me":2,"limits":{"max-upstream-tries":3,"may-cancel":true,"conn-idle":15000,
"connect-timeout":250,"retry-after":true,"max-retry-after":1000},"tick":5,"shapes":["std","origin"],
"zones":["a","b","c"],"locality":"a",
"rules":{"cold":8000,"fall":3000,"cold-from":0.3,"fall-multiple":3},"family-info":{"mode":"aside","origin-kind":1},
"routes":[{"name":"read","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"pure"},
{"name":"put","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"token","group":"all","dedup-window":6000}]}`

// cliConfig is the configuration of the command line tests. They only check it, and start no proxy with it.
const cliConfig = `{"name":"alpha","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","settings":` + cliSettings + `}`

// featureFiles contains the files of optional features by the flag that names them. ADDRESS is replaced by a free address.
var featureFiles = map[string]string{
	"peers":   "cluster = \"c\"\nlisten = \"ADDRESS\"\nseeds = [\"127.10.8.2:27946\"]\n",
	"zones":   "[[region]]\nname = \"east\"\nzones = [\"b\", \"c\"]\n",
	"turns":   "watchers = 8\nkeepers = 4\n",
	"missing": "entries = 65536\n",
	"moves":   "slack = 0.1\n",
}

// featureFlags writes the files of all optional features, creates the state directory and returns the flags that name them.
func featureFlags(t *testing.T, dir string) []string {
	t.Helper()
	if err := os.Mkdir(filepath.Join(dir, "state"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range featureFiles {
		writeFile(t, dir, name+".toml", strings.Replace(text, "ADDRESS", freeAddress(t), 1))
	}
	return []string{"--peers=peers.toml", "--zones=zones.toml", "--turns=turns.toml", "--missing=missing.toml", "--moves=moves.toml", "--state=state"}
}

var proxyHelp = []command{
	{program: "woodproxy"},
	{program: "woodproxy", args: []string{"--help"}},
	{program: "woodproxy", args: []string{"serve", "--help"}},
	{program: "woodproxy", args: []string{"check", "--help"}},
	{program: "woodproxy", args: []string{"counters", "--help"}},
	{program: "woodproxy", args: []string{"peers", "--help"}},
	{program: "woodproxy", args: []string{"zones", "--help"}},
	{program: "woodproxy", args: []string{"version", "--help"}},
}

func TestCommandLineGolden(t *testing.T) {
	programs := buildPrograms(t)
	for name, test := range map[string]func(t *testing.T, programs string){
		"woodproxy help":     testProxyHelp,
		"woodproxy commands": testProxyCommands,
		"woodproxy version":  testProxyVersion,
		"emulator":           testEmulator,
		"simhost":            testSimhost,
	} {
		t.Run(name, func(t *testing.T) { test(t, programs) })
	}
}

func testProxyHelp(t *testing.T, programs string) {
	goldentest.Text(t, "woodproxy_help.golden", outputs(t, programs, t.TempDir(), proxyHelp))
}

// testProxyCommands checks exit codes, error lines and the output of the check subcommand.
func testProxyCommands(t *testing.T, programs string) {
	dir := t.TempDir()
	flags := featureFlags(t, dir)
	writeFile(t, dir, "good.json", cliConfig)
	writeFile(t, dir, "shadow.json", strings.Replace(cliConfig, `"seed"`, `"watch":{"tick":6},"seed"`, 1))
	// Notifications require the key "me", which this configuration lacks.
	writeFile(t, dir, "notifying.json", strings.Replace(cliConfig, `"may-cancel"`, `"may-tell":true,"may-cancel"`, 1))
	writeFile(t, dir, "nameless.json", strings.Replace(cliConfig, `"name":"alpha",`, "", 1))
	writeFile(t, dir, "garbled.json", cliConfig[:len(cliConfig)/2])
	writeFile(t, dir, "bad.toml", "unknown_key = 1\n")
	proxy := func(args ...string) command { return command{program: "woodproxy", args: args} }
	all := []command{
		proxy("unknown"),
		proxy("--unknown"),
		proxy("serve", "--unknown"),
		proxy("serve"),
		proxy("serve", "--config=none.json"),
		proxy("serve", "--config=nameless.json"),
		proxy("serve", "--config=garbled.json"),
		proxy("check"),
		proxy("check", "--config=none.json"),
		proxy("check", "--config=nameless.json"),
		proxy("check", "--config=nameless.json", "--name=beta"),
		proxy("check", "--config=notifying.json"),
		proxy("check", "--config=good.json"),
		proxy("check", "--config=shadow.json"),
		proxy("check", "--config=good.json", "--listen=here"),
		proxy("check", "--config=good.json", "--discovery=here"),
		proxy("check", "--config=good.json", "--management=127.0.0.1:1"),
		proxy(append([]string{"check", "--config=good.json", "--management=127.0.0.1:0"}, flags...)...),
		proxy("check", "--config=good.json", "--peers=peers.toml", "--peers-listen=nowhere"),
		proxy("check", "--config=good.json", "--turns=turns.toml"),
		proxy("check", "--config=good.json", "--missing=missing.toml"),
		proxy("counters"),
		proxy("counters", "127.0.0.1:1"),
		proxy("peers"),
		proxy("peers", "127.0.0.1:1"),
		proxy("zones"),
		proxy("zones", "127.0.0.1:1"),
		proxy("zones", "127.0.0.1:1", "a"),
		proxy("zones", "127.0.0.1:1", "a", "sideways"),
		proxy("zones", "127.0.0.1:1", "a", "out", "--epoch=x"),
		proxy("zones", "127.0.0.1:1", "a", "out", "--epoch=3", "--force=leave no zone"),
	}
	for _, feature := range []string{"peers", "zones", "turns", "missing", "moves"} {
		args := []string{"check", "--config=good.json"}
		if feature == "turns" { // this flag requires --peers before its own file is read
			args = append(args, "--peers=peers.toml")
		}
		all = append(all, proxy(append(args[:len(args):len(args)], "--"+feature+"=bad.toml")...), proxy(append(args[:len(args):len(args)], "--"+feature+"=none.toml")...))
	}
	for _, variable := range []string{
		"GW_CONFIG=good.json", "GW_NAME=beta", "GW_LISTEN=here", "GW_DISCOVERY=here", "GW_MANAGEMENT=here",
		"GW_PEERS=bad.toml", "GW_ZONES=bad.toml", "GW_MISSING=bad.toml", "GW_MOVES=bad.toml", "GW_STATE=state", "GW_STATE=none",
	} {
		all = append(all, command{program: "woodproxy", args: []string{"check"}, environment: []string{"GW_CONFIG=nameless.json", "GW_NAME=beta", variable}})
	}
	all = append(all,
		command{program: "woodproxy", args: []string{"check", "--config=good.json"}, environment: []string{"GW_PEERS=peers.toml", "GW_TURNS=bad.toml"}},
		command{program: "woodproxy", args: []string{"check", "--config=good.json"}, environment: []string{"GW_PEERS=peers.toml", "GW_PEERS_LISTEN=nowhere"}})
	goldentest.Text(t, "woodproxy_commands.golden", outputs(t, programs, dir, all))
}

var versionLine = regexp.MustCompile(`\Awoodproxy \S+ go\S+\n\z`)

func testProxyVersion(t *testing.T, programs string) {
	text, err := exec.Command(filepath.Join(programs, "woodproxy"), "version").Output()
	if err != nil || !versionLine.Match(text) {
		t.Errorf("got version %q (%v)", text, err)
	}
}

var emulatorCommands = []command{
	{program: "emulator"},
	{program: "emulator", args: []string{"--help"}},
	{program: "emulator", args: []string{"check", "--help"}},
	{program: "emulator", args: []string{"play", "--help"}},
	{program: "emulator", args: []string{"experiment", "--help"}},
	{program: "emulator", args: []string{"compare", "--help"}},
	{program: "emulator", args: []string{"null", "--help"}},
	{program: "emulator", args: []string{"spread", "--help"}},
	{program: "emulator", args: []string{"chart", "--help"}},
	{program: "emulator", args: []string{"unknown"}},
	{program: "emulator", args: []string{"check"}},
	{program: "emulator", args: []string{"check", "none.toml"}},
	{program: "emulator", args: []string{"check", "bad.toml"}},
	{program: "emulator", args: []string{"play"}},
	{program: "emulator", args: []string{"play", "none.toml"}},
	{program: "emulator", args: []string{"play", "bad.toml"}},
	{program: "emulator", args: []string{"experiment", "none.toml"}},
	{program: "emulator", args: []string{"experiment", "none.toml", "--out=table.tsv"}},
	{program: "emulator", args: []string{"compare", "none.tsv"}},
	{program: "emulator", args: []string{"chart", "none.tsv", "--out=chart.svg"}},
	{program: "emulator", args: []string{"null"}},
	{program: "emulator", args: []string{"null", "--listen=here"}},
	{program: "emulator", args: []string{"null"}, environment: []string{"GW_LISTEN=here"}},
	{program: "emulator", args: []string{"spread", "--sizes=1"}},
	{program: "emulator", args: []string{"spread", "--sizes=10", "--loss=1"}},
}

func testEmulator(t *testing.T, programs string) {
	dir := t.TempDir()
	writeFile(t, dir, "bad.toml", "unknown_key = 1\n")
	goldentest.Text(t, "emulator.golden", outputs(t, programs, dir, emulatorCommands))
}

// testSimhost checks the exit code of simhost, and the error line for malformed input, which names the input line,
// the message and the field.
func testSimhost(t *testing.T, programs string) {
	host := func(input string) command { return command{program: "simhost", input: input} }
	all := []command{
		host(""),
		host("[\"mark\",1]\n[\"go\"]\n"),
		host("nonsense\n"),
		host("{}\n"),
		host("[\"go\"]\n"),
		host("[\"mark\",\"x\"]\n"),
		host("[\"mark\",1]\n"),
		host("[\"mark\",1]\n[\"nap\",1]\n[\"go\"]\n"),
		host("[\"mark\",1]\n[\"power-off\",1]\n[\"go\"]\n"),
		host("[\"mark\",1]\n[\"boot\",1,2,{}]\n[\"go\"]\n"),
		host("[\"mark\",1]\n[\"register\",16,[]]\n[\"go\"]\n"),
	}
	dir := t.TempDir()
	var text strings.Builder
	for i := range all {
		all[i].dir = dir
		fmt.Fprintf(&text, "input %q\n%s", all[i].input, all[i].output(t, programs))
	}
	goldentest.Text(t, "simhost.golden", text.String())
}
