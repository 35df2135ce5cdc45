package jmoperator

import (
	"net/netip"
	"sort"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
)

// Status is what /status shows of a process.
type Status struct {
	Role       string
	Identity   jasminemoor.Identity
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
}

// Member is one other process as this one sees it.
type Member struct {
	Address    netip.AddrPort
	DataCentre string
	State      string
	IsLeaving  bool `json:",omitempty"`
}

// NodeStatus returns the status of the control side.
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
