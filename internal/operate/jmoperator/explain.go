package jmoperator

import (
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Explanation says which upstreams a new flow of a service would go to now, and why.
type Explanation struct {
	Service  string // as <team>/<service>
	Number   jasminemoor.ServiceNumber
	Address  netip.AddrPort
	Revision uint64 // of the team's subtree
	// ID is the first connection ID of the flow in question, in hexadecimal.
	ID            string
	First, Second string // names of the upstreams ranked first and second for ID
	Reason        string
	Candidates    []Candidate
}

// Candidate is one upstream of the service in an explanation.
type Candidate struct {
	Upstream   string
	DataCentre string
	Agent      netip.AddrPort
	Weight     uint32
	Condition  string
	// IsRanked says that new flows may go to the upstream now.
	IsRanked bool
	// Share is the share of new flows for which the upstream is ranked first.
	Share float64
	// Load is the agent's last reported load, if this process has a recent report.
	Load *jasminemoor.Load `json:",omitempty"`
}

// Explainer explains placements by the settings and states that one process knows.
type Explainer struct {
	View *jmcontrol.View
	// ConditionOf returns the condition of an upstream as this process sees it.
	ConditionOf func(u *jmtree.Upstream) jmplacer.Condition
	// Loads holds the recent loads of the agents. It may be nil.
	Loads *jmload.Reports
}

// Explain explains where a flow with the given first connection ID would go. The
// service is given as <team>/<service>.
func (e *Explainer) Explain(service string, id []byte) (x *Explanation, err error) {
	s := e.find(service)
	if s == nil {
		return nil, eris.Errorf("no service %q is in force", service)
	}
	x = &Explanation{
		Service:  service,
		Number:   s.Number,
		Address:  s.Address,
		Revision: e.View.Config.Revisions[jmtree.TeamPrefix+s.Team],
		ID:       fmt.Sprintf("%x", id),
	}
	upstreams := make([]jmplacer.Upstream, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		upstreams = append(upstreams, jmplacer.Upstream{
			Candidate: jmplacer.Candidate{Agent: u.Agent, Weight: u.Weight},
			Condition: e.ConditionOf(u),
		})
	}
	ranked, condition := jmplacer.Select(upstreams)
	x.Reason = reasonOf(condition, len(ranked))
	first, second := jmplacer.NewTable(ranked).Pick(id)
	for i := range s.Upstreams {
		x.addCandidate(e, &s.Upstreams[i], upstreams[i].Condition, ranked, first, second)
	}
	return x, nil
}

// find returns the service in force with the name <team>/<service>, or nil.
func (e *Explainer) find(service string) *jmtree.Service {
	if e.View.Config == nil {
		return nil
	}
	for _, s := range e.View.Config.Services {
		if s.Team+"/"+s.Name == service {
			return s
		}
	}
	return nil
}

// reasonOf explains the choice of the ranked upstreams: their condition, and how
// many there are.
func reasonOf(condition jmplacer.Condition, count int) string {
	switch condition {
	case jmplacer.Working:
		return fmt.Sprintf("%d upstreams work; the ranking is by rendezvous hashing with their weights", count)
	case jmplacer.Leaving:
		return "there are no upstreams, or all are leaving, so new flows are dropped"
	}
	return fmt.Sprintf("no upstream is known to work, so the %d that are %s are tried", count, condition)
}

// addCandidate appends an upstream, and names it as the first or second choice if
// it is one.
func (x *Explanation) addCandidate(e *Explainer, u *jmtree.Upstream, condition jmplacer.Condition, ranked []jmplacer.Candidate, first, second netip.AddrPort) {
	c := Candidate{
		Upstream:   u.Name,
		DataCentre: u.DataCentre,
		Agent:      u.Agent,
		Weight:     u.Weight,
		Condition:  condition.String(),
	}
	total := uint32(0)
	for _, r := range ranked {
		total += r.Weight
		c.IsRanked = c.IsRanked || r.Agent == u.Agent
	}
	if c.IsRanked {
		c.Share = float64(u.Weight) / float64(total)
	}
	if e.Loads != nil {
		if report, found := e.Loads.Recent(u.Agent, time.Now()); found {
			c.Load = &report.Load
		}
	}
	switch u.Agent {
	case first:
		x.First = u.Name
	case second:
		x.Second = u.Name
	}
	x.Candidates = append(x.Candidates, c)
}

// tablePadding is the space between the columns of printed tables.
const tablePadding = 2

// Print writes the explanation for people.
func (x *Explanation) Print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "service %s, number %d, at %s, settings revision %v\n", x.Service, x.Number, x.Address, jasminemoor.Revision(x.Revision))
	_, _ = fmt.Fprintf(out, "%s\n", x.Reason)
	if x.First != "" {
		_, _ = fmt.Fprintf(out, "a flow with the first connection ID %s goes to %s", x.ID, x.First)
		if x.Second != "" {
			_, _ = fmt.Fprintf(out, ", which may hand it on to %s", x.Second)
		}
		_, _ = fmt.Fprintln(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "upstream\tdata centre\tagent\tweight\tcondition\tshare\tload now/mean/flows")
	for _, c := range x.Candidates {
		load := "unknown"
		if c.Load != nil {
			load = fmt.Sprintf("%d/%d/%d", c.Load.Now, c.Load.Mean, c.Load.Density)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%.0f%%\t%s\n", c.Upstream, c.DataCentre, c.Agent, c.Weight, c.Condition, c.Share*100, load)
	}
	return w.Flush()
}
