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

// Explanation says where a new flow of a service would go now, and why.
type Explanation struct {
	Service  string // as <team>/<service>
	Number   jasminemoor.ServiceNumber
	Address  netip.AddrPort
	Revision uint64 // of the team's subtree
	// ID is the caller's first connection ID that was asked about, in hexadecimal.
	ID            string
	First, Second string // names of upstreams
	Reason        string
	Candidates    []Candidate
}

// Candidate is one upstream in an explanation.
type Candidate struct {
	Upstream   string
	DataCentre string
	Agent      netip.AddrPort
	Weight     uint32
	Condition  string
	// IsRanked says that new flows may go there now.
	IsRanked bool
	// Share is the part of the new flows that are ranked first here.
	Share float64
	// Load is the last report of the agent, if this process has a recent one.
	Load *jasminemoor.Load `json:",omitempty"`
}

// Explainer explains placements from what one process knows.
type Explainer struct {
	View *jmcontrol.View
	// ConditionOf returns what is believed of an upstream.
	ConditionOf func(u *jmtree.Upstream) jmplacer.Condition
	// Loads may be nil.
	Loads *jmload.Board
}

// Explain explains where a flow of a service with the given first connection
// ID would go. The service is named as <team>/<service>.
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
	ranked, of := jmplacer.Select(upstreams)
	x.Reason = reasonOf(of, len(ranked))
	first, second := jmplacer.NewTable(ranked).Pick(id)
	for i := range s.Upstreams {
		x.add(e, &s.Upstreams[i], upstreams[i].Condition, ranked, first, second)
	}
	return x, nil
}

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

func reasonOf(of jmplacer.Condition, count int) string {
	switch of {
	case jmplacer.Working:
		return fmt.Sprintf("%d upstreams work; the ranking is by rendezvous hashing with their weights", count)
	case jmplacer.Leaving:
		return "every upstream leaves, so new flows are dropped"
	}
	return fmt.Sprintf("no upstream is known to work, so the %d that are %s are tried", count, of)
}

func (x *Explanation) add(e *Explainer, u *jmtree.Upstream, condition jmplacer.Condition, ranked []jmplacer.Candidate, first, second netip.AddrPort) {
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

const tablePadding = 2

// Print writes the explanation for people.
func (x *Explanation) Print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "service %s, number %d, at %s, settings revision %d\n", x.Service, x.Number, x.Address, x.Revision)
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
