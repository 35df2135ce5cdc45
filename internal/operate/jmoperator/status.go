package jmoperator

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"text/tabwriter"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Status is the status of a process, as /status shows it.
type Status struct {
	Role       string
	Identity   jasminemoor.Identity `json:",omitzero"`
	DataCentre string
	IsReader   bool
	IsStale    bool
	Revisions  map[string]uint64
	Faults     []string
	Members    []Member
	Flows      int               `json:",omitempty"`
	Running    int               `json:",omitempty"`
	Waiting    int               `json:",omitempty"`
	Feeds      int               `json:",omitempty"`
	Refusals   map[string]uint64 `json:",omitempty"`
	// Pass is set for processes of pass-through flows, which have no Identity, Revisions,
	// Faults and Members.
	Pass *PassStatus `json:",omitempty"`
}

// Member is another process as this one sees it.
type Member struct {
	Address    netip.AddrPort
	DataCentre string
	State      string
	IsLeaving  bool `json:",omitempty"`
}

// NodeStatus returns the fields of the status that balancers and agents share.
func NodeStatus(role string, n *jmnode.Node) *Status {
	v := n.View()
	s := &Status{
		Role:       role,
		Identity:   n.Identity,
		DataCentre: n.DataCentre,
		IsReader:   v.IsReader,
		IsStale:    v.IsStale,
	}
	if v.Config != nil {
		s.Revisions = v.Config.Revisions
		for _, fault := range v.Config.Faults {
			s.Faults = append(s.Faults, fault.Error())
		}
	}
	for addr, m := range v.States {
		s.Members = append(s.Members, Member{
			Address:    addr,
			DataCentre: m.DataCentre,
			State:      m.Liveness.String(),
			IsLeaving:  m.IsLeaving,
		})
	}
	sort.Slice(s.Members, func(i, j int) bool { return s.Members[i].Address.Compare(s.Members[j].Address) < 0 })
	return s
}

// BalancerStatus returns the status of a balancer.
func BalancerStatus(b *jmbalancer.Balancer) *Status {
	s := NodeStatus("balancer", b.Node)
	s.Refusals = map[string]uint64{
		"NotQUIC":    b.Counters.NotQUIC.Load(),
		"Forged":     b.Counters.Forged.Load(),
		"NoUpstream": b.Counters.NoUpstream.Load(),
		"TooShort":   b.Counters.TooShort.Load(),
		"BadTag":     b.Counters.BadTag.Load(),
	}
	return s
}

// AgentStatus returns the status of an agent.
func AgentStatus(a *jmagent.Agent) *Status {
	s := NodeStatus("agent", a.Node)
	usage, flows := a.Usage()
	s.Flows, s.Running, s.Waiting, s.Feeds = flows, usage.Running, usage.Waiting, usage.Feeds
	s.Refusals = map[string]uint64{
		"Foreign":   a.Counters.Foreign.Load(),
		"Forged":    a.Counters.Forged.Load(),
		"Refused":   a.Counters.Refused.Load(),
		"WrongName": a.Counters.WrongName.Load(),
		"BadStream": a.Counters.BadStreams.Load(),
		"NotRun":    a.StreamCounters().NotRun.Load(),
		"Unknown":   a.StreamCounters().Unknown.Load(),
	}
	return s
}

// BalancerExplainer returns an explainer of a balancer's present view.
func BalancerExplainer(b *jmbalancer.Balancer) *Explainer {
	view := b.Node.View()
	return &Explainer{
		View:        view,
		ConditionOf: func(u *jmtree.Upstream) jmplacer.Condition { return b.ConditionOf(view, u) },
		Loads:       &b.Node.Loads,
	}
}

// AgentExplainer returns an explainer of an agent's present view.
func AgentExplainer(a *jmagent.Agent) *Explainer {
	view := a.Node.View()
	return &Explainer{View: view, ConditionOf: view.ConditionOf, Loads: &a.Node.Loads}
}

// Print writes the status for people.
func (s *Status) Print(out io.Writer) error {
	if s.Pass != nil {
		return s.printPass(out)
	}
	_, _ = fmt.Fprintf(out, "%s %s in %s\n", s.Role, s.Identity, s.DataCentre)
	if s.IsStale {
		_, _ = fmt.Fprintln(out, "was paused, and no peer has answered since")
	}
	if s.IsReader {
		_, _ = fmt.Fprintln(out, "watches the platform for its data centre")
	}
	for _, path := range slices.Sorted(maps.Keys(s.Revisions)) {
		_, _ = fmt.Fprintf(out, "settings %s: revision %v in force\n", path, jasminemoor.Revision(s.Revisions[path]))
	}
	for _, fault := range s.Faults {
		_, _ = fmt.Fprintf(out, "fault: %s\n", fault)
	}
	if s.Role == "agent" {
		_, _ = fmt.Fprintf(out, "%d flows, %d requests running, %d waiting, %d feeds\n", s.Flows, s.Running, s.Waiting, s.Feeds)
	}
	s.printRefusals(out)
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "member\tdata centre\tstate\tleaving")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", m.Address, m.DataCentre, m.State, m.IsLeaving)
	}
	return w.Flush()
}

func (s *Status) printRefusals(out io.Writer) {
	for _, cause := range slices.Sorted(maps.Keys(s.Refusals)) {
		_, _ = fmt.Fprintf(out, "refusals, %s: %d\n", cause, s.Refusals[cause])
	}
}
