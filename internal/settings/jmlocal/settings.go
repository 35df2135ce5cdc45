// Package jmlocal reads the settings file of one process: its addresses, its
// place in the fleet, and where the platform is. The file is JSON with comments.
package jmlocal

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is the instance's name, for logs.
	Name       string
	Address    netip.Addr
	DataCentre string
	// FirstPort and LastPort bound the ports for traffic between processes.
	FirstPort, LastPort uint16
	// Seeds are processes to ask for the directory while the platform is away.
	Seeds []netip.AddrPort
	// IsFirstStart is set when the whole system starts for the first time.
	IsFirstStart bool
	// Packets is where a balancer takes callers' packets. Its port is also that
	// of the callers.
	Packets netip.AddrPort
	// Outbound is where an agent takes its upstream's packets.
	Outbound netip.AddrPort
	// Ready is where a process answers whether it is ready.
	Ready netip.AddrPort
	// Upstream and Service are those of an agent.
	Upstream netip.AddrPort
	Service  string
	// Operator is where metrics are served. Without it they are not.
	Operator netip.AddrPort
	Platform Platform
}

// Platform is where the platform's store is.
type Platform struct {
	Address netip.AddrPort
}

// Role is what a process does.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Load reads and checks a settings file.
func Load(path string, role Role) (s *Settings, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "settings file %s", path)
		}
	}()
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return Parse(text, role)
}

// Parse reads and checks the content of a settings file. Unknown fields are
// left alone, since newer platforms may write more.
func Parse(text []byte, role Role) (s *Settings, err error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, err
	}
	s = &Settings{}
	if err = json.Unmarshal(plain, s); err != nil {
		return nil, err
	}
	return s, s.check(role)
}

func (s *Settings) check(role Role) error {
	switch {
	case !s.Address.IsValid():
		return missing("Address")
	case s.DataCentre == "":
		return missing("DataCentre")
	case s.FirstPort == 0 || s.LastPort < s.FirstPort:
		return eris.Errorf("FirstPort %d and LastPort %d are no range of ports", s.FirstPort, s.LastPort)
	case !isUsable(s.Packets):
		return missing("Packets")
	case !isUsable(s.Ready):
		return missing("Ready")
	case !isUsable(s.Platform.Address):
		return missing("Platform.Address")
	}
	if role != RoleAgent {
		return nil
	}
	switch {
	case !isUsable(s.Outbound):
		return missing("Outbound")
	case !isUsable(s.Upstream):
		return missing("Upstream")
	case s.Service == "":
		return missing("Service")
	}
	return nil
}

func missing(field string) error { return eris.Errorf("%s is missing or unusable", field) }

func isUsable(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

// NeedsRestart names the fields that differ in next and that a process takes
// over at its start only.
func (s *Settings) NeedsRestart(next *Settings) (fields []string) {
	note := func(name string, isChanged bool) {
		if isChanged {
			fields = append(fields, name)
		}
	}
	note("Address", s.Address != next.Address)
	note("DataCentre", s.DataCentre != next.DataCentre)
	note("FirstPort", s.FirstPort != next.FirstPort)
	note("Packets", s.Packets != next.Packets)
	note("Outbound", s.Outbound != next.Outbound)
	note("Ready", s.Ready != next.Ready)
	note("Upstream", s.Upstream != next.Upstream)
	note("Service", s.Service != next.Service)
	return fields
}
