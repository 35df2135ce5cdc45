// Package jmlocal reads the settings file of one process of pass-through flows:
// its addresses, its data centre, and the address of the platform. The file is
// JSON with comments.
package jmlocal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is the instance's name, for logs.
	Name       string
	Address    netip.Addr
	DataCentre string
	// FirstPort and LastPort bound the ports for traffic between processes. Only
	// FirstPort is used.
	FirstPort, LastPort uint16
	// Seeds are processes to ask for the directory until this process has a copy.
	// Their ports are ignored.
	Seeds []netip.AddrPort
	// IsFirstStart is set when the whole system starts for the first time.
	IsFirstStart bool
	// MaxFlowAge is the age from which a flow may be lost, 0 if the platform gives none.
	MaxFlowAge jmtree.Duration
	// DrainTime is how long upstreams serve at least after the platform has confirmed that they
	// are leaving, 0 if the platform does not say.
	DrainTime jmtree.Duration
	// ColdOverrun and ColdSlack say how far an upstream that warms up may go beyond the
	// rate that it bears: rate * ColdOverrun + ColdSlack new flows in any second. They
	// are 1 and 0 if the platform gives none.
	ColdOverrun, ColdSlack float64
	// Packets is the address where a balancer receives callers' packets. Packets
	// to callers are sent to the same port.
	Packets netip.AddrPort
	// Outbound is the address where an agent receives its upstream's packets.
	Outbound netip.AddrPort
	// Ready is the address where a process answers readiness checks.
	Ready netip.AddrPort
	// Upstream is the address of an agent's upstream, and Service its service.
	Upstream netip.AddrPort
	Service  string
	// Operator is the address to serve metrics at. If it is not set, none are served.
	Operator netip.AddrPort
	Platform Platform
	// Shares divides an upstream's work fairly while requests wait. If it is not set,
	// only priorities and times count.
	Shares *Shares
}

// Shares are the settings of the division of an upstream's work among routes and client
// accounts. A caller whose address is in no account's networks is an account of its own.
type Shares struct {
	Accounts []jasminemoor.ClientAccount
}

// maxAccounts bounds the client accounts, which are compared with each new flow's caller.
const maxAccounts = 256

func (s *Shares) check() error {
	if len(s.Accounts) > maxAccounts {
		return eris.Errorf("Shares.Accounts has %d accounts, at most %d are allowed", len(s.Accounts), maxAccounts)
	}
	names := make(map[string]bool)
	for i := range s.Accounts {
		a := &s.Accounts[i]
		switch field := fmt.Sprintf("Shares.Accounts[%d]", i); {
		case a.Name == "":
			return missing(field + ".Name")
		case names[a.Name]:
			return eris.Errorf("%s.Name %q is used twice", field, a.Name)
		case len(a.Networks) == 0:
			return missing(field + ".Networks")
		case a.Weight < 0:
			return eris.Errorf("%s.Weight %v is negative", field, a.Weight)
		case a.MaxWaiting < 0:
			return eris.Errorf("%s.MaxWaiting %d is negative", field, a.MaxWaiting)
		}
		names[a.Name] = true
	}
	return nil
}

// Platform holds the address of the platform's store.
type Platform struct {
	Address netip.AddrPort
}

// Role is the role of a process: balancer or agent.
type Role string

// The roles of processes.
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
	text, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, err
	}
	return Parse(text, role)
}

// Parse decodes and checks the content of a settings file. It ignores unknown
// fields, since newer platforms may write more.
func Parse(text []byte, role Role) (s *Settings, err error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, err
	}
	s = &Settings{ColdOverrun: 1}
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
		return eris.Errorf("FirstPort %d and LastPort %d are not a range of ports", s.FirstPort, s.LastPort)
	case !isUsable(s.Packets):
		return missing("Packets")
	case !isUsable(s.Ready):
		return missing("Ready")
	case !isUsable(s.Platform.Address):
		return missing("Platform.Address")
	}
	if err := s.checkLimits(); err != nil || role != RoleAgent {
		return err
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

// checkLimits checks the settings that have a default.
func (s *Settings) checkLimits() error {
	switch {
	case s.MaxFlowAge < 0:
		return eris.Errorf("MaxFlowAge %s is negative", time.Duration(s.MaxFlowAge))
	case s.DrainTime < 0:
		return eris.Errorf("DrainTime %s is negative", time.Duration(s.DrainTime))
	case s.ColdOverrun < 0:
		return eris.Errorf("ColdOverrun %g is negative", s.ColdOverrun)
	case s.ColdSlack < 0:
		return eris.Errorf("ColdSlack %g is negative", s.ColdSlack)
	case s.Shares != nil:
		return s.Shares.check()
	}
	return nil
}

func missing(field string) error { return eris.Errorf("%s is missing or unusable", field) }

func isUsable(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

// FieldsNeedingRestart returns the names of the fields that differ in next and take
// effect only when the process starts. It doesn't compare Name, LastPort, Seeds,
// IsFirstStart and Operator.
func (s *Settings) FieldsNeedingRestart(next *Settings) (fields []string) {
	appendIf := func(name string, isChanged bool) {
		if isChanged {
			fields = append(fields, name)
		}
	}
	appendIf("Address", s.Address != next.Address)
	appendIf("DataCentre", s.DataCentre != next.DataCentre)
	appendIf("FirstPort", s.FirstPort != next.FirstPort)
	appendIf("Packets", s.Packets != next.Packets)
	appendIf("Outbound", s.Outbound != next.Outbound)
	appendIf("Ready", s.Ready != next.Ready)
	appendIf("Upstream", s.Upstream != next.Upstream)
	appendIf("MaxFlowAge", s.MaxFlowAge != next.MaxFlowAge)
	appendIf("DrainTime", s.DrainTime != next.DrainTime)
	appendIf("ColdOverrun", s.ColdOverrun != next.ColdOverrun)
	appendIf("ColdSlack", s.ColdSlack != next.ColdSlack)
	return fields
}
