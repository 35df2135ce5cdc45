package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// upstreamTimeout is how long an upstream may send nothing after a packet before
	// its port is probed.
	upstreamTimeout = 150 * time.Millisecond
	// probeInterval is the least time between two probes of the port.
	probeInterval = 200 * time.Millisecond
)

// upstreamState is an agent's view of the health of its upstream.
type upstreamState struct {
	// unansweredSince is when the first packet was sent to the upstream since the
	// upstream's last one, zero if there is none.
	unansweredSince time.Time
	unanswered      int // packets since then
	probed          time.Time
	// closedSince is when a probe was first refused, zero if the port is not known to be
	// closed. The upstream gets no new flows then, but may still serve those that it has.
	closedSince time.Time
	isDown      bool // the port is closed, and the process has ended
	isSilent    bool // a probe got no answer
	// hasAnswered is set if the upstream has sent a packet of a flow that it holds since the
	// agent's start.
	hasAnswered bool
}

// takesFlows reports whether the upstream can take new flows, as far as is known.
func (u *upstreamState) takesFlows() bool { return u.closedSince.IsZero() && !u.isSilent }

// markUnanswered records that a packet is sent to the upstream.
func (a *Agent) markUnanswered(now time.Time) {
	a.table.stall.recordSent(now)
	a.upstream.unanswered++
	if a.upstream.unansweredSince.IsZero() {
		a.upstream.unansweredSince = now
	}
}

// HandleUpstream decides on a packet that the upstream sent or returned. packet is
// its raw bytes, and isFailure is set if it begins an answer that reports a failure.
func (a *Agent) HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) (out []Message, reason Reason) {
	a.begin(now)
	u := &a.upstream
	if u.isDown || !u.closedSince.IsZero() && p.Flags.Has(jasminemoor.FlagOpen) {
		// It accepts flows, as the next process does.
		a.doubtService(now, true)
		u.closedSince = time.Time{}
	}
	*u = upstreamState{probed: u.probed, closedSince: u.closedSince, hasAnswered: u.hasAnswered}
	a.table.recordHeard(now)
	if p.Flags.Has(jasminemoor.FlagReturned) {
		reason = a.handleReturned(now, p, packet)
	} else {
		u.hasAnswered = true
		reason = a.handleAnswer(now, p, isFailure)
	}
	a.Counts[reason]++
	return a.out, reason
}

// recordResult counts the answer to a request as a success or a failure, and a reset
// as a failure. The regular end of a flow does not count, since it may overtake the
// answer.
func (a *Agent) recordResult(now time.Time, f *flow, p *jasminemoor.Packet, isFailure bool) {
	isReset := p.Flags.Has(jasminemoor.FlagReset)
	if !f.hasRequestInFlight || !f.isNewAnswer(p) && !isReset {
		return
	}
	if a.failureRate.add(now, isFailure || isReset) {
		a.sendReports(now)
	}
}

// handleAnswer decides on a packet from the upstream to a caller.
func (a *Agent) handleAnswer(now time.Time, p *jasminemoor.Packet, isFailure bool) Reason {
	key := p.ReverseKey()
	f := a.table.get(key)
	if f != nil {
		f.isInherited = false
	}
	if f == nil {
		f = &flow{opened: now, isOpen: !p.Flags.Has(jasminemoor.FlagOpen), epoch: a.cold.watch.epoch}
		a.table.add(key, f)
	} else {
		a.cold.recordPacket(now, f, p)
	}
	if p.Flags.Has(jasminemoor.FlagOpen) {
		f.hasOpenReply, f.openReply = true, p.Sequence
	} else if p.Length > 0 {
		f.isOpen = true
	}
	a.recordResult(now, f, p, isFailure)
	if took := a.table.recordUpstream(now, f, p); took > 0 && a.OnAnswer != nil {
		a.OnAnswer(took)
	}
	if f.isOpen {
		a.confirmHolder(now, key, f)
	}
	a.out = append(a.out, Message{Kind: ToCaller, Flow: key})
	if p.Flags.Has(jasminemoor.FlagReset) {
		a.drop(key)
	}
	a.admitQueued(now)
	return ReasonHeld
}

// confirmHolder ends the flow probe and the search for a flow of which the upstream has
// sent a packet, and informs the balancer and the agent that asked. The packet of a search
// that began before the agent had a view has not gone to the upstream yet.
func (a *Agent) confirmHolder(now time.Time, key jasminemoor.FlowKey, f *flow) {
	probe, isProbed := a.flowProbes[key]
	if isProbed {
		delete(a.flowProbes, key)
		a.sendHolder(probe.asker, key)
		a.sendHolder(probe.balancer, key)
		f.balancer = a.indexOf(probe.balancer) + 1
	}
	if s := a.searches.end(key); s != nil && !isProbed {
		a.sendHolder(s.balancer, key)
		f.balancer = a.indexOf(s.balancer) + 1
		a.markUnanswered(now)
		a.out = append(a.out, Message{Kind: ToUpstream, Flow: key, Packet: s.packet})
	}
}

// handleReturned decides on a packet that the upstream refused and returned.
func (a *Agent) handleReturned(now time.Time, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	f := a.table.get(key)
	if p.Flags.Has(jasminemoor.FlagOpen) {
		h := jmhop.Header{}
		if f != nil && !f.isOpen {
			h.Hops, h.Origin, h.Age = f.hops, a.balancerOf(f), now.Sub(f.opened)
			h.DataCentre = a.dataCentreOf(h.Origin)
			a.table.remove(key)
		}
		a.forwardOpening(now, key, p, &h, packet)
		return ReasonRefusedByUpstream
	}
	a.refused[key] = now
	if f != nil && f.isInherited {
		h := &jmhop.Header{Origin: a.balancerOf(f)}
		a.drop(key)
		a.startSearch(now, key, h.Origin, 0, p, packet)
		return ReasonSearched
	}
	if probe, found := a.flowProbes[key]; found {
		delete(a.flowProbes, key)
		if probe.asker.IsValid() {
			a.sendAbsent(probe.asker, key, 0)
			return ReasonNotHeld
		}
		a.startSearch(now, key, probe.balancer, probe.hops, p, packet)
		return ReasonSearched
	}
	if f == nil || !f.isOpen {
		return ReasonNotHeld
	}
	a.recordLoss(now, f)
	// The upstream has sent packets of the flow, so no other agent holds it.
	if !p.Flags.Has(jasminemoor.FlagReset) {
		f.lastAck = p.Acknowledged
		a.resetFlow(now, key, f, p.Length > 0)
		return ReasonRefusedByUpstream
	}
	a.drop(key)
	return ReasonNotHeld
}

// failOverdueRequests ends the requests whose answer is overdue, and counts them as
// failures.
func (a *Agent) failOverdueRequests(now time.Time) {
	if a.snapshot.View != nil {
		a.table.recordRun(now, runOf(a.snapshot.Upstreams[a.Upstream]))
	}
	if a.cold.restartedAt.After(a.table.lostAt) {
		a.table.lostAt = a.cold.restartedAt
	}
	shouldReport := false
	for range a.table.endOverdueRequests(now) {
		shouldReport = a.failureRate.add(now, true) || shouldReport
	}
	if shouldReport {
		a.sendReports(now)
	}
}

// shouldProbe reports whether the upstream's port is to be probed now, and records that
// it is. It is probed while it is closed or silent, if the upstream leaves packets
// unanswered, and at the agent's start unless IsFirstStart is set.
func (a *Agent) shouldProbe(now time.Time) bool {
	u := &a.upstream
	isOverdue := !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) > upstreamTimeout || u.probed.IsZero() && !a.IsFirstStart
	if !isOverdue && u.takesFlows() || now.Sub(u.probed) < probeInterval {
		return false
	}
	u.probed = now
	return true
}

// ProbeResult is the result of a probe, which is a connection attempt to the upstream's port.
type ProbeResult uint8

// The results of a probe.
const (
	ProbeAccepted ProbeResult = iota // the upstream accepts connections
	ProbeRefused                     // no process listens: that of the upstream has ended or is about to
	ProbeSilent                      // the attempt got no answer
)

// String returns the result in words.
func (p ProbeResult) String() string {
	switch p {
	case ProbeAccepted:
		return "accepts connections"
	case ProbeRefused:
		return "refuses connections"
	}
	return "does not answer"
}

// HandleProbe handles the result of a probe of the upstream's port. If the upstream's
// process has ended, it resets all of its open flows.
func (a *Agent) HandleProbe(now time.Time, result ProbeResult) []Message {
	a.begin(now)
	u := &a.upstream
	switch result {
	case ProbeAccepted:
		if !u.closedSince.IsZero() {
			a.sawUpstreamDown = true // a process that ends does not listen again
		}
		if !u.closedSince.IsZero() || a.service.isPortUnknown {
			a.doubtService(now, true)
		}
		a.table.stall.isAlive = !a.table.stall.since.IsZero()
		*u = upstreamState{probed: u.probed, hasAnswered: u.hasAnswered}
	case ProbeRefused:
		a.recordRestart(now)
		a.cold.hard.Remit()
		isNew := u.closedSince.IsZero()
		if isNew {
			u.closedSince = now
		}
		a.checkRefusal(now)
		if isNew {
			a.sendReports(now)
		}
	case ProbeSilent:
		if !u.isSilent {
			u.isSilent = true
			a.sendReports(now)
		}
	}
	return a.out
}
