package jmpass

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// An agent that leaves hands the list of its upstream's flows over to balancers that it has
// heard lately. The next agent of the upstream asks the balancers that it hears for it, so that
// it knows its flows as soon as packets come, and is not likely to hold any other: it gives its
// upstream no packets of flows that it doesn't know, as long as their holder may be restarting.
// The list is no proof that the upstream holds a flow or does not, only a packet of the
// upstream is.

const (
	// maxHandedFlows bounds the flows that are handed over. With more the list is not whole.
	maxHandedFlows = 2000
	// keeperCount is how many balancers get the list.
	keeperCount = 8
	// recallTime is how long after its start an agent asks for the list of the one before it.
	recallTime = 2 * time.Second
	// recallInterval is the least time between two requests to the same balancer, which gets
	// maxRecalls at most.
	recallInterval = 100 * time.Millisecond
	maxRecalls     = 3
	// keepTime is how long a balancer keeps a list, and serveTime how long it gives it out from the
	// first request on. After that the agent may have been restarted again, and have taken flows.
	keepTime  = 3 * time.Second
	serveTime = (maxRecalls + 1) * recallInterval
	// maxKeptLists bounds the agents whose lists a balancer keeps.
	maxKeptLists = 64
)

// inheritance is what an agent has got of the list of the agent before it.
type inheritance struct {
	keepers map[netip.Addr]*recall // the balancers that send packets
	// parts are the numbers of flows in the parts of the newest list, by the index of their first
	// flow.
	parts       map[uint16]int
	incarnation jasminemoor.Incarnation // of the newest list
	// isWhole is set once the table has every flow that the upstream may have held at the
	// agent's start, as far as the agent before it knew.
	isWhole bool
}

// recall says when and how often a balancer was asked for the list.
type recall struct {
	at    time.Time
	count int
}

// HandOverFlows sends the list of the upstream's flows to balancers. It is the last thing that
// an agent does before it ends.
func (a *Agent) HandOverFlows(now time.Time) []Message {
	a.begin(now)
	keepers := a.keepers(now)
	if len(keepers) == 0 {
		return a.out
	}
	list := jmhop.FlowList{Incarnation: a.Incarnation, Upstream: a.Upstream.Port(), IsWhole: a.isTableComplete(now) || a.inheritance.isWhole}
	var flows []jmhop.ListedFlow
	for key, f := range a.table.flows {
		if f.ended == bothEnded || !f.isOpen && !f.hasOpenReply {
			continue
		}
		if len(flows) == maxHandedFlows {
			list.IsWhole = false
			break
		}
		flows = append(flows, jmhop.ListedFlow{Key: key, HasOpenReply: f.hasOpenReply && !f.isOpen, OpenReply: f.openReply, LastAck: f.lastAck, DataEnd: f.dataEnd})
	}
	list.Total = uint16(len(flows))
	header := jmhop.Header{Kind: jmhop.KindFlows, Origin: a.Self, Revision: a.revision()}
	for first := 0; first == 0 || first < len(flows); first += jmhop.MaxListedFlows {
		list.First, list.Flows = uint16(first), flows[first:min(first+jmhop.MaxListedFlows, len(flows))]
		body := list.Append(nil)
		for _, to := range keepers {
			a.out = append(a.out, Message{Kind: ToPeer, To: to, Header: header, Body: body})
		}
	}
	return a.out
}

// keepers returns the balancers that were heard last.
func (a *Agent) keepers(now time.Time) (addrs []netip.Addr) {
	var heard []*balancerState
	for i := range a.balancers {
		if b := &a.balancers[i]; b.addr.IsValid() && now.Sub(b.lastSeen) < balancerTTL {
			heard = append(heard, b)
		}
	}
	slices.SortFunc(heard, func(x, y *balancerState) int {
		return cmp.Or(y.lastSeen.Compare(x.lastSeen), x.addr.Compare(y.addr))
	})
	for _, b := range heard[:min(len(heard), keeperCount)] {
		addrs = append(addrs, b.addr)
	}
	return addrs
}

// noteKeeper records that a balancer has sent a packet: it may keep the list of the agent before
// this one.
func (a *Agent) noteKeeper(now time.Time, balancer netip.Addr) {
	h := &a.inheritance
	if a.IsFirstStart || now.Sub(a.started) >= recallTime || !balancer.IsValid() || len(h.keepers) >= maxBalancers {
		return
	}
	if _, found := h.keepers[balancer]; !found {
		if h.keepers == nil {
			h.keepers = make(map[netip.Addr]*recall)
		}
		h.keepers[balancer] = &recall{}
	}
}

// Recall asks the balancers that have sent packets for the list of the agent before this one. It is
// called after packets of peers, so that the agent has the list a round trip after the first one.
func (a *Agent) Recall(now time.Time) []Message {
	a.begin(now)
	a.recall(now)
	return a.out
}

func (a *Agent) recall(now time.Time) {
	h := &a.inheritance
	if len(h.keepers) == 0 {
		return
	}
	if now.Sub(a.started) >= recallTime {
		h.keepers = nil
		return
	}
	header := jmhop.Header{Kind: jmhop.KindPoll, Origin: a.Self, Revision: a.revision()}
	for _, balancer := range slices.SortedFunc(maps.Keys(h.keepers), netip.Addr.Compare) {
		r := h.keepers[balancer]
		if r.count < maxRecalls && now.Sub(r.at) >= recallInterval {
			r.at = now
			r.count++
			a.out = append(a.out, Message{Kind: ToPeer, To: balancer, Header: header})
		}
	}
}

// HandleFlows handles a part of the list of the agent before this one.
func (a *Agent) HandleFlows(now time.Time, from netip.Addr, l *jmhop.FlowList) {
	a.begin(now)
	h := &a.inheritance
	r := h.keepers[from]
	if a.sawUpstreamDown || r == nil || r.count == 0 || l.Upstream != a.Upstream.Port() || l.Incarnation == a.Incarnation || l.Incarnation < h.incarnation {
		return
	}
	if h.parts == nil || l.Incarnation != h.incarnation {
		h.parts, h.incarnation = make(map[uint16]int), l.Incarnation
	}
	if len(h.parts) > maxHandedFlows/jmhop.MaxListedFlows {
		return
	}
	h.parts[l.First] = len(l.Flows)
	for i := range l.Flows {
		each := &l.Flows[i]
		if a.table.get(each.Key) != nil {
			continue
		}
		a.table.add(each.Key, &flow{
			isInherited: true, epoch: unknownEpoch, isOpen: !each.HasOpenReply, hasOpenReply: each.HasOpenReply, openReply: each.OpenReply,
			lastAck: each.LastAck, dataEnd: each.DataEnd, opened: now, lastUsed: now,
		})
	}
	listed := 0
	for _, n := range h.parts {
		listed += n
	}
	h.isWhole = l.IsWhole && listed >= int(l.Total)
}

// isUnlikely reports whether the own upstream isn't likely to hold a flow that the table lacks.
func (a *Agent) isUnlikely() bool { return a.inheritance.isWhole }

// keptList is the list that an agent has handed over.
type keptList struct {
	at          time.Time
	asked       time.Time // when the next agent first asked for it
	incarnation jasminemoor.Incarnation
	parts       [][]byte
}

// HandleFlows keeps a part of the list that an agent hands over.
func (b *Balancer) HandleFlows(now time.Time, from netip.Addr, incarnation jasminemoor.Incarnation, part []byte) {
	if !b.isKnown(from) {
		b.Counts[ReasonUnknownSender]++
		return
	}
	kept := b.kept[from]
	if kept == nil || kept.incarnation != incarnation {
		if kept == nil && len(b.kept) >= maxKeptLists {
			return
		}
		if b.kept == nil {
			b.kept = make(map[netip.Addr]*keptList)
		}
		kept = &keptList{incarnation: incarnation}
		b.kept[from] = kept
	}
	kept.at = now
	if len(kept.parts) <= maxHandedFlows/jmhop.MaxListedFlows {
		kept.parts = append(kept.parts, slices.Clone(part))
	}
}

// HandlePoll returns the list that the agent before the one that asks has handed over, as
// messages.
func (b *Balancer) HandlePoll(now time.Time, from netip.Addr) (out []Message) {
	kept := b.kept[from]
	if kept == nil || now.Sub(kept.at) >= keepTime {
		return nil
	}
	if kept.asked.IsZero() {
		kept.asked = now
	}
	if now.Sub(kept.asked) >= serveTime {
		return nil
	}
	for _, part := range kept.parts {
		out = append(out, Message{Kind: ToPeer, To: from, Header: jmhop.Header{Kind: jmhop.KindFlows, Origin: b.Self}, Body: part})
	}
	return out
}

func (b *Balancer) expireLists(now time.Time) {
	for agent, kept := range b.kept {
		if now.Sub(kept.at) >= keepTime {
			delete(b.kept, agent)
		}
	}
}
