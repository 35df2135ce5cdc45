package jmflows

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	callerDelay          = time.Millisecond        // to the balancer or from the agent, one way
	openTimeout          = 1400 * time.Millisecond // until an attempt to open a flow fails
	retransmitDelay      = 200 * time.Millisecond  // before the first retransmission
	maxRetransmitDelay   = 1600 * time.Millisecond // bounds the exponential backoff
	requestSize          = 500
	routersLag           = time.Second // delay of the routers' failure detection, not simulated
	firstPort            = 1024
	maxAttempts          = 3
	thinkJitter          = 0.5                    // share of the mean pause between requests
	secondOpenRetransmit = 600 * time.Millisecond // of an opening packet, since it was first sent
)

// request is a request of a caller, with all its attempts.
type request struct {
	class     *Class
	sentAt    time.Time
	attempts  int
	runs      int  // times that an upstream began to run it
	isEnded   bool // its outcome is known
	isCounted bool // the result includes it
	// flowOpened is when its flow was opened if that was open when the request was sent.
	flowOpened time.Time
}

// countRun counts that an upstream began to run the request. A second run of a
// request that is not idempotent violates a guarantee.
func (r *request) countRun(w *World) {
	r.runs++
	if r.runs > 1 && !r.class.Idempotent {
		w.reportViolation("request of %s ran %d times", r.class.Name, r.runs)
	}
}

// caller is a simulated caller, which has one flow at a time.
type caller struct {
	world      *World
	addr       netip.Addr
	dataCentre int // index of its data centre
	port       uint16
	flow       *callerFlow
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	caller      *caller
	key         jasminemoor.FlowKey
	class       *Class
	sendNext    uint32 // sequence number of the next byte to send
	acked       uint32 // sequence number up to which the upstream has acknowledged
	receiveNext uint32 // sequence number of the next byte expected
	isOpen      bool   // the handshake is complete
	isEnded     bool
	// isCutOff is set if the network has lost the newest packet on its way to an agent, or
	// a reset since.
	isCutOff  bool
	request   *request
	opened    time.Time
	lasts     time.Duration // after which the caller opens another one, 0 if never
	onAnswer  func(isSuccess bool)
	onFailure func() // called when the flow is reset or isn't opened in time
}

// startCallers schedules the load: the callers with long flows, and the arrivals of
// requests that have a flow each.
func (w *World) startCallers() {
	for i := range w.Classes {
		c := &w.Classes[i]
		c.serviceAddr = c.address(i)
		if c.IsLong {
			for range c.Callers {
				w.after(time.Duration(w.Rand.Float64()*float64(c.thinkTime(w))), w.newCaller().requestLoop(c))
			}
			continue
		}
		w.scheduleArrival(c)
	}
}

func (w *World) newCaller() *caller {
	index := len(w.callers)
	addr := netip.AddrFrom4([4]byte{100, byte(64 + index>>16), byte(index >> 8), byte(index)})
	c := &caller{world: w, addr: addr, dataCentre: index % max(w.DataCentres, 1), port: firstPort}
	w.callers = append(w.callers, c)
	return c
}

// scheduleArrival schedules the next request of a class, from a new caller, and
// after it the following ones. The arrivals are a Poisson process, whose rate is
// higher during bursts.
func (w *World) scheduleArrival(c *Class) {
	gap := w.Rand.ExpFloat64() / (c.PerSecond * w.loadFactor(c))
	w.after(time.Duration(gap*float64(time.Second)), func() {
		sender := w.newCaller()
		r := w.newRequest(c)
		sender.startAttempt(r, func() {})
		w.scheduleArrival(c)
	})
}

// newRequest returns a request that is sent now and fails at its deadline if it has
// not ended before.
func (w *World) newRequest(c *Class) *request {
	r := &request{class: c, sentAt: w.now}
	w.result.requests = append(w.result.requests, r)
	w.result.countRequest(w, r)
	w.after(time.Duration(c.Deadline), func() { w.result.endRequest(w, r, false) })
	return r
}

// thinkTime draws the pause between two requests of a long flow.
func (c *Class) thinkTime(w *World) time.Duration {
	mean := float64(c.Callers) / (c.PerSecond * w.loadFactor(c))
	return time.Duration(mean * (1 - thinkJitter + 2*thinkJitter*w.Rand.Float64()) * float64(time.Second))
}

// requestLoop returns a function that sends requests on the caller's long flow one
// by one, with a pause between the end of one and the next.
func (c *caller) requestLoop(class *Class) func() {
	var sendNext func()
	sendNext = func() {
		r := c.world.newRequest(class)
		next := func() { c.world.after(class.thinkTime(c.world), sendNext) }
		c.startAttempt(r, next)
	}
	return sendNext
}

// startAttempt starts an attempt to send a request, on the caller's flow or a new
// one. It calls done when the attempt has ended and no retry follows.
func (c *caller) startAttempt(r *request, done func()) {
	w := c.world
	if r.isEnded || r.attempts >= maxAttempts {
		w.result.endRequest(w, r, false)
		done()
		return
	}
	r.attempts++
	f := c.flow
	if f != nil && f.lasts > 0 && w.now.Sub(f.opened) >= f.lasts {
		f.close()
	}
	if f == nil || f.isEnded || !r.class.IsLong {
		f = c.open(r.class)
	}
	if f.isOpen && r.attempts == 1 {
		r.flowOpened = f.opened
	}
	f.request = r
	t := &attempt{flow: f, request: r, done: done}
	f.onAnswer, f.onFailure = t.handleAnswer, t.handleFailure
	left := r.sentAt.Add(time.Duration(r.class.Deadline)).Sub(w.now)
	w.after(left, t.expire)
	if f.isOpen {
		f.sendRequest()
	}
}

// attempt is one attempt to get an answer to a request on a flow.
type attempt struct {
	flow    *callerFlow
	request *request
	done    func() // called when the attempt has ended and no retry follows
	isOver  bool
}

// finish ends the attempt, and starts another one if the request should be retried.
func (t *attempt) finish(shouldRetry bool) {
	if t.isOver {
		return
	}
	t.isOver = true
	if shouldRetry {
		t.flow.caller.startAttempt(t.request, t.done)
		return
	}
	t.done()
}

// handleAnswer ends the request after an answer of success, and retries it on a new
// flow after one that says that the request was not run.
func (t *attempt) handleAnswer(isSuccess bool) {
	if t.isOver {
		return
	}
	w := t.flow.caller.world
	if isSuccess {
		w.result.endRequest(w, t.request, true)
	}
	if !t.request.class.IsLong || !isSuccess {
		t.flow.close()
	}
	t.finish(!isSuccess)
}

// handleFailure retries the request on a new flow where that is safe.
func (t *attempt) handleFailure() {
	// A request that is not idempotent may have been run if the flow was open.
	isFinal := !t.request.class.Idempotent && t.flow.isOpen
	t.finish(!isFinal)
	if isFinal {
		w := t.flow.caller.world
		w.result.endRequest(w, t.request, false)
	}
}

// expire ends the attempt at the deadline of the request.
func (t *attempt) expire() {
	if !t.isOver {
		if t.flow.isOpen && !t.flow.caller.world.isHeld(t.flow) {
			t.flow.caller.world.result.countAbandoned(t.flow)
		}
		t.flow.close()
		t.finish(false)
	}
}

// open opens a new flow: it sends an opening packet and up to two retransmissions.
// The flow fails if it isn't open after openTimeout.
func (c *caller) open(class *Class) *callerFlow {
	w := c.world
	c.port++
	f := &callerFlow{caller: c, class: class, sendNext: w.Rand.Uint32(), opened: w.now, lasts: class.flowTime(w)}
	f.key = jasminemoor.NewFlowKey(netip.AddrPortFrom(c.addr, c.port), class.serviceAddr)
	c.flow = f
	w.result.opened++
	w.addFlow(f)
	for i, at := range []time.Duration{0, retransmitDelay, secondOpenRetransmit} {
		w.after(at, func() {
			if !f.isOpen && !f.isEnded {
				f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagOpen, Sequence: f.sendNext, Acknowledged: uint32(i), Age: at})
			}
		})
	}
	w.after(openTimeout, func() {
		if !f.isOpen {
			f.fail()
		}
	})
	return f
}

// fail ends the flow and reports the failure to the attempt that uses it.
func (f *callerFlow) fail() {
	if f.isEnded {
		return
	}
	f.isEnded = true
	if f.onFailure != nil {
		f.onFailure()
	}
}

// close ends the flow and sends a packet with FlagEnd.
func (f *callerFlow) close() {
	if f.isEnded {
		return
	}
	f.isEnded = true
	f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagEnd | jasminemoor.FlagAck, Sequence: f.sendNext, Acknowledged: f.receiveNext})
}

// sendRequest sends the flow's request, and retransmits it with exponential backoff
// until it is acknowledged by an answer or has ended.
func (f *callerFlow) sendRequest() {
	start := f.sendNext
	f.sendNext += requestSize
	r, delay := f.request, retransmitDelay
	var send func()
	send = func() {
		if f.isEnded || f.request != r || r.isEnded || int32(f.acked-start) >= requestSize {
			return
		}
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: start, Acknowledged: f.receiveNext, Length: requestSize})
		f.caller.world.after(delay, send)
		delay = min(delay*2, maxRetransmitDelay)
	}
	send()
}

// send sends a packet to the service. The routers choose the balancer by a hash of
// the flow.
func (f *callerFlow) send(p *jasminemoor.Packet) {
	w := f.caller.world
	p.Source, p.Destination = f.key.Caller(), f.key.Service()
	packet := encode(p)
	f.isCutOff = false
	w.after(callerDelay, func() {
		n := w.balancerFor(f)
		if n == nil || !n.isUp {
			return
		}
		if w.Rand.Float64() < w.lossRate() {
			f.isCutOff = true
			return
		}
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			w.reportViolation("balancer got a packet that can't be decoded: %v", err)
			return
		}
		if m, _ := n.balancer.Handle(w.now, &p); m.Kind != 0 {
			n.send([]message{m}, packet)
		}
	})
}

// receive handles a packet from the upstream, or a reset. The flag isAgentReset
// marks a reset that an agent generated.
func (f *callerFlow) receive(p *jasminemoor.Packet, isAgentReset bool) {
	w := f.caller.world
	if f.isEnded {
		return
	}
	switch {
	case p.Flags.Has(jasminemoor.FlagReset):
		if isAgentReset && f.isOpen && w.isHeld(f) {
			w.reportViolation("open flow %s was reset while its upstream holds it", f.key)
		}
		f.fail()
	case p.Flags.Has(jasminemoor.FlagOpen):
		if f.isOpen {
			return
		}
		f.isOpen = true
		f.sendNext++
		f.acked, f.receiveNext = f.sendNext, p.Sequence+1
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sendNext, Acknowledged: f.receiveNext})
		f.sendRequest()
	case p.Length > 0 && f.isOpen && p.Sequence == f.receiveNext:
		f.receiveNext += uint32(p.Length)
		f.acked = p.Acknowledged
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sendNext, Acknowledged: f.receiveNext})
		f.isEnded = p.Flags.Has(jasminemoor.FlagEnd)
		if f.onAnswer != nil {
			f.onAnswer(p.Length != refusalSize)
		}
	}
}
