package jmpass

import (
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
	"github.com/jasminemoor/jasminemoor/internal/load/jmshares"
)

const (
	// spareRequests is how many requests beyond its slots an upstream gets, so that
	// no slot stays idle between two requests.
	spareRequests = 1
	// maxQueued bounds the queued requests of an agent. Others go to the upstream at
	// once.
	maxQueued = 1024
	// maxQueuedPackets bounds the packets of one queued request.
	maxQueuedPackets = 8
	// minQueueTime is how long a request may stay in the queue at least, even if its
	// deadline is past or near when its packet arrives. A caller that still waits
	// retransmits the packet within 1.6 s.
	minQueueTime = 1600 * time.Millisecond
)

// request is a request that is queued at the agent.
type request struct {
	flow     jasminemoor.FlowKey
	packets  [][]byte
	dataEnd  uint32    // sequence number after the newest data in packets
	arrived  time.Time // of the first packet, or earlier if the request is known to be older
	target   time.Time // when it should be answered
	deadline time.Time // when its caller gives up
	priority int       // lower numbers go first
	claim    jmshares.Claim
}

// requestQueue queues requests while the upstream is busy, and chooses the next one
// to admit.
//
// After an outage or in a burst there are more requests than the upstreams can
// answer in time. An upstream serves requests in the order of arrival, so that all
// of them would be late. The queue admits requests that can still meet their target
// first, by priority and then the earliest target first. After them it admits late
// requests, by priority and then the earliest deadline first. Under lasting overload
// the late requests would starve until their callers give up. Shortly before its
// deadline a late request is therefore admitted if the requests in time have slack,
// and otherwise with every lastChanceEvery-th admission.
//
// Where shares is set, requests of one priority go by the share of their route and of
// their client account before they go by time, so that a burst of one route or caller
// does not cost the others.
type requestQueue struct {
	requests []*request
	shares   *jmshares.Shares
	// sinceLastChance counts the admissions since the last one of a late request
	// shortly before its deadline.
	sinceLastChance int
	// targets is scratch space of hasSlack.
	targets []time.Time
}

func (q *requestQueue) find(flow jasminemoor.FlowKey) *request {
	for _, r := range q.requests {
		if r.flow == flow {
			return r
		}
	}
	return nil
}

// add appends a copy of a packet to the request.
func (r *request) add(p *jasminemoor.Packet, packet []byte) {
	r.packets = append(r.packets, append([]byte(nil), packet...))
	if end := p.Sequence + uint32(p.Length); len(r.packets) == 1 || int32(end-r.dataEnd) > 0 {
		r.dataEnd = end
	}
}

// push appends a request.
func (q *requestQueue) push(r *request) {
	r.claim = q.join(r)
	q.requests = append(q.requests, r)
}

// join returns the claim of a request that begins to wait.
func (q *requestQueue) join(r *request) (claim jmshares.Claim) {
	if q.shares == nil {
		return claim
	}
	return q.shares.Join(jmshares.Competitor{Priority: r.priority, Route: r.flow.Service(), Caller: r.flow.Caller().Addr()})
}

// leave gives up the share of a request that has not been admitted.
func (q *requestQueue) leave(r *request) {
	if q.shares != nil {
		q.shares.Leave(r.claim)
	}
}

// expire removes and returns the requests whose deadline has passed.
func (q *requestQueue) expire(now time.Time) (expired []*request) {
	kept := q.requests[:0]
	for _, r := range q.requests {
		if now.Before(r.deadline) {
			kept = append(kept, r)
		} else {
			expired = append(expired, r)
			q.leave(r)
		}
	}
	clear(q.requests[len(kept):])
	q.requests = kept
	return expired
}

// next removes and returns the request to admit now, nil if there is none.
// answerTime is how long an answer takes, and slots the number of the upstream's
// slots.
func (q *requestQueue) next(now time.Time, answerTime time.Duration, slots int) (chosen *request) {
	at, lastChance := -1, -1
	answered := now.Add(answerTime)
	for i, r := range q.requests {
		if at < 0 || goesBefore(r, q.requests[at], answered) {
			at = i
		}
		isLastChance := answered.After(r.target) && answered.Add(lastChanceTime).After(r.deadline)
		if isLastChance && !r.missesDeadline(answered) && (lastChance < 0 || goesBefore(r, q.requests[lastChance], answered)) {
			lastChance = i
		}
	}
	if at < 0 {
		return nil
	}
	q.sinceLastChance++
	if lastChance >= 0 && (q.sinceLastChance >= lastChanceEvery || q.hasSlack(now, answerTime, slots)) {
		at, q.sinceLastChance = lastChance, 0
	}
	chosen = q.requests[at]
	q.requests = append(q.requests[:at], q.requests[at+1:]...)
	if q.shares != nil {
		q.shares.Serve(chosen.claim, answerTime)
	}
	return chosen
}

// hasSlack reports whether the requests that can meet their target still can if
// another request is admitted before them.
func (q *requestQueue) hasSlack(now time.Time, answerTime time.Duration, slots int) bool {
	answered := now.Add(answerTime)
	q.targets = q.targets[:0]
	for _, r := range q.requests {
		if !answered.After(r.target) {
			q.targets = append(q.targets, r.target)
		}
	}
	slices.SortFunc(q.targets, time.Time.Compare)
	interval := answerTime / time.Duration(slots) // mean time between two slots becoming free
	for i, target := range q.targets {
		if answered.Add(time.Duration(i+slackSlots) * interval).After(target) {
			return false
		}
	}
	return true
}

const (
	// lastChanceTime is the time before the deadline of a late request within which
	// its answer must fall for the request to be admitted before others. It is several
	// times what an answer takes.
	lastChanceTime = 500 * time.Millisecond
	// lastChanceEvery is the number of admissions of which one goes to such a request
	// even if requests in time have no slack. It bounds the capacity that they lose.
	lastChanceEvery = 8
)

// slackSlots is the slack that each request in time must have for a late one to be
// admitted before it, in mean times between two slots becoming free.
const slackSlots = 2

// missesDeadline reports whether the caller would have given up by the time of an
// answer.
func (r *request) missesDeadline(answered time.Time) bool { return answered.After(r.deadline) }

// goesBefore reports whether r is to be admitted before other, where answered is
// when a request admitted now is answered.
func goesBefore(r, other *request, answered time.Time) bool {
	isInTime, isOtherInTime := !answered.After(r.target), !answered.After(other.target)
	switch {
	case r.missesDeadline(answered) != other.missesDeadline(answered):
		return other.missesDeadline(answered)
	case isInTime != isOtherInTime:
		return isInTime
	case r.priority != other.priority:
		return r.priority < other.priority
	case r.claim.Compare(&other.claim) != 0:
		return r.claim.Compare(&other.claim) < 0
	case isInTime:
		return r.target.Before(other.target)
	}
	return r.deadline.Before(other.deadline)
}

func (q *requestQueue) remove(flow jasminemoor.FlowKey) {
	for i, r := range q.requests {
		if r.flow == flow {
			q.leave(r)
			q.requests = append(q.requests[:i], q.requests[i+1:]...)
			return
		}
	}
}

// admit sends a packet of an open flow to the upstream. If the packet begins a
// request and the upstream has maxInFlight requests already, the request is queued,
// unless maxQueued requests are or the agent is leaving.
func (a *Agent) admit(now time.Time, key jasminemoor.FlowKey, f *flow, p *jasminemoor.Packet, packet []byte) Reason {
	if len(a.queue.requests) > 0 {
		if r := a.queue.find(key); r != nil {
			return a.handleQueued(now, key, f, r, p, packet)
		}
	}
	hasEnded := f.ended != 0 || p.Flags.Has(jasminemoor.FlagEnd)
	if p.Length == 0 || f.hasRequestInFlight || hasEnded || !f.isNewData(p) || !a.shouldQueue() {
		a.deliver(now, key, f, p)
		return ReasonHeld
	}
	r := &request{flow: key, arrived: now}
	switch {
	case !f.queuedAt.IsZero() && f.queuedSequence == p.Sequence:
		// The request has expired in the queue, and its caller retransmits it.
		r.arrived = f.queuedAt
	case f.dataEnd == 0 && !f.opened.IsZero():
		// The age of a flow's first request counts from the flow's opening.
		r.arrived = f.opened
	}
	f.queuedAt, f.queuedSequence = r.arrived, p.Sequence
	a.setTimes(r)
	if earliest := now.Add(minQueueTime); r.deadline.Before(earliest) {
		r.deadline = earliest
	}
	r.add(p, packet)
	a.queue.push(r)
	f.lastUsed, f.isOpen = now, true
	return ReasonHeldBack
}

// shouldQueue reports whether a request that comes now is to be queued.
func (a *Agent) shouldQueue() bool {
	return !a.isLeaving && a.table.inFlight >= a.maxInFlight() && len(a.queue.requests) < maxQueued
}

// handleQueued decides on a packet of a flow whose request is queued.
func (a *Agent) handleQueued(now time.Time, key jasminemoor.FlowKey, f *flow, r *request, p *jasminemoor.Packet, packet []byte) Reason {
	f.lastUsed = now
	switch {
	case p.Flags.Has(jasminemoor.FlagReset):
		a.queue.remove(key)
		a.deliver(now, key, f, p)
		return ReasonHeld
	case p.Flags.Has(jasminemoor.FlagEnd):
		// The caller has given up, so the request must not run any more. Packets that
		// the caller retransmits from now on go to the upstream, which ends the flow.
		a.queue.remove(key)
		f.ended |= callerEnded
		a.overload.Record(a.partyOf(key), jmoverload.GivenUp)
		a.out = append(a.out, Message{Kind: Dropped, Flow: key, Packet: r.packets[0], RequestAge: now.Sub(r.arrived)})
		return ReasonGivenUp
	case p.Length == 0:
		a.deliver(now, key, f, p)
		return ReasonHeld
	case len(r.packets) < maxQueuedPackets && !r.hasPacket(packet):
		r.add(p, packet)
	}
	return ReasonHeldBack
}

// hasPacket reports whether the request has a packet already, so that this one is
// a retransmission.
func (r *request) hasPacket(packet []byte) bool {
	for _, known := range r.packets {
		if string(known) == string(packet) {
			return true
		}
	}
	return false
}

// setTimes sets the target, the deadline and the priority of a request by its
// route.
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

// Times of requests whose route sets none.
const (
	defaultTarget  = 250 * time.Millisecond
	defaultTimeout = 5 * time.Second
)

// maxInFlight returns how many requests may be in flight at the upstream.
func (a *Agent) maxInFlight() int { return a.slots() + spareRequests }

// slots returns how many requests the upstream works on at a time.
func (a *Agent) slots() int {
	if own := a.ownEntry(); own != nil && own.Slots > 0 {
		return own.Slots
	}
	return defaultSlots
}

// ownEntry returns the entry of the own upstream, nil if there is none. It may be unplaced.
func (a *Agent) ownEntry() *jmdirectory.Upstream {
	if a.snapshot.View == nil {
		return nil
	}
	own := a.snapshot.Upstreams[a.Upstream]
	if own != nil && own.Service == a.Service {
		return own
	}
	for _, u := range a.snapshot.Unplaced[a.Service] {
		if u.Address == a.Upstream {
			return u
		}
	}
	return own
}

// dropExpired drops the queued requests whose callers have given up.
func (a *Agent) dropExpired(now time.Time) {
	for _, r := range a.queue.expire(now) {
		a.Counts[ReasonGivenUp]++
		a.overload.Record(a.partyOf(r.flow), jmoverload.GivenUp)
		a.out = append(a.out, Message{Kind: Dropped, Flow: r.flow, Packet: r.packets[0], RequestAge: now.Sub(r.arrived)})
	}
}

// admitQueued sends queued requests to the upstream while that has fewer than
// maxInFlight. It drops those whose callers have given up.
func (a *Agent) admitQueued(now time.Time) { a.admitUpTo(now, a.maxInFlight()) }

// AdmitBeforeLeaving sends the queued requests that go first to the upstream, as many as
// it has slots. The queue is lost with the agent, and the callers' next packets may come
// before the next agent runs.
func (a *Agent) AdmitBeforeLeaving(now time.Time) []Message {
	a.begin(now)
	a.admitUpTo(now, a.table.inFlight+a.slots())
	return a.out
}

// admitUpTo sends queued requests to the upstream while that has fewer than limit.
func (a *Agent) admitUpTo(now time.Time, limit int) {
	a.dropExpired(now)
	for len(a.queue.requests) > 0 && a.table.inFlight < limit {
		answerTime := a.admissionTime(now)
		r := a.queue.next(now, answerTime, a.slots())
		if r == nil {
			return
		}
		a.recordAdmitted(now, r, answerTime)
		f := a.table.get(r.flow)
		if f == nil {
			continue
		}
		for i, packet := range r.packets {
			m := Message{Kind: ToUpstream, Flow: r.flow, Packet: packet}
			if i == 0 {
				m.RequestAge = now.Sub(r.arrived)
			}
			a.out = append(a.out, m)
		}
		a.markUnanswered(now)
		f.dataEnd = r.dataEnd
		a.table.startRequest(now, f)
	}
}
