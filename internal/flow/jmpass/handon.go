package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Two agents share the choice of an upstream for a new flow if the one that the
// balancer has chosen would answer late. Before many upstreams, a balancer's report of
// each is old: it sends a few new flows a second, and an agent reports to those that send
// none only once in seconds. The agents know their own load exactly. The first one hands
// the flow on with its expected answer time, and the second keeps it or gives it back.

// handOnShare is the share of a request's target from which on its expected answer time
// lets the flow be handed on.
const handOnShare = 0.75

// handOnIfBusy hands a new flow on to another agent, or back to the one that it came
// from, if that is expected to answer earlier. It reports whether it did.
func (a *Agent) handOnIfBusy(now time.Time, from netip.Addr, key jasminemoor.FlowKey, h *jmhop.Header) bool {
	expected := a.expectedAnswerTime(now, key)
	header := *h
	var to netip.Addr
	switch {
	case h.Hops == 0:
		if expected < time.Duration(handOnShare*float64(a.target(key))) {
			return false
		}
		found := false
		if to, found = a.secondChoice(key); !found {
			return false
		}
		header.Wait = min(expected, jmhop.MaxWait)
	case h.Hops == 1 && h.Wait > 0 && expected > h.Wait+jmhop.WaitUnit:
		to, header.Wait = from, 0
	default:
		return false
	}
	a.handOn(now, key, to, header, nil)
	return true
}

// nextHop is the agent that a new flow was handed on to. The flow's next packets may come
// before the balancer knows of it, and follow.
type nextHop struct {
	to netip.Addr
	at time.Time
}

// handOnTTL is how long packets of a flow that was handed on follow it. The balancer
// knows the holder after a round trip.
const handOnTTL = 2 * time.Second

// handOn hands a packet of a new flow on to another agent. The packet is the one at hand
// if it is nil.
func (a *Agent) handOn(now time.Time, key jasminemoor.FlowKey, to netip.Addr, header jmhop.Header, packet []byte) {
	a.handedOn[key] = nextHop{to: to, at: now}
	header.Kind, header.Flags, header.Hops, header.Revision = jmhop.KindForward, 0, header.Hops+1, a.revision()
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: to, Header: header, HasPacket: true, Packet: packet})
}

// expectedAnswerTime returns how long a request of a flow that arrives now would take until
// its answer begins. Failures count as in placement.
func (a *Agent) expectedAnswerTime(now time.Time, key jasminemoor.FlowKey) time.Duration {
	return a.waitOf(now, key) + failureTime(a.failureRate.value(now), a.snapshot.timeout(key))
}

// target returns the latency objective of a flow's requests.
func (a *Agent) target(key jasminemoor.FlowKey) time.Duration {
	if route := a.snapshot.Routes[key.Service()]; route != nil && route.Target > 0 {
		return route.Target
	}
	return defaultTarget
}

// secondChoice returns one of the other candidates of a flow, preferably of the own data
// centre. It is the same one for each copy of the flow's opening packet.
func (a *Agent) secondChoice(key jasminemoor.FlowKey) (to netip.Addr, found bool) {
	service := a.snapshot.Services[a.Service]
	if service == nil {
		return to, false
	}
	own := a.snapshot.Upstreams[a.Upstream]
	var local, all []netip.Addr
	rank := 0
	for _, r := range rankAll(key, service.Upstreams) {
		if !r.upstream.IsInRank() {
			continue
		}
		if rank++; rank > candidateCount {
			break
		}
		if r.upstream.IsEvacuated {
			continue
		}
		agent := r.upstream.Address.Addr()
		if agent == a.Self {
			continue
		}
		all = append(all, agent)
		if own != nil && own.DataCentre == r.upstream.DataCentre {
			local = append(local, agent)
		}
	}
	if len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return to, false
	}
	return all[key.Hash()%uint64(len(all))], true
}
