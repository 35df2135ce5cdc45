package jmpass

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmadmission"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// An upstream that warms up bears a limited rate of new flows, if its service has a
// ColdRate. Its agent sees every opening packet. It hands new flows on beyond that rate if
// there are warm upstreams, and in any case beyond the hard limit, which has some
// tolerance. See docs/design/cold-upstreams.md.

const (
	// sendDelay is how long after the decision a packet may be sent.
	sendDelay = 100 * time.Millisecond
	// burstShare is the share of the hard limit that an upstream may get at once. The rest
	// is the rate at which it gets more.
	burstShare = 0.125
	// almostOne is what the sum of two numbers may have beyond an integer, to which it is
	// rounded down.
	almostOne = 0.9
	// entryLag is how long after a restart of its upstream an agent's copy of the
	// directory may show the former one, if the copy is complete.
	entryLag = 4 * time.Second
	// maxWarmUp is how long after a restart an upstream of which the copy tells nothing,
	// since the platform's store can't be read, may still warm up.
	maxWarmUp = 10 * time.Second
)

// coldState is an agent's knowledge of whether its upstream warms up, and of the new flows
// that it has got.
type coldState struct {
	// planned counts the new flows of the last second, and hard keeps the hard limit.
	planned jmadmission.Window
	hard    jmadmission.Pace
	// restartedAt is when the agent last saw proof that the upstream has started again,
	// and formerRun the run that the directory listed at the last proof or doubt.
	restartedAt time.Time
	formerRun   upstreamRun
	watch       watch
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

// recordRestart records that the upstream has ended or has started again.
func (a *Agent) recordRestart(now time.Time) {
	a.cold.restartedAt = now
	a.cold.watch.epoch++
	a.cold.watch.wasWarm = false
	a.recordFormerRun()
	a.service.ended = a.cold.formerRun
}

// recordFormerRun records that the run that the directory lists may have ended.
func (a *Agent) recordFormerRun() {
	a.cold.wasWarm = false
	if a.snapshot.View != nil {
		a.cold.formerRun = runOf(a.snapshot.Upstreams[a.Upstream])
	}
}

// recordLoss records that the upstream no longer holds a flow. If the flow was neither
// closed nor idle, the upstream has started again.
func (a *Agent) recordLoss(now time.Time, f *flow) {
	if f.ended == 0 && now.Sub(f.lastUsed) < activeTime {
		a.recordRestart(now)
		a.doubtService(now, true)
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
	a.updateWatch(now)
	if runOf(own) == c.formerRun && (a.mayWarmUpSince(now, c.restartedAt) || a.mayWarmUpSince(now, c.watch.doubtedAt)) {
		return true
	}
	if own != nil {
		c.watch.doubtedAt, c.wasWarm = time.Time{}, true
	}
	return !c.wasWarm
}

// mayWarmUpSince reports whether an upstream that may have started at the given time may
// still warm up although the directory lists the run before.
func (a *Agent) mayWarmUpSince(now, startedAt time.Time) bool {
	since := now.Sub(startedAt)
	return !startedAt.IsZero() && since < maxWarmUp && min(a.snapshot.AsOf.Sub(startedAt), since) < entryLag
}

// setColdLimits sets the limits for a service's rate.
func (a *Agent) setColdLimits(rate float64) {
	overrun := a.ColdOverrun
	if overrun == 0 {
		overrun = 1
	}
	most := math.Floor(rate*overrun + a.ColdSlack)
	c := &a.cold
	c.planned.Limit = max(int(rate), 1)
	// Any second has at most Burst and what Rate adds in that second and sendDelay, rounded
	// down.
	c.hard.Burst = min(max(math.Floor(burstShare*most), 1), most)
	c.hard.Rate = (most - c.hard.Burst + almostOne) / (time.Second + sendDelay).Seconds()
}

// advanceCold keeps the limits up to date. It is called at each tick.
func (a *Agent) advanceCold(now time.Time) {
	a.cold.watch.ticks++
	if rate := a.serviceColdRate(); rate > 0 {
		a.setColdLimits(rate)
		a.cold.hard.Advance(now)
		a.updateWatch(now)
	}
}

// allowOpening reports whether the upstream may get an opening packet now, and counts it.
// canHandOn reports whether a warm upstream can have it instead.
func (a *Agent) allowOpening(now time.Time, canHandOn func() bool) bool {
	rate := a.serviceColdRate()
	if rate == 0 {
		return true
	}
	a.setColdLimits(rate)
	switch {
	case !a.isCold(now):
		a.cold.hard.Charge(now)
	case a.cold.planned.Room(now) == 0 && canHandOn():
		return false
	case !a.cold.hard.Allow(now):
		return false
	}
	a.cold.planned.Record(now)
	return true
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
	a.setColdLimits(rate)
	return uint16(min(a.cold.planned.Room(now), jmhop.NoLimit-1))
}

// handleColdOpening hands a new flow on if the own upstream can't take it while it warms
// up, and reports whether that is so. If the flow was handed on too often or there is no
// other upstream, it is reset. If the upstream has got a copy of its opening packet, it is
// left alone, since it may be about to open.
func (a *Agent) handleColdOpening(now time.Time, from netip.Addr, key jasminemoor.FlowKey, p *jasminemoor.Packet, h *jmhop.Header) (reason Reason, isRefused bool) {
	warm := func() bool {
		_, isWarm := a.coldAlternative(now, key, from, int(h.Hops))
		return isWarm && h.Hops < maxHops
	}
	if a.allowOpening(now, warm) {
		return ReasonNone, false
	}
	if f := a.table.get(key); f != nil && f.ended != bothEnded {
		return ReasonCold, true
	}
	if h.Hops < maxHops {
		if to, _ := a.coldAlternative(now, key, from, int(h.Hops)); to.IsValid() {
			header := *h
			header.Wait = 0
			a.handOn(now, key, to, header, nil)
			return ReasonCold, true
		}
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
	return ReasonColdRefused, true
}

// coldAlternative returns another candidate for a new flow, other than the agent that it
// came from, and a warm one if there is one. to is not valid if there is no other one.
func (a *Agent) coldAlternative(now time.Time, key jasminemoor.FlowKey, from netip.Addr, hops int) (to netip.Addr, isWarm bool) {
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
	if isWarm = len(warm) > 0; isWarm {
		all = warm
	}
	if len(all) == 0 {
		return to, false
	}
	return all[(key.Hash()+uint64(hops))%uint64(len(all))], isWarm
}

// roomTTL is how long a balancer goes by the room in an agent's report.
const roomTTL = time.Second

// hasNoRoom reports whether an agent's upstream warms up and can take no more new flows at
// present, by the agent's last report.
func (a *agentState) hasNoRoom(now time.Time) bool {
	return !a.reported.IsZero() && now.Sub(a.reported) < roomTTL && a.report.Room != jmhop.NoLimit && a.placed >= uint32(a.report.Room)
}
