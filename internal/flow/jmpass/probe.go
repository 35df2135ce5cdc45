package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// flowProbeTimeout is how long an upstream may take to refuse a packet. Agent and
	// upstream are on one instance. An upstream that does not refuse a packet may have
	// crashed or may not run, so it is not known to hold the flow.
	flowProbeTimeout = 40 * time.Millisecond
	// flowProbeTTL is how long a flow probe waits for a packet of the upstream.
	flowProbeTTL = searchTimeout
	// maxFlowProbes bounds the flow probes.
	maxFlowProbes = 4096
	// refusedTTL is how long an upstream's refusal of a flow counts.
	refusedTTL = 20 * time.Second
	// lostFlowTTL is how long packets of a flow without a holder are answered with a
	// reset and without another search.
	lostFlowTTL = 5 * time.Second
)

// flowProbe is a packet that was sent to the own upstream to find out whether the
// upstream holds the flow. A packet of the flow from the upstream proves that it does, the
// returned packet that it does not.
type flowProbe struct {
	at       time.Time
	balancer netip.Addr
	hops     uint8
	asker    netip.Addr // agent that asked for the holder, not valid if none did
}

// isProbed reports whether a packet of a flow was sent to the own upstream, which has not
// returned it.
func (a *Agent) isProbed(key jasminemoor.FlowKey) bool {
	_, isProbing := a.flowProbes[key]
	return isProbing
}

// probeFlow sends the packet of a search to the own upstream, which was not probed
// for the flow when the search began.
func (a *Agent) probeFlow(now time.Time, key jasminemoor.FlowKey, s *search) {
	if _, isProbing := a.flowProbes[key]; isProbing {
		return
	}
	a.addFlowProbe(key, flowProbe{at: now, balancer: s.balancer, hops: s.hops})
	a.markUnanswered(now)
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key, Packet: s.packet})
}

// addFlowProbe records that a packet is sent to the own upstream. If there are
// maxFlowProbes already, it does nothing.
func (a *Agent) addFlowProbe(key jasminemoor.FlowKey, probe flowProbe) {
	if _, isProbing := a.flowProbes[key]; isProbing || len(a.flowProbes) < maxFlowProbes {
		a.flowProbes[key] = probe
	}
}

// isUpstreamQuiet reports whether the own upstream has sent nothing for flowProbeTimeout
// although it has got packets.
func (a *Agent) isUpstreamQuiet(now time.Time) bool {
	since := a.upstream.unansweredSince
	return !since.IsZero() && now.Sub(since) >= flowProbeTimeout
}

// isNotHeld reports whether the own upstream is known not to hold a flow, whose caller
// has last acknowledged the sequence number ack.
func (a *Agent) isNotHeld(now time.Time, key jasminemoor.FlowKey, ack uint32) bool {
	if _, isRefused := a.refused[key]; isRefused || a.upstream.isDown {
		return true
	}
	f := a.table.get(key)
	if !a.isTableComplete(now) {
		return f == nil && a.isOfOtherService(now, key)
	}
	// The caller has not acknowledged the reply of this upstream, but that of another one.
	isHalfOpen := f != nil && !f.isOpen && f.hasOpenReply && ack != f.openReply+1
	return f == nil || isHalfOpen
}

// expireFlowProbes ends the flow probes to which the upstream has sent nothing within
// flowProbeTTL.
func (a *Agent) expireFlowProbes(now time.Time) {
	for key, probe := range a.flowProbes {
		if now.Sub(probe.at) >= flowProbeTTL {
			delete(a.flowProbes, key)
		}
	}
}

// endFlowProbes ends all flow probes, as the upstream's process has ended, and informs the
// agents that asked.
func (a *Agent) endFlowProbes() {
	for _, key := range sortedFlows(a.flowProbes) {
		if asker := a.flowProbes[key].asker; asker.IsValid() {
			a.sendAbsent(asker, key, 0)
		}
	}
	clear(a.flowProbes)
}

// viewOf returns the revision of the view. ok is false if there is none, or it has no route for a
// flow.
func (a *Agent) viewOf(key jasminemoor.FlowKey) (r jasminemoor.Revision, ok bool) {
	if a.snapshot.View == nil || a.snapshot.Routes[key.Service()] == nil {
		return r, false
	}
	return a.snapshot.Revision, true
}

// passOn sends the packet of a search to another agent.
func (a *Agent) passOn(to netip.Addr, key jasminemoor.FlowKey, s *search, header jmhop.Header) {
	header.Origin, header.DataCentre, header.Revision = s.balancer, a.dataCentreOf(s.balancer), a.revision()
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: to, Header: header, HasPacket: true, Packet: s.packet})
}

// resetLost resets a flow that no other agent holds, if the view from which these agents are
// listed is recent and lacks none, and the own upstream does not hold the flow. It reports whether
// it did.
func (a *Agent) resetLost(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if !a.snapshot.isFresh(now) || a.isBehind(now) || !a.isListComplete(now, key) || !a.isNotHeld(now, key, s.ack) {
		return false
	}
	a.lostFlows[key] = now
	if s.hasData {
		a.sendFlowReset(now, key, s.balancer, a.lostRequestAge(now, now.Sub(s.started)))
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: s.ack})
	a.Counts[ReasonAbsentEverywhere]++
	return true
}
