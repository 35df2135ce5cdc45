package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// longLived is the age from which a flow counts as one that stays.
	longLived = time.Second
	// closedMemory is how long a flow is kept after both ends have closed it.
	closedMemory = 3 * time.Second
	// defaultIdle is how long a flow may be silent before the settings say.
	defaultIdle = 30 * time.Second
	// waitLimit and waitFactor, times the mean time to an answer, are how long a
	// request counts as load. Its caller may be gone, or the answer lost.
	waitLimit  = time.Second
	waitFactor = 10
	// endedLimit is how long an answer may come after the end of its flow, which
	// overtakes it at times.
	endedLimit = 50 * time.Millisecond
)

// flow is a flow at an agent.
type flow struct {
	balancer  uint32 // index into the agent's balancers and one, 0 if none is known
	hops      uint8
	isOpen    bool // the upstream has the end of the handshake
	isSure    bool // the upstream has sent a packet of the flow
	isWaiting bool // the upstream has a request that it has not begun to answer
	hasOffer  bool // the upstream has answered the opening packet
	ended     endFlags
	offer     uint32 // sequence number of that answer
	lastAck   uint32 // what the caller acknowledged last
	dataEnd   uint32 // sequence number of the newest data of the caller
	opened    time.Time
	used      time.Time
	asked     time.Time // start of the wait
	heldAt    time.Time // when the request came that was held back last
	heldFrom  uint32    // sequence number of its first data
}

type endFlags uint8

const (
	callerEnded endFlags = 1 << iota
	upstreamEnded
	bothEnded = callerEnded | upstreamEnded
)

// table holds the flows of an agent's upstream and its load.
type table struct {
	flows   map[jasminemoor.FlowKey]*flow
	waiting int
	// answerTime is the mean time to the first byte of an answer.
	answerTime time.Duration
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
		t.stopWaiting(f)
		delete(t.flows, key)
	}
}

// noteCaller takes note of a packet that goes to the upstream.
func (t *table) noteCaller(now time.Time, f *flow, p *jasminemoor.Packet) {
	f.used = now
	if p.Flags.Has(jasminemoor.FlagAck) {
		f.lastAck = p.Acknowledged
	}
	if p.Flags.Has(jasminemoor.FlagEnd) {
		// A caller that ends a flow before the answer has given up, and the
		// upstream may never answer.
		f.ended |= callerEnded
		t.stopWaiting(f)
	}
	if p.Flags.Has(jasminemoor.FlagReset) {
		f.ended = bothEnded
		t.stopWaiting(f)
	}
	if p.Length == 0 || !f.isNewData(p) {
		return
	}
	f.dataEnd = p.Sequence + uint32(p.Length)
	t.startWaiting(now, f)
}

// isNewData reports whether a packet has data that was not seen before.
func (f *flow) isNewData(p *jasminemoor.Packet) bool {
	return f.dataEnd == 0 || int32(p.Sequence+uint32(p.Length)-f.dataEnd) > 0
}

func (t *table) startWaiting(now time.Time, f *flow) {
	// On a flow that one end has ended there is no answer to wait for.
	if !f.isWaiting && f.ended == 0 {
		f.isWaiting, f.asked = true, now
		t.waiting++
	}
}

// noteUpstream takes note of a packet of the upstream. It returns how long the
// request took that it begins to answer, or 0.
func (t *table) noteUpstream(now time.Time, f *flow, p *jasminemoor.Packet) (took time.Duration) {
	f.used, f.isSure = now, true
	if p.Length > 0 && f.isWaiting {
		took = now.Sub(f.asked)
		t.answerTime += (took - t.answerTime) / answerTimeShare
		t.stopWaiting(f)
	}
	if p.Flags.Has(jasminemoor.FlagEnd) {
		f.ended |= upstreamEnded
	}
	return took
}

// answerTimeShare is the share of the newest sample in the mean answer time.
const answerTimeShare = 16

func (t *table) stopWaiting(f *flow) {
	if f.isWaiting {
		f.isWaiting = false
		t.waiting--
	}
}

// expireWaiting takes it that requests without an answer for long are lost, and
// returns their number.
func (t *table) expireWaiting(now time.Time) (lost int) {
	limit := max(waitLimit, waitFactor*t.answerTime)
	for _, f := range t.flows {
		if !f.isWaiting {
			continue
		}
		hasEnded := f.ended&upstreamEnded != 0 && now.Sub(f.used) > endedLimit
		if hasEnded || now.Sub(f.asked) > limit {
			t.stopWaiting(f)
			lost++
		}
	}
	return lost
}

// forget drops the flows that are closed or were silent for too long.
func (t *table) forget(now time.Time, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	for key, f := range t.flows {
		silent := now.Sub(f.used)
		if silent > idle+closedMemory || f.ended == bothEnded && silent > closedMemory || !f.isOpen && silent > closedMemory {
			t.remove(key)
		}
	}
}

// longFlows counts the flows that stay.
func (t *table) longFlows(now time.Time) (n int) {
	for _, f := range t.flows {
		if f.isOpen && f.ended == 0 && now.Sub(f.opened) >= longLived {
			n++
		}
	}
	return n
}
