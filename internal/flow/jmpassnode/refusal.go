package jmpassnode

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// Shares returns the division of the upstream's work that is in force, nil for none.
func (a *Agent) Shares() *jmlocal.Shares {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares
}

// addLimit adds to the fields of a log line what a request was refused or given up by: its
// route, its client account, and the limit of these that counts for the reason. The caller
// holds mu.
func (a *Agent) addLimit(fields logrus.Fields, reason jmpass.Reason, flow jasminemoor.FlowKey) {
	account := a.machine.Account(flow.Caller().Addr())
	switch reason {
	case jmpass.ReasonOverLimit:
		if account != nil {
			fields["MaxWaiting"] = account.MaxWaiting
		}
	case jmpass.ReasonInVain, jmpass.ReasonGivenUp:
		if s := a.control.Snapshot(); s != nil && s.Routes[flow.Service()] != nil {
			fields["TimeoutMs"] = s.Routes[flow.Service()].Timeout.Milliseconds()
		}
	default:
		return
	}
	fields["Route"] = a.routeName(flow.Service())
	if account != nil {
		fields["Account"] = account.Name
	}
}

// otherRoute is shown as the route of the requests that are not counted by party.
const otherRoute = "other"

// routeName returns the name of a route, or its address if the directory has no such
// route any more.
func (a *Agent) routeName(address netip.AddrPort) string {
	if !address.IsValid() {
		return otherRoute
	}
	if s := a.control.Snapshot(); s != nil {
		if route := s.Routes[address]; route != nil && route.Name != "" {
			return route.Name
		}
	}
	return address.String()
}
