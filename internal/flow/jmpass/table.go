package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// minLongLivedAge is the age from which a flow counts as long-lived.
	minLongLivedAge = time.Second
	// closedTTL is how long a flow that both ends have closed, or whose opening packet
	// the upstream has not answered, is kept after its last packet. Any other flow is
	// kept for the idle timeout and closedTTL: the upstream keeps a flow that it has
	// answered also while the caller's next packet is missing.
	closedTTL = 3 * time.Second
	// defaultIdleTimeout is the idle timeout of flows where the settings have none.
	defaultIdleTimeout = 30 * time.Second
	// minRequestTimeout, or requestTimeoutFactor times the mean time of the upstream's work
	// if that is longer, is how long a request without an answer counts as load. After that
	// its caller may have left, or the answer may be lost. It counts for longer if the
	// upstream has acknowledged it, or stalls.
	minRequestTimeout    = time.Second
	requestTimeoutFactor = 10
	// answerAfterEnd is how long after the end of its flow an answer may arrive, as
	// the end sometimes overtakes it.
	answerAfterEnd = 50 * time.Millisecond
)

// flow is the state of one flow at an agent.
type flow struct {
	balancer           uint32 // index into the agent's balancers plus 1, 0 if none is known
	hops               uint8
	isOpen             bool // the handshake is complete
	hasRequestInFlight bool // the upstream has not begun to answer a request
	isOverdue          bool // the answer to that request is overdue
	isAcknowledged     bool // the upstream has acknowledged the caller's newest data
	hasOpenReply       bool // the upstream has replied to the opening packet
	ended              endFlags
	// isInherited is set if the flow is known only from the list of the agent before this one.
	isInherited    bool
	openReply      uint32 // sequence number of that reply
	epoch          uint32 // watch.epoch when the upstream sent the flow's first packet
	lastAck        uint32 // sequence number that the caller acknowledged last
	dataEnd        uint32 // sequence number after the caller's newest data
	answerEnd      uint32 // sequence number after the upstream's newest data
	opened         time.Time
	lastUsed       time.Time
	requestedAt    time.Time // when the request in flight was sent
	workStarted    time.Time // when the upstream began to work on it, zero if it waits there
	queuedAt       time.Time // arrival of the request that was queued last
	queuedSequence uint32    // sequence number of that request's first data
}

// endFlags says which ends have closed a flow.
type endFlags uint8

const (
	callerEnded endFlags = 1 << iota
	upstreamEnded
	bothEnded = callerEnded | upstreamEnded
)

// table has the flows of an agent's upstream, and the upstream's load.
type table struct {
	flows    map[jasminemoor.FlowKey]*flow
	inFlight int
	capacity capacity
	stall    stall
	run      upstreamRun // that the directory lists
	// lostAt is when the upstream was last found to have started again. Requests of before
	// are lost.
	lostAt time.Time
}

func (t *table) get(key jasminemoor.FlowKey) *flow { return t.flows[key] }

func (t *table) add(key jasminemoor.FlowKey, f *flow) {
	if t.flows == nil {
		t.flows = make(map[jasminemoor.FlowKey]*flow)
	}
	t.flows[key] = f
}

func (t *table) remove(key jasminemoor.FlowKey) {
	if f := t.flows[key]; f != nil {
		t.endRequest(f)
		delete(t.flows, key)
	}
}

// recordCaller updates a flow for a packet that goes to the upstream.
func (t *table) recordCaller(now time.Time, f *flow, p *jasminemoor.Packet) {
	f.lastUsed = now
	if p.Flags.Has(jasminemoor.FlagAck) {
		f.lastAck = p.Acknowledged
	}
	if p.Flags.Has(jasminemoor.FlagEnd) {
		// A caller that ends a flow before the answer has given up, and the
		// upstream may never answer.
		f.ended |= callerEnded
		t.endRequest(f)
	}
	if p.Flags.Has(jasminemoor.FlagReset) {
		f.ended = bothEnded
		t.endRequest(f)
	}
	if p.Length == 0 || !f.isNewData(p) {
		return
	}
	f.dataEnd = p.Sequence + uint32(p.Length)
	t.startRequest(now, f)
}

// isNewData reports whether a packet has data that no earlier packet had.
func (f *flow) isNewData(p *jasminemoor.Packet) bool {
	return f.dataEnd == 0 || int32(p.Sequence+uint32(p.Length)-f.dataEnd) > 0
}

// startRequest counts a request as in flight.
func (t *table) startRequest(now time.Time, f *flow) {
	f.isAcknowledged = false
	// There is no answer to wait for on a flow that one end has closed.
	if !f.hasRequestInFlight && f.ended == 0 {
		f.hasRequestInFlight, f.isOverdue, f.requestedAt = true, false, now
		t.inFlight++
		t.capacity.startRequest(f)
	}
}

// isNewAnswer reports whether a packet from the upstream has data that no earlier packet
// had. The upstream repeats an answer if the caller retransmits its request.
func (f *flow) isNewAnswer(p *jasminemoor.Packet) bool {
	return p.Length > 0 && (f.answerEnd == 0 || int32(p.Sequence+uint32(p.Length)-f.answerEnd) > 0)
}

// recordUpstream updates a flow for a packet from the upstream. If the packet begins
// an answer, it returns the answer time, otherwise 0.
func (t *table) recordUpstream(now time.Time, f *flow, p *jasminemoor.Packet) (took time.Duration) {
	f.lastUsed = now
	if p.Flags.Has(jasminemoor.FlagAck) && int32(p.Acknowledged-f.dataEnd) >= 0 {
		f.isAcknowledged = true
	}
	if f.isNewAnswer(p) {
		f.answerEnd = p.Sequence + uint32(p.Length)
		if f.hasRequestInFlight {
			took = now.Sub(f.requestedAt)
			t.capacity.answered(f, p.Source)
			t.endRequest(f)
		}
	}
	if p.Flags.Has(jasminemoor.FlagEnd) {
		f.ended |= upstreamEnded
	}
	return took
}

// endRequest ends the flow's request in flight, if there is one.
func (t *table) endRequest(f *flow) {
	if f.hasRequestInFlight {
		f.hasRequestInFlight = false
		t.inFlight--
		t.capacity.endRequest(f)
	}
}

// requestTimeout returns how long a request may take until its answer is overdue.
func (t *table) requestTimeout(now time.Time) time.Duration {
	return max(minRequestTimeout, requestTimeoutFactor*t.capacity.estimate.Mean(now))
}

// endOverdueRequests ends the requests in flight whose answer is overdue, unless the
// upstream still has them, and returns the number of those that have become overdue.
func (t *table) endOverdueRequests(now time.Time) (overdue int) {
	limit := t.requestTimeout(now)
	for _, f := range t.flows {
		if !f.hasRequestInFlight {
			continue
		}
		hasEnded := f.ended&upstreamEnded != 0 && now.Sub(f.lastUsed) > answerAfterEnd
		if !hasEnded && now.Sub(f.requestedAt) <= limit {
			continue
		}
		if !f.isOverdue {
			f.isOverdue = true
			overdue++
		}
		if hasEnded || !t.keepsPlace(now, f, limit) {
			t.endRequest(f)
		}
	}
	return overdue
}

// keepsPlace reports whether a request that is overdue keeps its place, since the upstream has
// it or, if it stalls, may have it.
func (t *table) keepsPlace(now time.Time, f *flow, limit time.Duration) bool {
	if now.Sub(f.requestedAt) > limit+maxOverdue {
		return false
	}
	return f.isAcknowledged && f.requestedAt.After(t.lostAt) || t.stall.keeps(now, f.requestedAt, limit)
}

// recordRun records the run of the upstream that the directory lists.
func (t *table) recordRun(now time.Time, run upstreamRun) {
	if run == t.run || run == (upstreamRun{}) {
		return
	}
	if t.run != (upstreamRun{}) {
		t.lostAt = now
	}
	t.run = run
}

// evict removes the flows that are closed, idle for too long, or were never answered.
func (t *table) evict(now time.Time, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	for key, f := range t.flows {
		silent := now.Sub(f.lastUsed)
		isShortLived := f.ended == bothEnded || !f.isOpen && !f.hasOpenReply
		if silent > idle+closedTTL || isShortLived && silent > closedTTL {
			t.remove(key)
		}
	}
}

// longLivedFlows returns the number of open flows of at least minLongLivedAge.
func (t *table) longLivedFlows(now time.Time) (n int) {
	for _, f := range t.flows {
		if f.isOpen && f.ended == 0 && now.Sub(f.opened) >= minLongLivedAge {
			n++
		}
	}
	return n
}
