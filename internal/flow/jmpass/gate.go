package jmpass

import (
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// spareRequests is how many requests more than it has slots an upstream is
	// given, so that no slot stays empty between two of them.
	spareRequests = 1
	// maxHeld bounds the requests that wait at an agent.
	maxHeld = 1024
	// maxHeldPackets bounds the packets of one of them.
	maxHeldPackets = 8
	// repeatedTime is how long a request is kept that its caller repeats though its
	// time is up, or nearly: callers repeat within 1.6 s, or have given up.
	repeatedTime = 1600 * time.Millisecond
	// initialAnswerTime is assumed before the first answer.
	initialAnswerTime = 50 * time.Millisecond
)

// request is a request that waits at the agent for its upstream.
type request struct {
	flow     jasminemoor.FlowKey
	packets  [][]byte
	dataEnd  uint32 // sequence number of the newest data in them
	arrived  time.Time
	target   time.Time // when it should be answered
	deadline time.Time // when its caller gives up
	priority int
}

// gate holds requests back while their upstream is busy, and chooses the next.
//
// It answers the load pattern after an outage or in a burst: more requests than
// the upstreams can answer in time. An upstream serves in the order of arrival,
// so that all would be late. Those that can still meet their target go first,
// and of the others those whose time is up first. Lasting pressure would keep
// these until their callers give up; shortly before that they go if those in time
// can wait, and otherwise take each lastChanceTurn-th turn.
type gate struct {
	held []*request
	// turns counts the requests given since one had its last chance.
	turns int
	// targets is scratch of hasSlack.
	targets []time.Time
}

func (g *gate) find(flow jasminemoor.FlowKey) *request {
	for _, r := range g.held {
		if r.flow == flow {
			return r
		}
	}
	return nil
}

// add holds a packet of the request.
func (r *request) add(p *jasminemoor.Packet, packet []byte) {
	r.packets = append(r.packets, append([]byte(nil), packet...))
	if end := p.Sequence + uint32(p.Length); len(r.packets) == 1 || int32(end-r.dataEnd) > 0 {
		r.dataEnd = end
	}
}

// expire takes out the requests whose callers have given up.
func (g *gate) expire(now time.Time) (expired []*request) {
	kept := g.held[:0]
	for _, r := range g.held {
		if now.Before(r.deadline) {
			kept = append(kept, r)
		} else {
			expired = append(expired, r)
		}
	}
	clear(g.held[len(kept):])
	g.held = kept
	return expired
}

// next takes out the request to give to the upstream now, nil if there is
// none, given how long an answer takes and how many slots the upstream has.
func (g *gate) next(now time.Time, answerTime time.Duration, slots int) (chosen *request) {
	at, late := -1, -1
	answered := now.Add(answerTime)
	for i, r := range g.held {
		if at < 0 || goesBefore(r, g.held[at], answered) {
			at = i
		}
		isLast := answered.After(r.target) && answered.Add(lastChance).After(r.deadline)
		if isLast && !r.isLost(answered) && (late < 0 || goesBefore(r, g.held[late], answered)) {
			late = i
		}
	}
	if at < 0 {
		return nil
	}
	g.turns++
	if late >= 0 && (g.turns >= lastChanceTurn || g.hasSlack(now, answerTime, slots)) {
		at, g.turns = late, 0
	}
	chosen = g.held[at]
	g.held = append(g.held[:at], g.held[at+1:]...)
	return chosen
}

// hasSlack reports whether the requests that can be in time still can if
// another one goes before them.
func (g *gate) hasSlack(now time.Time, answerTime time.Duration, slots int) bool {
	answered := now.Add(answerTime)
	g.targets = g.targets[:0]
	for _, r := range g.held {
		if !answered.After(r.target) {
			g.targets = append(g.targets, r.target)
		}
	}
	slices.SortFunc(g.targets, time.Time.Compare)
	interval := answerTime / time.Duration(slots) // between two free slots
	for i, target := range g.targets {
		if answered.Add(time.Duration(i+slackSlots) * interval).After(target) {
			return false
		}
	}
	return true
}

const (
	// lastChance is how long before its caller gives up a late request may go
	// before others: some times what an answer takes.
	lastChance = 500 * time.Millisecond
	// lastChanceTurn bounds what that takes from those that can be in time.
	lastChanceTurn = 8
)

// slackSlots is how many free slots later than its turn a request must still be
// in time, for another one to go first.
const slackSlots = 2

// isLost reports whether nobody would wait any more for an answer at a time.
func (r *request) isLost(answered time.Time) bool { return answered.After(r.deadline) }

// goesBefore reports whether r is to be answered before other, if an answer
// would come at a time.
func goesBefore(r, other *request, answered time.Time) bool {
	isInTime, isOtherInTime := !answered.After(r.target), !answered.After(other.target)
	switch {
	case r.isLost(answered) != other.isLost(answered):
		return other.isLost(answered)
	case isInTime != isOtherInTime:
		return isInTime
	case r.priority != other.priority:
		return r.priority < other.priority
	case isInTime:
		return r.target.Before(other.target)
	}
	return r.deadline.Before(other.deadline)
}

func (g *gate) remove(flow jasminemoor.FlowKey) {
	for i, r := range g.held {
		if r.flow == flow {
			g.held = append(g.held[:i], g.held[i+1:]...)
			return
		}
	}
}

// offer gives a packet of an open flow to the upstream, or holds it back while
// the upstream has all the requests that it can work on.
func (a *Agent) offer(now time.Time, key jasminemoor.FlowKey, f *flow, p *jasminemoor.Packet, packet []byte) Reason {
	if len(a.gate.held) > 0 {
		if r := a.gate.find(key); r != nil {
			return a.holdMore(now, key, f, r, p, packet)
		}
	}
	hasEnded := f.ended != 0 || p.Flags.Has(jasminemoor.FlagEnd)
	if p.Length == 0 || f.isWaiting || hasEnded || !f.isNewData(p) || a.table.waiting < a.maxRequests() || len(a.gate.held) >= maxHeld {
		a.deliver(now, key, f, p)
		return ReasonHeld
	}
	r := &request{flow: key, arrived: now}
	switch {
	case !f.heldAt.IsZero() && f.heldFrom == p.Sequence:
		// Its time was up before, and the caller still repeats it.
		r.arrived = f.heldAt
	case f.dataEnd == 0 && !f.opened.IsZero():
		// The first request of a flow was sent when the caller opened it.
		r.arrived = f.opened
	}
	f.heldAt, f.heldFrom = r.arrived, p.Sequence
	a.setTimes(r)
	if earliest := now.Add(repeatedTime); r.deadline.Before(earliest) {
		r.deadline = earliest
	}
	r.add(p, packet)
	a.gate.held = append(a.gate.held, r)
	f.used, f.isOpen = now, true
	return ReasonHeldBack
}

// holdMore takes in a packet of a flow whose request is held back.
func (a *Agent) holdMore(now time.Time, key jasminemoor.FlowKey, f *flow, r *request, p *jasminemoor.Packet, packet []byte) Reason {
	f.used = now
	switch {
	case p.Flags.Has(jasminemoor.FlagReset):
		a.gate.remove(key)
		a.deliver(now, key, f, p)
		return ReasonHeld
	case p.Flags.Has(jasminemoor.FlagEnd):
		// The caller has given up, so the request must not run any more. What the
		// caller repeats from now on goes to the upstream, which ends the flow.
		a.gate.remove(key)
		f.ended |= callerEnded
		a.out = append(a.out, Message{Kind: Dropped, Flow: key, Packet: r.packets[0], Waited: now.Sub(r.arrived)})
		return ReasonGivenUp
	case p.Length == 0:
		a.deliver(now, key, f, p)
		return ReasonHeld
	case len(r.packets) < maxHeldPackets && !r.has(packet):
		r.add(p, packet)
	}
	return ReasonHeldBack
}

// has reports whether a packet is held already, and the caller has repeated it.
func (r *request) has(packet []byte) bool {
	for _, known := range r.packets {
		if string(known) == string(packet) {
			return true
		}
	}
	return false
}

func (a *Agent) setTimes(r *request) {
	r.target, r.deadline = r.arrived.Add(defaultTarget), r.arrived.Add(defaultTimeout)
	if a.snapshot.View == nil {
		return
	}
	if route := a.snapshot.Routes[r.flow.Service()]; route != nil {
		r.priority = route.Priority
		if route.Target > 0 {
			r.target = r.arrived.Add(route.Target)
		}
		if route.Timeout > 0 {
			r.deadline = r.arrived.Add(route.Timeout)
		}
	}
}

// Times of requests whose route gives none.
const (
	defaultTarget  = 250 * time.Millisecond
	defaultTimeout = 5 * time.Second
)

// maxRequests is how many requests the upstream is given at a time.
func (a *Agent) maxRequests() int { return a.slots() + spareRequests }

// slots is how many requests the upstream works on at a time.
func (a *Agent) slots() int {
	if a.snapshot.View != nil {
		if own := a.snapshot.Upstreams[a.Upstream]; own != nil && own.Slots > 0 {
			return own.Slots
		}
	}
	return defaultSlots
}

// dropExpired lets go of the held requests whose callers have given up.
func (a *Agent) dropExpired(now time.Time) {
	for _, r := range a.gate.expire(now) {
		a.Counts[ReasonGivenUp]++
		a.out = append(a.out, Message{Kind: Dropped, Flow: r.flow, Packet: r.packets[0], Waited: now.Sub(r.arrived)})
	}
}

// release gives held requests to the upstream while it has room.
func (a *Agent) release(now time.Time) {
	a.dropExpired(now)
	for len(a.gate.held) > 0 && a.table.waiting < a.maxRequests() {
		r := a.gate.next(now, max(a.table.answerTime, initialAnswerTime), a.slots())
		if r == nil {
			return
		}
		f := a.table.get(r.flow)
		if f == nil {
			continue
		}
		for i, packet := range r.packets {
			m := Message{Kind: ToUpstream, Flow: r.flow, Packet: packet}
			if i == 0 {
				m.Waited = now.Sub(r.arrived)
			}
			a.out = append(a.out, m)
		}
		a.noteUnanswered(now)
		f.dataEnd = r.dataEnd
		a.table.startWaiting(now, f)
	}
}
