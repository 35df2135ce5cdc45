package jmoperator

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// PassStatus is the part of the status that only processes of pass-through flows have.
type PassStatus struct {
	Name    string
	Service string `json:",omitempty"` // of an agent's upstream
	// Version is that of the routes in force, 0 while the directory is not known, and
	// Revision and AgeMs are those of the copy of the directory. Era is how many times the
	// platform's store had been restored; revisions start again with each.
	Version, Revision uint64
	Era               uint64 `json:",omitempty"`
	AgeMs             int64
	// Evacuated are the data centres that are being evacuated.
	Evacuated []string `json:",omitempty"`
	// IsOverload is set while an overload lasts at an agent.
	IsOverload bool `json:",omitempty"`
	// Load is the load of each route and client account at an agent.
	Load []jmpassnode.PartyLoad `json:",omitempty"`
	// IsShared is set while an agent divides its upstream's work by shares, and Accounts
	// are the client accounts in force.
	IsShared bool                        `json:",omitempty"`
	Accounts []jasminemoor.ClientAccount `json:",omitempty"`
}

// PassBalancerStatus returns the status of a balancer of pass-through flows.
func PassBalancerStatus(b *jmpassnode.Balancer) *Status {
	s := passStatus("passthrough balancer", b.Settings, b.Control(), b.Count)
	s.Flows = b.Flows()
	return s
}

// PassAgentStatus returns the status of an agent of pass-through flows.
func PassAgentStatus(a *jmpassnode.Agent) *Status {
	s := passStatus(passAgentRole, a.Settings, a.Control(), a.Count)
	s.Flows, s.Running = a.Flows()
	s.Pass.Service = a.Service()
	s.Pass.Load, s.Pass.IsOverload = a.Load(time.Now())
	for _, l := range s.Pass.Load {
		s.Waiting += l.Waiting
	}
	if shares := a.Shares(); shares != nil {
		s.Pass.IsShared, s.Pass.Accounts = true, shares.Accounts
	}
	return s
}

const passAgentRole = "passthrough agent"

// passStatus returns the fields that balancers and agents share. Control may be nil.
func passStatus(role string, settings *jmlocal.Settings, control *jmpassnode.Control, count func(jmpass.Reason) uint64) *Status {
	s := &Status{Role: role, DataCentre: settings.DataCentre, Refusals: make(map[string]uint64), Pass: &PassStatus{Name: settings.Name}}
	for i := range jmpass.ReasonCount {
		if reason := jmpass.Reason(i); reason.IsRefusal() {
			s.Refusals[reason.String()] = count(reason)
		}
	}
	if control == nil {
		return s
	}
	if snapshot := control.Snapshot(); snapshot != nil {
		s.Pass.Version, s.Pass.Era, s.Pass.Revision = snapshot.Version, snapshot.Revision.Era(), snapshot.Revision.Change()
		s.Pass.AgeMs, s.Pass.Evacuated = time.Since(snapshot.AsOf).Milliseconds(), snapshot.Evacuated
	}
	return s
}

// printPass writes the status of a process of pass-through flows for people.
func (s *Status) printPass(out io.Writer) error {
	p := s.Pass
	_, _ = fmt.Fprintf(out, "%s %s in %s", s.Role, p.Name, s.DataCentre)
	if p.Service != "" {
		_, _ = fmt.Fprintf(out, ", service %s", p.Service)
	}
	if p.Version == 0 {
		_, _ = fmt.Fprint(out, "\ndirectory: not known yet\n")
	} else {
		_, _ = fmt.Fprintf(out, "\ndirectory: version %d, revision %v, %d ms old\n", p.Version, jasminemoor.NewRevision(p.Era, p.Revision), p.AgeMs)
	}
	if len(p.Evacuated) > 0 {
		_, _ = fmt.Fprintf(out, "evacuated: %s\n", strings.Join(p.Evacuated, ", "))
	}
	_, _ = fmt.Fprintf(out, "%d flows", s.Flows)
	if s.Role == passAgentRole {
		_, _ = fmt.Fprintf(out, ", %d requests in flight, %d waiting", s.Running, s.Waiting)
	}
	_, _ = fmt.Fprintln(out)
	if p.IsOverload {
		_, _ = fmt.Fprintln(out, "overload: requests have waited without a gap for more than a second")
	}
	s.printRefusals(out)
	return p.printTables(out)
}

// printTables writes the client accounts, and then the load by route and account.
func (p *PassStatus) printTables(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	if len(p.Accounts) > 0 {
		_, _ = fmt.Fprintln(w, "account\tweight\tlimit\tnetworks")
	}
	for _, a := range p.Accounts {
		limit := "-"
		if a.MaxWaiting > 0 {
			limit = fmt.Sprint(a.MaxWaiting)
		}
		networks := make([]string, len(a.Networks))
		for i, n := range a.Networks {
			networks[i] = n.String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\t%s\n", a.Name, cmp.Or(a.Weight, 1), limit, strings.Join(networks, " "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(p.Load) > 0 {
		_, _ = fmt.Fprintln(w, "route\taccount\twaiting\tlongest\tin time\tlate\tgiven up\trefused")
	}
	for _, l := range p.Load {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d ms\t%d\t%d\t%d\t%d\n",
			l.Route, cmp.Or(l.Account, "-"), l.Waiting, l.LongestMs, l.InTime, l.Late, l.GivenUp, l.Refused)
	}
	return w.Flush()
}
