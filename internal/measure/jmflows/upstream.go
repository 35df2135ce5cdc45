package jmflows

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	queueLimit    = 20                     // requests in an upstream's queue
	maxQueueWait  = 300 * time.Millisecond // after which a queued request is refused
	warmUpTime    = 2 * time.Second
	coldFactor    = 1.6  // by which the work takes longer during the warm-up
	workSigma     = 0.5  // of the log-normal distribution of a request's work
	maxWorkFactor = 6    // bounds a request's work, as a multiple of the mean
	answerSize    = 1000 // bytes
)

// upstream is a simulated upstream. It runs requests in the order of arrival, and
// sends packets of unknown flows back to its agent.
type upstream struct {
	node     *node
	addr     netip.AddrPort
	isUp     bool
	isListed bool
	// isLeaving makes the upstream end each flow with its next answer.
	isLeaving bool
	hasEnded  bool // it has ended, and all processes know
	starts    int
	startedAt time.Time
	// listedSince is since when the directory has listed the upstream or one before it
	// without a gap.
	listedSince time.Time
	warmAt      time.Time // when the warm-up ends
	slowdown    float64   // factor on the time that a request takes
	speed       float64   // by which the time that a request takes is divided
	breakShare  float64   // share of the requests that get a reset for an answer
	flows       map[jasminemoor.FlowKey]*upstreamFlow
	running     int // requests in slots
	queue       []*job
	openings    []time.Time // arrivals of opening packets in the last second of the warm-up
}

// upstreamFlow is the upstream's end of a flow.
type upstreamFlow struct {
	sendNext    uint32 // sequence number of the next byte to send
	receiveNext uint32 // sequence number of the next byte expected
	isOpen      bool   // the handshake is complete
	isBusy      bool   // a request is queued or running
	lastAnswer  []byte // newest answer, sent again when its request is retransmitted
}

// job is a request that an upstream has received.
type job struct {
	flow    jasminemoor.FlowKey
	request *request
	queued  time.Time
}

func (u *upstream) start(isCold bool) {
	u.starts++
	u.startedAt = u.node.world.now
	if !u.isListed || u.isLeaving {
		u.listedSince = u.startedAt
	}
	u.isUp, u.isListed, u.isLeaving, u.hasEnded = true, true, false, false
	u.flows = make(map[jasminemoor.FlowKey]*upstreamFlow)
	u.running, u.queue, u.openings = 0, nil, nil
	if isCold {
		u.warmAt = u.node.world.now.Add(warmUpTime)
	}
}

func (u *upstream) stop() {
	u.isUp = false
	u.node.endWatch()
}

// history returns what a process knows from the directory of the upstream's past; see
// jmdirectory.Upstream. A process knows what it has seen, and from its first copy what
// the entry of a former upstream tells that is still listed.
func (u *upstream) history(processStart time.Time) (listedSince, startedAfter time.Time) {
	isKnown := !processStart.After(u.startedAt)
	sawFormer := u.listedSince.Before(u.startedAt) && processStart.Sub(u.startedAt) < evictionDelay
	listedSince = u.listedSince
	if processStart.After(listedSince) && !sawFormer {
		listedSince = processStart
	}
	if isKnown || sawFormer {
		startedAfter = u.startedAt.Add(-startUncertainty)
	}
	return listedSince, startedAfter
}

// startUncertainty is how exactly the directory tells when an upstream has started.
const startUncertainty = 6 * time.Second

// isLive reports whether the upstream is up and has not been restarted since starts
// had the value run.
func (u *upstream) isLive(run int) bool { return u.isUp && u.starts == run }

// deliver sends a packet from the upstream's agent to the upstream.
func (u *upstream) deliver(packet []byte) {
	run := u.starts
	u.node.world.after(localDelay, func() {
		if u.isLive(run) {
			u.handle(packet)
		}
	})
}

// handle handles a packet from the agent.
func (u *upstream) handle(packet []byte) {
	var p jasminemoor.Packet
	if err := (codec{}).Decode(packet, &p); err != nil {
		u.node.world.reportViolation("upstream got a packet that can't be decoded: %v", err)
		return
	}
	key := p.Key()
	f := u.flows[key]
	if !p.Flags.Has(jasminemoor.FlagOpen) {
		u.node.world.countArrival(u, key)
	}
	switch {
	case p.Flags.Has(jasminemoor.FlagOpen):
		u.countOpening()
		if f == nil {
			f = &upstreamFlow{sendNext: u.node.world.Rand.Uint32(), receiveNext: p.Sequence + 1}
			u.flows[key] = f
		}
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagOpen | jasminemoor.FlagAck, Sequence: f.sendNext, Acknowledged: f.receiveNext})
		return
	case f == nil || !f.isOpen && p.Acknowledged != f.sendNext+1:
		p.Flags |= jasminemoor.FlagReturned
		u.sendToAgent(encode(&p))
		return
	case p.Flags.Has(jasminemoor.FlagReset):
		delete(u.flows, key)
		return
	case p.Flags.Has(jasminemoor.FlagEnd):
		delete(u.flows, key)
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sendNext + 1, Acknowledged: p.Sequence + 1})
		return
	}
	if !f.isOpen {
		f.isOpen = true
		f.sendNext++
	}
	if p.Length > 0 {
		u.handleData(key, f, &p)
	}
}

// countOpening counts an opening packet. More of them than an upstream that warms up may
// get in a second violate a guarantee.
func (u *upstream) countOpening() {
	w := u.node.world
	if w.ColdRate == 0 || !w.now.Before(u.warmAt) {
		return
	}
	for len(u.openings) > 0 && w.now.Sub(u.openings[0]) > time.Second {
		u.openings = u.openings[1:]
	}
	u.openings = append(u.openings, w.now)
	if limit := w.ColdRate*coldOverrun + coldSlack; float64(len(u.openings)) > limit {
		w.reportViolation("upstream %s got %d opening packets in a second of its warm-up, limit %g", u.addr, len(u.openings), limit)
	}
}

// The limit of opening packets in a second of the warm-up is ColdRate * coldOverrun +
// coldSlack.
const (
	coldOverrun = 1.5
	coldSlack   = 5
)

// handleData handles a packet with data: a new request, or a retransmitted one.
func (u *upstream) handleData(key jasminemoor.FlowKey, f *upstreamFlow, p *jasminemoor.Packet) {
	w := u.node.world
	if p.Sequence != f.receiveNext {
		if !f.isBusy && f.lastAnswer != nil {
			u.sendToAgent(clone(f.lastAnswer))
		}
		return
	}
	f.receiveNext += uint32(p.Length)
	r := w.requestOn(key)
	if r == nil || f.isBusy {
		return
	}
	if w.Rand.Float64() < u.breakShare {
		delete(u.flows, key)
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagReset, Sequence: f.sendNext})
		return
	}
	f.isBusy = true
	j := &job{flow: key, request: r, queued: w.now}
	if len(u.queue) >= queueLimit {
		u.answer(j, false)
		return
	}
	u.queue = append(u.queue, j)
	run := u.starts
	w.after(maxQueueWait, func() {
		if u.isLive(run) && u.removeJob(j) {
			u.answer(j, false)
		}
	})
	u.runQueued()
}

// removeJob removes a job from the queue, and reports whether it was there.
func (u *upstream) removeJob(j *job) bool {
	for i, each := range u.queue {
		if each == j {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			return true
		}
	}
	return false
}

// runQueued starts queued requests while there are free slots.
func (u *upstream) runQueued() {
	w := u.node.world
	for u.running < w.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		j.request.countRun(w)
		w.result.countRun(w, u.node)
		run := u.starts
		w.after(u.workTime(j.request.class), func() {
			if u.isLive(run) {
				u.running--
				u.answer(j, true)
				u.runQueued()
			}
		})
	}
}

// workTime draws the time that a request takes in its slot.
func (u *upstream) workTime(c *Class) time.Duration {
	w := u.node.world
	took := w.drawWork(c) * u.slowdown / u.speed
	if w.now.Before(u.warmAt) {
		took *= coldFactor
	}
	return time.Duration(took)
}

// drawWork draws the time that a request takes at an upstream of speed 1.
func (w *World) drawWork(c *Class) float64 {
	mean := float64(c.Work)
	work := math.Min(mean*math.Exp(w.Rand.NormFloat64()*workSigma-workSigma*workSigma/2), mean*maxWorkFactor)
	if c.Tail > 0 && w.Rand.Float64() < c.Tail {
		work *= c.TailFactor
	}
	return work
}

// answer sends the answer to a request. An answer of refusalSize tells the caller
// and the agent that the request failed.
func (u *upstream) answer(j *job, isSuccess bool) {
	f := u.flows[j.flow]
	if f == nil {
		return
	}
	f.isBusy = false
	length := answerSize
	if !isSuccess {
		length = refusalSize
	}
	p := &jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sendNext, Acknowledged: f.receiveNext, Length: length}
	if u.isLeaving {
		p.Flags |= jasminemoor.FlagEnd
		delete(u.flows, j.flow)
	}
	f.sendNext += uint32(length)
	f.lastAnswer = u.sendPacket(j.flow, p)
}

// refusalSize is the length of an answer to a request that was not run.
const refusalSize = 10

// sendPacket sends a packet to the caller of a flow, through the agent. It returns
// the encoded packet.
func (u *upstream) sendPacket(key jasminemoor.FlowKey, p *jasminemoor.Packet) []byte {
	p.Source, p.Destination = key.Service(), key.Caller()
	packet := encode(p)
	u.sendToAgent(clone(packet))
	return packet
}

// sendToAgent sends a packet to the upstream's agent. It is lost if the agent is down.
func (u *upstream) sendToAgent(packet []byte) {
	n := u.node
	n.world.after(localDelay, func() {
		if !n.isUp {
			return
		}
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			n.world.reportViolation("agent got a packet that can't be decoded: %v", err)
			return
		}
		out, _ := n.agent.HandleUpstream(n.world.now, &p, packet, p.Length == refusalSize)
		n.send(out, packet)
	})
}
