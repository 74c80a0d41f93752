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
	adminCallTimeout  = 2 * time.Second
	maxAdminAnswer    = 4 << 20 // bytes of an answer that are read
	anyZoneOrderEpoch = -1      // the order replaces whichever stands
)

// peersCommand is `woodproxy peers`.
type peersCommand struct {
	Address string `arg:"" help:"The proxy's management address."`
}

// Run prints the proxy's view of its peers.
func (c *peersCommand) Run() error {
	return callAdmin(http.MethodGet, c.Address, "/control/peers")
}

// zonesCommand is `woodproxy zones`.
type zonesCommand struct {
	Address string `arg:"" help:"The proxy's management address."`
	Zone    string `arg:"" optional:"" help:"A zone or region to order something of; without it all are shown."`
	Want    string `arg:"" optional:"" enum:"in,out,hold,auto," default:"" help:"in, out, hold as it is, or auto: what the evidence says."`
	Epoch   int64  `default:"-1" help:"The number of the order that this one is to replace, 0: there is none; nothing changes if another stands."`
	Force   string `help:"\"leave no zone\": also if no zone would be left in."`
}

// Run prints how the zones stand, or where a zone is named orders something of it.
func (c *zonesCommand) Run() error {
	if c.Zone == "" {
		return callAdmin(http.MethodGet, c.Address, "/control/zones")
	}
	if c.Want == "" {
		return errors.New("zones: in, out, hold or auto: missing")
	}
	query := url.Values{}
	if c.Epoch > anyZoneOrderEpoch {
		query.Set("epoch", strconv.FormatInt(c.Epoch, 10))
	}
	if c.Force != "" {
		query.Set("force", c.Force)
	}
	return callAdmin(http.MethodPost, c.Address, "/control/zones/"+url.PathEscape(c.Zone)+"/"+c.Want+"?"+query.Encode())
}

// callAdmin makes an operators' call at a management address and prints the answer. An answer other than 200 is an error
// with the answer's text.
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
	defer func() { _ = response.Body.Close() }() // all that is wanted has been read by then
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAdminAnswer))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	_, err = os.Stdout.Write(text)
	return err
}
