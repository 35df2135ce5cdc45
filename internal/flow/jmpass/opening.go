package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmopening"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// A new flow whose request could not be answered before its caller gives up is refused at
// once, before an upstream has seen it. The balancer says whether any upstream that may get
// the flow could answer in time, and the agent whether its own could, as its queue orders
// the request. Both must say no. Requests on open flows are never refused.

// isFull reports whether recent reports of all candidates say that they would answer a
// request of the route after its caller has given up.
func (b *Balancer) isFull(now time.Time, route *jmdirectory.Route, candidates []rankedUpstream) bool {
	b.reports = b.reports[:0]
	for _, c := range candidates {
		a := &b.agents[c.agent]
		takesNoFlows := a.report.State == jmhop.ReportLeaving || a.report.State == jmhop.ReportUpstreamDown
		b.reports = append(b.reports, jmopening.Report{At: a.reported, Wait: a.report.Wait, TakesNoFlows: takesNoFlows})
	}
	return jmopening.IsHopeless(now, b.reports, route.Timeout)
}

// isFirstCopy reports whether an opening packet is the first copy that its caller sent, and
// was not handed on. Another upstream may have accepted the flow by any later one.
func isFirstCopy(h *jmhop.Header, p *jasminemoor.Packet) bool { return p.Age == 0 && h.Hops == 0 }

// refuseInVain refuses a new flow whose request could not be answered in time. Only the
// first copy of its opening packet is answered with a reset, as another upstream may have
// accepted a later one.
func (a *Agent) refuseInVain(now time.Time, key jasminemoor.FlowKey, h *jmhop.Header, p *jasminemoor.Packet) (isRefused bool) {
	if h.Flags&jmhop.FlagFull == 0 || !isFirstCopy(h, p) || len(a.queue.requests) == 0 || !a.isInVain(now, key, h.Age) {
		return false
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
	a.overload.Record(a.partyOf(key), jmoverload.Refused)
	return true
}

// isInVain reports whether a request of the given age could not be answered before its
// deadline: those that go before it, and that don't expire earlier, take too long.
func (a *Agent) isInVain(now time.Time, key jasminemoor.FlowKey, age time.Duration) bool {
	r := &request{flow: key, arrived: now.Add(-age)}
	a.setTimes(r)
	r.claim = a.queue.join(r)
	defer a.queue.leave(r)
	answerTime := a.table.capacity.estimate.Mean(now)
	answered := now.Add(answerTime)
	ahead := a.table.inFlight
	for _, other := range a.queue.requests {
		if !other.deadline.Before(r.deadline) && goesBefore(other, r, answered) {
			ahead++
		}
	}
	return now.Add(jmopening.Wait(ahead, a.slots(), answerTime)).After(r.deadline)
}
