package jmflows

import (
	"net/netip"
	"sort"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// windowLength is the length of the windows of a result.
const windowLength = 2 * time.Second

// Result is what the callers saw.
type Result struct {
	Policy   string
	Scenario string
	Asked    int
	InTime   int
	Late     int
	Failed   int
	// Worth is what was earned over what could have been.
	Worth float64
	// Worst is the mean of the two worst windows.
	Worst float64
	// P50 and P99 are of the answered requests, in milliseconds.
	P50, P99 float64
	Crossing int // bytes between data centres
	Windows  []Window

	opened int
	waits  []time.Duration
	flows  map[jasminemoor.FlowKey]*callerFlow
	earned float64
	owed   float64
}

// Window is one stretch of a run, by when its requests were sent.
type Window struct {
	Asked, InTime, Late, Failed int
	Earned, Owed                float64
}

func (r *Result) window(w *World, at time.Time) *Window {
	index := int(at.Sub(w.begun) / windowLength)
	for len(r.Windows) <= index {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[index]
}

// asked counts a request. Those whose deadline lies beyond the end don't count.
func (r *Result) asked(w *World, q *request) {
	if w.now.Add(time.Duration(q.class.Deadline)).Sub(w.begun) >= w.Length {
		return
	}
	q.reported = true
	window := r.window(w, q.began)
	r.Asked++
	window.Asked++
	r.owed += q.class.Worth
	window.Owed += q.class.Worth
}

func (r *Result) end(w *World, q *request, isAnswered bool) {
	if q.isEnded {
		return
	}
	q.isEnded = true
	if !q.reported {
		return
	}
	window := r.window(w, q.began)
	took := w.now.Sub(q.began)
	worth := 0.0
	switch {
	case !isAnswered:
		r.Failed++
		window.Failed++
	case took <= time.Duration(q.class.Target):
		r.InTime++
		window.InTime++
		worth = q.class.Worth
	default:
		r.Late++
		window.Late++
		worth = q.class.Late
	}
	if isAnswered {
		r.waits = append(r.waits, took)
	}
	r.earned += worth
	window.Earned += worth
}

func (r *Result) finish(w *World) {
	r.Policy, r.Scenario = w.Policy.Name, w.Name
	if r.owed > 0 {
		r.Worth = r.earned / r.owed
	}
	var worths []float64
	for _, each := range r.Windows {
		if each.Owed > 0 {
			worths = append(worths, each.Earned/each.Owed)
		}
	}
	sort.Float64s(worths)
	if len(worths) > 1 {
		r.Worst = (worths[0] + worths[1]) / 2
	}
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	r.P50, r.P99 = r.quantile(0.5), r.quantile(0.99)
}

func (r *Result) quantile(q float64) float64 {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[int(q*float64(len(r.waits)-1))].Seconds() * 1000
}

func (w *World) flowsByKey(f *callerFlow) {
	if w.result.flows == nil {
		w.result.flows = make(map[jasminemoor.FlowKey]*callerFlow)
	}
	w.result.flows[f.key] = f
}

func (w *World) requestOn(key jasminemoor.FlowKey) *request {
	if f := w.result.flows[key]; f != nil {
		return f.request
	}
	return nil
}

// isHeld reports whether the upstream of a caller's open flow still holds it.
func (w *World) isHeld(f *callerFlow) bool {
	for _, n := range w.agents {
		if held := n.upstream.flows[f.key]; n.upstream.isUp && held != nil && held.isOpen {
			return true
		}
	}
	return false
}

// toCaller carries a packet to its caller.
func (w *World) toCaller(key jasminemoor.FlowKey, packet []byte, isOwnReset bool) {
	if w.Rand.Float64() < lossRate {
		return
	}
	w.after(callerDelay, func() {
		f := w.result.flows[key]
		if f == nil {
			w.violate("packet for a flow that no caller has: %s", key)
			return
		}
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			w.violate("caller got a packet that can't be decoded: %v", err)
			return
		}
		if p.Destination != netip.AddrPortFrom(f.caller.addr, key.Caller().Port()) {
			w.violate("caller %s got a packet for %s", f.caller.addr, p.Destination)
			return
		}
		f.receive(&p, isOwnReset)
	})
}
