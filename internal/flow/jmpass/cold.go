package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmadmission"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// An upstream that warms up bears a limited rate of new flows, if its service has a
// ColdRate. Its agent sees every opening packet and counts them in a sliding window. It
// gives the upstream as many as it bears, which is less than the limit: the rest of the
// limit is for what a former run of the agent may have given it within the last second.
// See docs/design/cold-upstreams.md.

const (
	// coldSpan is the span in which an upstream gets at most its rate of one second. It is
	// longer than a second, since a packet may be sent some time after the decision.
	coldSpan = 1100 * time.Millisecond
	// entryLag is how long after a restart of its upstream an agent's copy of the
	// directory may show the former one.
	entryLag = 4 * time.Second
)

// coldState is an agent's knowledge of whether its upstream warms up, and of the new flows
// that it has got.
type coldState struct {
	window jmadmission.Window
	// restartedAt is when the agent last saw a sign that the upstream has started again,
	// and formerRun the run that the directory listed then.
	restartedAt time.Time
	formerRun   upstreamRun
	// isOlder is set if the upstream has sent a packet of a flow that was opened before
	// the agent started: the upstream has not started together with the agent.
	isOlder bool
	// wasWarm is set if the upstream has been warm since the agent started.
	wasWarm bool
}

// upstreamRun identifies a run of an upstream.
type upstreamRun struct {
	id   string
	born int64
}

func runOf(u *jmdirectory.Upstream) (r upstreamRun) {
	if u != nil {
		r = upstreamRun{id: u.ID, born: u.Born}
	}
	return r
}

// recordUnknownFlow records that the upstream has sent a packet of a flow that the agent
// does not know.
func (c *coldState) recordUnknownFlow(p *jasminemoor.Packet) {
	if !p.Flags.Has(jasminemoor.FlagOpen) && !p.Flags.Has(jasminemoor.FlagReset) {
		c.isOlder = true
	}
}

// recordRestart records a sign that the upstream has ended or has started again.
func (a *Agent) recordRestart(now time.Time) {
	a.cold.restartedAt, a.cold.wasWarm = now, false
	if a.snapshot.View != nil {
		a.cold.formerRun = runOf(a.snapshot.Upstreams[a.Upstream])
	}
}

// recordLoss records that the upstream no longer holds a flow. If the flow was neither
// closed nor idle, the upstream has started again.
func (a *Agent) recordLoss(now time.Time, f *flow) {
	if f.ended == 0 && now.Sub(f.lastUsed) < activeTime {
		a.recordRestart(now)
	}
}

// activeTime is how long after its last packet a flow is in use, so that no upstream
// discards it as idle.
const activeTime = 2 * time.Second

// coldRate returns the rate of new flows that the upstream bears while it warms up, 0 if
// it is warm or its service has no limit.
func (a *Agent) coldRate(now time.Time) float64 {
	rate := a.serviceColdRate()
	if rate == 0 || !a.isCold(now) {
		return 0
	}
	return rate
}

func (a *Agent) serviceColdRate() float64 {
	if a.snapshot.View == nil || a.snapshot.Services[a.Service] == nil {
		return 0
	}
	return a.snapshot.Services[a.Service].ColdRate
}

// isCold reports whether the upstream may be warming up. An upstream of which the agent
// does not know that it is warm may be.
func (a *Agent) isCold(now time.Time) bool {
	c := &a.cold
	own := a.snapshot.Upstreams[a.Upstream]
	if own != nil && now.Before(own.WarmAt) {
		return true
	}
	if !c.restartedAt.IsZero() && runOf(own) == c.formerRun && now.Sub(c.restartedAt) < entryLag {
		return true
	}
	if !a.IsFirstStart && !c.isOlder && now.Sub(a.started) < entryLag {
		return true
	}
	if own != nil {
		c.wasWarm = true
	}
	return !c.wasWarm
}

// coldLimits returns how many new flows the upstream gets in a span from this run of the
// agent, and how many of them in the first one, which may add to those from a former run.
func (a *Agent) coldLimits(rate float64) (planned, first int) {
	overrun := a.ColdOverrun
	if overrun == 0 {
		overrun = 1
	}
	most := int(rate*overrun + a.ColdSlack)
	planned = min(max(int(rate), 1), most)
	return planned, most - planned
}

// allowOpening reports whether the upstream may get an opening packet now, and counts it.
func (a *Agent) allowOpening(now time.Time) bool {
	rate := a.serviceColdRate()
	if rate == 0 {
		return true
	}
	a.cold.window.Span = coldSpan
	a.cold.window.Limit, _ = a.coldLimits(rate)
	if a.isCold(now) && a.roomNow(now, rate) <= 0 {
		return false
	}
	a.cold.window.Record(now)
	return true
}

// roomNow returns how many opening packets the upstream may get now while it warms up.
// Within the first span after the agent's start, the number grows with time, so that
// several starts within a second do not add up.
func (a *Agent) roomNow(now time.Time, rate float64) int {
	planned, first := a.coldLimits(rate)
	count := a.cold.window.Count(now)
	room := planned - count
	if age := now.Sub(a.started); age < coldSpan && !a.IsFirstStart && !a.sawUpstreamDown {
		room = min(room, int(float64(first)*float64(age)/float64(coldSpan))-count)
	}
	return max(room, 0)
}

// coldRoom returns the Room of a report.
func (a *Agent) coldRoom(now time.Time) uint16 {
	if a.snapshot.View == nil {
		// Balancers know whether there is a limit.
		return 0
	}
	rate := a.coldRate(now)
	if rate == 0 {
		return jmhop.NoLimit
	}
	return uint16(min(a.roomNow(now, rate), jmhop.NoLimit-1))
}

// refuseCold hands a new flow on that the own upstream can't take while it warms up. If it
// was handed on too often or there is no other upstream, the flow is reset. If the
// upstream has got a copy of its opening packet, the flow is left alone, since it may be
// about to open.
func (a *Agent) refuseCold(now time.Time, from netip.Addr, key jasminemoor.FlowKey, p *jasminemoor.Packet, h *jmhop.Header) Reason {
	if f := a.table.get(key); f != nil && f.ended != bothEnded {
		return ReasonCold
	}
	if h.Hops < maxHops {
		if to, ok := a.coldAlternative(now, key, from, int(h.Hops)); ok {
			header := *h
			header.Wait = 0
			a.handOn(now, key, to, header, nil)
			return ReasonCold
		}
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
	return ReasonColdRefused
}

// coldAlternative returns another candidate for a new flow, other than the agent that it
// came from, and a warm one if there is one.
func (a *Agent) coldAlternative(now time.Time, key jasminemoor.FlowKey, from netip.Addr, hops int) (to netip.Addr, ok bool) {
	route := a.snapshot.Routes[key.Service()]
	if route == nil || a.snapshot.Services[route.Pick(key)] == nil {
		return to, false
	}
	var warm, all []netip.Addr
	rank := 0
	for _, r := range rankAll(key, a.snapshot.Services[route.Pick(key)].Upstreams) {
		if !r.upstream.IsReady() {
			continue
		}
		if rank++; rank > candidateCount {
			break
		}
		agent := r.upstream.Address.Addr()
		if agent == a.Self || agent == from {
			continue
		}
		all = append(all, agent)
		if !now.Before(r.upstream.WarmAt) {
			warm = append(warm, agent)
		}
	}
	if len(warm) > 0 {
		all = warm
	}
	if len(all) == 0 {
		return to, false
	}
	return all[(key.Hash()+uint64(hops))%uint64(len(all))], true
}

// roomTTL is how long a balancer goes by the room in an agent's report.
const roomTTL = time.Second

// hasNoRoom reports whether an agent's upstream warms up and can take no more new flows at
// present, by the agent's last report.
func (a *agentState) hasNoRoom(now time.Time) bool {
	return !a.reported.IsZero() && now.Sub(a.reported) < roomTTL && a.report.Room != jmhop.NoLimit && a.placed >= uint32(a.report.Room)
}
