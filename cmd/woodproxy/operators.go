package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	adminCallTimeout = 2 * time.Second
	maxAdminResponse = 4 << 20 // maximum number of bytes read of a response
	anyOverrideEpoch = -1      // the new override replaces the current one, whatever its number
)

// peersCommand implements the subcommand `woodproxy peers`.
type peersCommand struct {
	Address string `arg:"" help:"Address of the proxy's admin server."`
}

// Run prints the proxy's view of its peers.
func (c *peersCommand) Run() error {
	return callAdmin(http.MethodGet, c.Address, "/control/peers")
}

// zonesCommand implements the subcommand `woodproxy zones`.
type zonesCommand struct {
	Address string `arg:"" help:"Address of the proxy's admin server."`
	Zone    string `arg:"" optional:"" help:"Zone or region to override; without it, all zones are printed."`
	Want    string `arg:"" optional:"" enum:"in,out,hold,auto," default:"" help:"The override: in, out, hold (keep the current state) or auto (decide by votes)."`
	Epoch   int64  `default:"-1" help:"Number of the override to replace, 0 for none; nothing changes if another one is in effect. -1 replaces any."`
	Force   string `help:"Set to \"leave no zone\" to override a zone even if no other zone would serve keys."`
}

// Run prints the state of all zones, or sets an override if a zone or region is given.
func (c *zonesCommand) Run() error {
	if c.Zone == "" {
		return callAdmin(http.MethodGet, c.Address, "/control/zones")
	}
	if c.Want == "" {
		return errors.New("zones: in, out, hold or auto: missing")
	}
	query := url.Values{}
	if c.Epoch > anyOverrideEpoch {
		query.Set("epoch", strconv.FormatInt(c.Epoch, 10))
	}
	if c.Force != "" {
		query.Set("force", c.Force)
	}
	return callAdmin(http.MethodPost, c.Address, "/control/zones/"+url.PathEscape(c.Zone)+"/"+c.Want+"?"+query.Encode())
}

// callAdmin sends a request to an admin server and prints the response body. If the status is not 200, it returns an
// error with the text of the body.
func callAdmin(method, address, path string) error {
	request, err := http.NewRequest(method, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: adminCallTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponse))
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	_, err = os.Stdout.Write(text)
	return err
}
