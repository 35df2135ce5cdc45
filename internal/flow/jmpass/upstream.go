package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// upstreamTimeout is how long an upstream may leave a packet without any
	// answer before it is looked at.
	upstreamTimeout = 150 * time.Millisecond
	// probeInterval is the least time between two looks.
	probeInterval = 200 * time.Millisecond
)

// upstreamState is what an agent knows of its upstream.
type upstreamState struct {
	// unanswered is when the first packet was given to it since it last sent one.
	unanswered time.Time
	probed     time.Time
	isDown     bool // it refuses connections: its process has ended
	isSilent   bool // it does not answer at all
}

func (a *Agent) noteUnanswered(now time.Time) {
	if a.upstream.unanswered.IsZero() {
		a.upstream.unanswered = now
	}
}

// HandleUpstream decides on a packet that the upstream sent. Packet is the whole
// of it, and isFailure says that it begins an answer of failure.
func (a *Agent) HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) (out []Message, reason Reason) {
	a.begin(now)
	a.upstream = upstreamState{probed: a.upstream.probed}
	if p.Flags.Has(jasminemoor.FlagReturned) {
		reason = a.handleReturned(now, p, packet)
	} else {
		reason = a.handleAnswer(now, p, isFailure)
	}
	a.Counts[reason]++
	return a.out, reason
}

// noteResult takes note of what became of a request: an answer, or a reset. An
// ordinary end may overtake the answer.
func (a *Agent) noteResult(now time.Time, f *flow, p *jasminemoor.Packet, isFailure bool) {
	isReset := p.Flags.Has(jasminemoor.FlagReset)
	if !f.isWaiting || p.Length == 0 && !isReset {
		return
	}
	if a.results.add(now, isFailure || isReset) {
		a.reportAll(now)
	}
}

func (a *Agent) handleAnswer(now time.Time, p *jasminemoor.Packet, isFailure bool) Reason {
	key := p.ReverseKey()
	f := a.table.get(key)
	if f == nil {
		f = &flow{opened: now, isOpen: !p.Flags.Has(jasminemoor.FlagOpen)}
		a.table.add(key, f)
	}
	if p.Flags.Has(jasminemoor.FlagOpen) {
		f.hasOffer, f.offer = true, p.Sequence
	}
	a.noteResult(now, f, p, isFailure)
	if took := a.table.noteUpstream(now, f, p); took > 0 && a.OnAnswer != nil {
		a.OnAnswer(took)
	}
	if t, found := a.tests[key]; found {
		a.endTest(key, t)
	}
	a.out = append(a.out, Message{Kind: ToCaller, Flow: key})
	if p.Flags.Has(jasminemoor.FlagReset) {
		a.drop(key)
	}
	a.release(now)
	return ReasonHeld
}

// endTest takes note that the upstream holds a flow.
func (a *Agent) endTest(key jasminemoor.FlowKey, t test) {
	delete(a.tests, key)
	if t.asker.IsValid() {
		a.tellHolder(t.asker, key)
	}
	a.tellHolder(t.balancer, key)
}

// handleReturned decides on a packet that the upstream refused.
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
		a.handOn(now, key, p, &h, packet)
		return ReasonRefusedByUpstream
	}
	a.absent[key] = now
	if t, found := a.tests[key]; found {
		delete(a.tests, key)
		if t.asker.IsValid() {
			a.tellAbsent(t.asker, key)
			return ReasonNotHeld
		}
		a.startSearch(now, key, t.balancer, p, packet)
		return ReasonSearched
	}
	if f == nil || !f.isOpen {
		return ReasonNotHeld
	}
	if !f.isSure {
		origin := a.balancerOf(f)
		a.drop(key)
		a.startSearch(now, key, origin, p, packet)
		return ReasonSearched
	}
	// The agent has seen the upstream take the flow, so nobody else holds it.
	if !p.Flags.Has(jasminemoor.FlagReset) {
		f.lastAck = p.Acknowledged
		a.resetFlow(now, key, f, p.Length > 0)
		return ReasonRefusedByUpstream
	}
	a.drop(key)
	return ReasonNotHeld
}

// expireWaiting takes requests without an answer for long to have failed.
func (a *Agent) expireWaiting(now time.Time) {
	isNews := false
	for range a.table.expireWaiting(now) {
		isNews = a.results.add(now, true) || isNews
	}
	if isNews {
		a.reportAll(now)
	}
}

func (a *Agent) shouldProbe(now time.Time) bool {
	u := &a.upstream
	isOverdue := !u.unanswered.IsZero() && now.Sub(u.unanswered) > upstreamTimeout || u.probed.IsZero() && !a.IsFirst
	if !isOverdue && !u.isDown && !u.isSilent || now.Sub(u.probed) < probeInterval {
		return false
	}
	u.probed = now
	return true
}

// Probe is what a look at the upstream's port has shown.
type Probe uint8

// The results of a look.
const (
	ProbeAccepted Probe = iota // it accepts connections
	ProbeRefused               // nobody listens: its process has ended
	ProbeSilent                // nothing came back
)

// String returns the result in words.
func (p Probe) String() string {
	switch p {
	case ProbeAccepted:
		return "accepts connections"
	case ProbeRefused:
		return "refuses connections"
	}
	return "does not answer"
}

// HandleProbe takes the result of a look at the upstream in. If its process
// has ended, all its flows are gone.
func (a *Agent) HandleProbe(now time.Time, result Probe) []Message {
	a.begin(now)
	u := &a.upstream
	switch result {
	case ProbeAccepted:
		u.isDown, u.isSilent, u.unanswered = false, false, time.Time{}
	case ProbeRefused:
		a.sawUpstreamDown = true
		if !u.isDown {
			u.isDown = true
			for key, f := range a.table.flows {
				if f.isOpen {
					a.resetFlow(now, key, f, false)
				}
			}
			a.reportAll(now)
		}
	case ProbeSilent:
		if !u.isSilent {
			u.isSilent = true
			a.reportAll(now)
		}
	}
	return a.out
}
