package jmflows

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	queueLimit = 20                     // requests that wait at an upstream
	queueTime  = 300 * time.Millisecond // until one that waits is refused
	coldTime   = 2 * time.Second
	coldSlower = 1.6
	workSpread = 0.5 // sigma of the logarithm
	workMost   = 6   // times the mean
	answerSize = 1000
)

// upstream is a simulated upstream. It holds flows, serves requests in the
// order of arrival, and returns what it does not know.
type upstream struct {
	node     *node
	addr     netip.AddrPort
	isUp     bool
	isListed bool
	// isLeaving has it end each flow with its next answer.
	isLeaving bool
	starts    int
	warmAt    time.Time
	speed     float64
	failing   float64 // share of the requests that it breaks off
	flows     map[jasminemoor.FlowKey]*upstreamFlow
	running   int
	queue     []*job
}

type upstreamFlow struct {
	sequence uint32 // of the next byte that it sends
	received uint32 // of the next byte that it expects
	isOpen   bool
	isBusy   bool
	answered []byte // its newest answer, sent again for a repeated request
}

type job struct {
	flow    jasminemoor.FlowKey
	request *request
	queued  time.Time
}

func (u *upstream) start(isCold bool) {
	u.starts++
	u.isUp, u.isListed, u.isLeaving = true, true, false
	u.flows = make(map[jasminemoor.FlowKey]*upstreamFlow)
	u.running, u.queue = 0, nil
	if isCold {
		u.warmAt = u.node.world.now.Add(coldTime)
	}
}

func (u *upstream) stop() { u.isUp = false }

func (u *upstream) isLive(run int) bool { return u.isUp && u.starts == run }

// deliver takes a packet of the own agent in.
func (u *upstream) deliver(packet []byte) {
	run := u.starts
	u.node.world.after(ownDelay, func() {
		if u.isLive(run) {
			u.handle(packet)
		}
	})
}

func (u *upstream) handle(packet []byte) {
	var p jasminemoor.Packet
	if err := (codec{}).Decode(packet, &p); err != nil {
		u.node.world.violate("upstream got a packet that can't be decoded: %v", err)
		return
	}
	key := p.Key()
	f := u.flows[key]
	switch {
	case p.Flags.Has(jasminemoor.FlagOpen):
		if f == nil {
			f = &upstreamFlow{sequence: u.node.world.Rand.Uint32(), received: p.Sequence + 1}
			u.flows[key] = f
		}
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagOpen | jasminemoor.FlagAck, Sequence: f.sequence, Acknowledged: f.received})
		return
	case f == nil || !f.isOpen && p.Acknowledged != f.sequence+1:
		p.Flags |= jasminemoor.FlagReturned
		u.giveAgent(encode(&p))
		return
	case p.Flags.Has(jasminemoor.FlagReset):
		delete(u.flows, key)
		return
	case p.Flags.Has(jasminemoor.FlagEnd):
		delete(u.flows, key)
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sequence + 1, Acknowledged: p.Sequence + 1})
		return
	}
	if !f.isOpen {
		f.isOpen = true
		f.sequence++
	}
	if p.Length > 0 {
		u.handleData(key, f, &p)
	}
}

func (u *upstream) handleData(key jasminemoor.FlowKey, f *upstreamFlow, p *jasminemoor.Packet) {
	w := u.node.world
	if p.Sequence != f.received {
		if !f.isBusy && f.answered != nil {
			u.giveAgent(clone(f.answered))
		}
		return
	}
	f.received += uint32(p.Length)
	r := w.requestOn(key)
	if r == nil || f.isBusy {
		return
	}
	if w.Rand.Float64() < u.failing {
		delete(u.flows, key)
		u.sendPacket(key, &jasminemoor.Packet{Flags: jasminemoor.FlagReset, Sequence: f.sequence})
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
	w.after(queueTime, func() {
		if u.isLive(run) && u.unqueue(j) {
			u.answer(j, false)
		}
	})
	u.work()
}

func (u *upstream) unqueue(j *job) bool {
	for i, each := range u.queue {
		if each == j {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			return true
		}
	}
	return false
}

// work runs what waits while there are free slots.
func (u *upstream) work() {
	w := u.node.world
	for u.running < w.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		j.request.ran(w)
		run := u.starts
		w.after(u.workTime(j.request.class), func() {
			if u.isLive(run) {
				u.running--
				u.answer(j, true)
				u.work()
			}
		})
	}
}

func (u *upstream) workTime(c *Class) time.Duration {
	w := u.node.world
	mean := float64(c.Work)
	took := mean * math.Exp(w.Rand.NormFloat64()*workSpread-workSpread*workSpread/2)
	took = math.Min(took, mean*workMost) * u.speed
	if w.now.Before(u.warmAt) {
		took *= coldSlower
	}
	return time.Duration(took)
}

// answer sends the answer to a request. The acknowledged number tells the
// model's caller whether it is one of success.
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
	p := &jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sequence, Acknowledged: f.received, Length: length}
	if u.isLeaving {
		p.Flags |= jasminemoor.FlagEnd
		delete(u.flows, j.flow)
	}
	f.sequence += uint32(length)
	f.answered = u.sendPacket(j.flow, p)
}

// refusalSize is the length of an answer that says that a request was not run.
const refusalSize = 10

func (u *upstream) sendPacket(key jasminemoor.FlowKey, p *jasminemoor.Packet) []byte {
	p.Source, p.Destination = key.Service(), key.Caller()
	packet := encode(p)
	u.giveAgent(clone(packet))
	return packet
}

// giveAgent hands a packet to the own agent, if it runs.
func (u *upstream) giveAgent(packet []byte) {
	n := u.node
	n.world.after(ownDelay, func() {
		if !n.isUp {
			return
		}
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			n.world.violate("agent got a packet that can't be decoded: %v", err)
			return
		}
		out, _ := n.agent.HandleUpstream(n.world.now, &p, packet, p.Length == refusalSize)
		n.send(out, packet)
	})
}
