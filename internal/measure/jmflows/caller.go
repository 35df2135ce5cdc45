package jmflows

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	callerDelay  = time.Millisecond
	openTimeout  = 1400 * time.Millisecond
	firstRepeat  = 200 * time.Millisecond
	longRepeat   = 1600 * time.Millisecond
	requestSize  = 500
	routersLag   = time.Second // until routers leave a dead balancer out
	firstPort    = 1024
	maxTries     = 3
	thinkJitter  = 0.5
	openCopyLate = 600 * time.Millisecond
)

// request is one request of a caller, over all its tries.
type request struct {
	class    *Class
	began    time.Time
	tries    int
	runs     int
	isEnded  bool
	reported bool
}

// ran counts that an upstream began to work on the request.
func (r *request) ran(w *World) {
	r.runs++
	if r.runs > 1 && !r.class.Idempotent {
		w.violate("request of %s ran %d times", r.class.Name, r.runs)
	}
}

// caller is one simulated caller with one flow at a time.
type caller struct {
	world *World
	addr  netip.Addr
	zone  int
	port  uint16
	flow  *callerFlow
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	caller   *caller
	key      jasminemoor.FlowKey
	class    *Class
	sequence uint32
	acked    uint32 // acknowledged by the other end
	received uint32
	isOpen   bool
	isEnded  bool
	request  *request
	opened   time.Time
	answered func(isSuccess bool)
	failed   func()
}

// beginCallers starts the load: long flows, and flows of one request each.
func (w *World) beginCallers() {
	for i := range w.Classes {
		c := &w.Classes[i]
		c.at = c.address(i)
		if c.IsLong {
			for range c.Callers {
				w.after(time.Duration(w.Rand.Float64()*float64(c.think(w))), w.newCaller().loop(c))
			}
			continue
		}
		w.nextArrival(c)
	}
}

func (w *World) newCaller() *caller {
	at := len(w.callers)
	c := &caller{world: w, addr: netip.AddrFrom4([4]byte{100, 64, byte(at >> 8), byte(at)}), zone: at % max(w.DataCentres, 1), port: firstPort}
	w.callers = append(w.callers, c)
	return c
}

// nextArrival sends one request after another, at a rate that bursts raise.
func (w *World) nextArrival(c *Class) {
	gap := w.Rand.ExpFloat64() / (c.PerSecond * w.loadNow())
	w.after(time.Duration(gap*float64(time.Second)), func() {
		one := w.newCaller()
		r := w.newRequest(c)
		one.try(r, func() {})
		w.nextArrival(c)
	})
}

func (w *World) newRequest(c *Class) *request {
	r := &request{class: c, began: w.now}
	w.result.asked(w, r)
	w.after(time.Duration(c.Deadline), func() { w.result.end(w, r, false) })
	return r
}

// think returns the pause between two requests of one long flow.
func (c *Class) think(w *World) time.Duration {
	mean := float64(c.Callers) / (c.PerSecond * w.loadNow())
	return time.Duration(mean * (1 - thinkJitter + 2*thinkJitter*w.Rand.Float64()) * float64(time.Second))
}

// loop sends a request on the long flow of a caller, over and over.
func (c *caller) loop(class *Class) func() {
	var again func()
	again = func() {
		r := c.world.newRequest(class)
		next := func() { c.world.after(class.think(c.world), again) }
		c.try(r, next)
	}
	return again
}

// try makes one try of a request. Done is called once no more follow.
func (c *caller) try(r *request, done func()) {
	w := c.world
	if r.isEnded || r.tries >= maxTries {
		w.result.end(w, r, false)
		done()
		return
	}
	r.tries++
	f := c.flow
	if f == nil || f.isEnded || !r.class.IsLong {
		f = c.open(r.class)
	}
	f.request = r
	t := &try{flow: f, request: r, done: done}
	f.answered, f.failed = t.answered, t.failed
	left := r.began.Add(time.Duration(r.class.Deadline)).Sub(w.now)
	w.after(left, t.expire)
	if f.isOpen {
		f.sendRequest()
	}
}

// try is one try of a request on a flow.
type try struct {
	flow    *callerFlow
	request *request
	done    func() // called once no more tries follow
	isOver  bool
}

func (t *try) finish(again bool) {
	if t.isOver {
		return
	}
	t.isOver = true
	if again {
		t.flow.caller.try(t.request, t.done)
		return
	}
	t.done()
}

func (t *try) answered(isSuccess bool) {
	if t.isOver {
		return
	}
	w := t.flow.caller.world
	if isSuccess {
		w.result.end(w, t.request, true)
	}
	if !t.request.class.IsLong || !isSuccess {
		t.flow.close()
	}
	t.finish(!isSuccess)
}

func (t *try) failed() {
	// What may not run twice is repeated only if the flow never opened.
	isFinal := !t.request.class.Idempotent && t.flow.isOpen
	t.finish(!isFinal)
	if isFinal {
		w := t.flow.caller.world
		w.result.end(w, t.request, false)
	}
}

func (t *try) expire() {
	if !t.isOver {
		t.flow.close()
		t.finish(false)
	}
}

func (c *caller) open(class *Class) *callerFlow {
	w := c.world
	c.port++
	f := &callerFlow{caller: c, class: class, sequence: w.Rand.Uint32(), opened: w.now}
	f.key = jasminemoor.NewFlowKey(netip.AddrPortFrom(c.addr, c.port), class.at)
	c.flow = f
	w.result.opened++
	w.flowsByKey(f)
	for i, at := range []time.Duration{0, firstRepeat, openCopyLate} {
		w.after(at, func() {
			if !f.isOpen && !f.isEnded {
				f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagOpen, Sequence: f.sequence, Acknowledged: uint32(i), Age: at})
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

func (f *callerFlow) fail() {
	if f.isEnded {
		return
	}
	f.isEnded = true
	if f.failed != nil {
		f.failed()
	}
}

func (f *callerFlow) close() {
	if f.isEnded {
		return
	}
	f.isEnded = true
	f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagEnd | jasminemoor.FlagAck, Sequence: f.sequence, Acknowledged: f.received})
}

// sendRequest sends the request, and repeats it until it is answered.
func (f *callerFlow) sendRequest() {
	start := f.sequence
	f.sequence += requestSize
	r, repeat := f.request, firstRepeat
	var send func()
	send = func() {
		if f.isEnded || f.request != r || r.isEnded || int32(f.acked-start) >= requestSize {
			return
		}
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: start, Acknowledged: f.received, Length: requestSize})
		f.caller.world.after(repeat, send)
		repeat = min(repeat*2, longRepeat)
	}
	send()
}

// send hands a packet to the routers, which take the balancer by a hash.
func (f *callerFlow) send(p *jasminemoor.Packet) {
	w := f.caller.world
	p.Source, p.Destination = f.key.Caller(), f.key.Service()
	packet := encode(p)
	w.after(callerDelay, func() {
		n := w.routed(f)
		if n == nil || !n.isUp || w.Rand.Float64() < lossRate {
			return
		}
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			w.violate("balancer got a packet that can't be decoded: %v", err)
			return
		}
		if m, _ := n.balancer.Handle(w.now, &p); m.Kind != 0 {
			n.send([]jmpassMessage{m}, packet)
		}
	})
}

// receive takes a packet of the upstream, or a reset, in.
func (f *callerFlow) receive(p *jasminemoor.Packet, isOwnReset bool) {
	w := f.caller.world
	if f.isEnded {
		return
	}
	switch {
	case p.Flags.Has(jasminemoor.FlagReset):
		if isOwnReset && f.isOpen && w.isHeld(f) {
			w.violate("open flow %s was reset while its upstream holds it", f.key)
		}
		f.fail()
	case p.Flags.Has(jasminemoor.FlagOpen):
		if f.isOpen {
			return
		}
		f.isOpen = true
		f.sequence++
		f.acked, f.received = f.sequence, p.Sequence+1
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sequence, Acknowledged: f.received})
		f.sendRequest()
	case p.Length > 0 && f.isOpen && p.Sequence == f.received:
		f.received += uint32(p.Length)
		f.acked = p.Acknowledged
		f.send(&jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sequence, Acknowledged: f.received})
		f.isEnded = p.Flags.Has(jasminemoor.FlagEnd)
		if f.answered != nil {
			f.answered(p.Length != refusalSize)
		}
	}
}
