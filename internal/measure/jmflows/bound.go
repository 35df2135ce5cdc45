package jmflows

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds says how much of the worth of a scenario's requests can be earned at all. The
// requests are those of a run of Product with the seed, whose result is returned as well.
//
// Alone counts each request as if it were the only one: it is served as soon as one of
// its packets can reach an upstream. A request that may have run on a flow that was lost
// with the power of all upstreams is not sent again. No system earns more. Central has one
// queue for the whole service, without any delay on the way, that knows when each upstream
// is up and how long each request takes, and never gives up one that can be late. It is no
// strict bound, as another order of the requests may earn more.
func Bounds(s *Scenario, seed uint64) (product, alone, central *Result, err error) {
	w := &World{Scenario: *s, Policy: Product, Rand: rand.New(rand.NewPCG(seed, seed))}
	w.Classes = slices.Clone(s.Classes)
	if product, err = w.Run(); err != nil {
		return nil, nil, nil, err
	}
	requests := make([]*boundRequest, 0, len(product.requests))
	for _, q := range product.requests {
		if q.isCounted {
			requests = append(requests, w.newBoundRequest(q))
		}
	}
	slices.SortStableFunc(requests, byArrival)
	return product, w.boundAlone(requests), w.boundCentral(requests), nil
}

// boundRequest is a request with the times, since the start of the run, when it was sent
// and from which an upstream can have it, and with the time that it takes there.
type boundRequest struct {
	*request
	sent    time.Duration
	arrives time.Duration
	work    time.Duration
}

func byArrival(x, y *boundRequest) int { return cmp.Compare(x.arrives, y.arrives) }

func (w *World) newBoundRequest(q *request) *boundRequest {
	sent := q.sentAt.Sub(w.startedAt)
	return &boundRequest{request: q, sent: sent, work: time.Duration(w.drawWork(q.class)), arrives: w.reach(q)}
}

// isWithin reports whether a time is in a fault or shorter after its end than extra.
func isWithin(at time.Duration, f *Fault, extra time.Duration) bool {
	return at >= time.Duration(f.At) && at < time.Duration(f.At)+time.Duration(f.For)+extra
}

// record counts the outcome of a request that is answered at a time since the start of
// the run. Without an answer before its deadline it has failed.
func (w *World) record(r *Result, b *boundRequest, answered time.Duration) {
	q := &request{class: b.class, sentAt: b.sentAt, isCounted: true}
	window := r.window(w, q.sentAt)
	r.Asked++
	window.Asked++
	r.owed += q.class.Worth
	window.Owed += q.class.Worth
	w.now = q.sentAt.Add(min(answered-b.sent, w.Length))
	r.endRequest(w, q, answered != never && answered-b.sent <= time.Duration(q.class.Deadline))
}

func (w *World) boundAlone(requests []*boundRequest) *Result {
	r := &Result{}
	for _, b := range requests {
		arrives := b.arrives
		if lost := w.lostAt(arrives, w.alone(b, arrives)-callerDelay); lost != never {
			arrives = w.reachAgain(b.request, arrives, lost)
		}
		w.record(r, b, w.alone(b, arrives))
	}
	r.summarise(w)
	r.Policy = "alone"
	return r
}

// alone returns when the caller has the answer to a request that reaches an idle upstream
// at a time.
func (w *World) alone(b *boundRequest, arrives time.Duration) (answered time.Duration) {
	if arrives == never {
		return never
	}
	if w.areAllCold(arrives) {
		return arrives + time.Duration(coldFactor*float64(b.work)) + callerDelay
	}
	return arrives + b.work + callerDelay
}

// areAllCold reports whether every upstream is warming up.
func (w *World) areAllCold(at time.Duration) bool {
	for i := range w.Upstreams {
		if !w.isCold(i, at) {
			return false
		}
	}
	return true
}

// isCold reports whether the upstream with the index i is warming up.
func (w *World) isCold(i int, at time.Duration) bool {
	return slices.ContainsFunc(w.Faults, func(f Fault) bool {
		return w.stops(&f, i) && isWithin(at, &f, warmUpTime) && !isWithin(at, &f, 0)
	})
}

// stops reports whether a fault stops the upstream with the index i.
func (w *World) stops(f *Fault, i int) bool {
	isAffected := i < int(float64(w.Upstreams)*f.Share+0.5)
	switch f.Kind {
	case FaultPowerOff:
		return true
	case FaultZoneOff:
		return w.dataCentreName(i) == w.dataCentreName(0)
	case FaultCrash:
		return isAffected
	case FaultBreak:
		return isAffected && f.Factor >= 1
	}
	return false
}

// speed returns by how much the work of the upstream with the index i takes longer, and
// whether the upstream serves at all.
func (w *World) speed(i int, at time.Duration) (factor float64, isUp bool) {
	factor = 1 / w.speedOf(i)
	for j := range w.Faults {
		f := &w.Faults[j]
		if w.stops(f, i) && isWithin(at, f, 0) {
			return 0, false
		}
		if f.Kind == FaultSlow && isWithin(at, f, 0) && i < int(float64(w.Upstreams)*f.Share+0.5) {
			factor *= f.Factor
		}
	}
	if w.isCold(i, at) {
		factor *= coldFactor
	}
	return factor, true
}

// boundStep is the resolution in time of the central queue.
const boundStep = time.Millisecond

// boundCentral simulates the central queue.
func (w *World) boundCentral(requests []*boundRequest) *Result {
	r := &Result{}
	free := make([]time.Duration, w.Upstreams*w.Slots) // when each slot is free
	var waiting []*boundRequest
	next := 0
	for now := time.Duration(0); now < w.Length; now += boundStep {
		for ; next < len(requests) && requests[next].arrives <= now; next++ {
			waiting = append(waiting, requests[next])
		}
		for slot := 0; slot < len(free) && len(waiting) > 0; slot++ {
			if free[slot] > now {
				continue
			}
			factor, isUp := w.speed(slot/w.Slots, now)
			if !isUp {
				continue
			}
			var b *boundRequest
			if b, waiting = takeNext(waiting, now, factor); b == nil {
				continue
			}
			free[slot] = now + time.Duration(factor*float64(b.work))
			if lost := w.lostAt(now, free[slot]); lost != never {
				free[slot] = lost
				b.arrives = w.reachAgain(b.request, b.arrives, lost)
				at, _ := slices.BinarySearchFunc(requests[next:], b, byArrival)
				requests = slices.Insert(requests, next+at, b)
				continue
			}
			w.record(r, b, free[slot]+callerDelay)
		}
	}
	for _, b := range append(waiting, requests[next:]...) {
		w.record(r, b, never)
	}
	r.summarise(w)
	r.Policy = "central"
	return r
}

// takeNext removes the request that goes next to a slot in which work takes longer by a
// factor: of those that can be in time the one with the earliest target, then of those
// that can be late the one with the earliest deadline.
func takeNext(waiting []*boundRequest, now time.Duration, factor float64) (chosen *boundRequest, rest []*boundRequest) {
	at, isBestInTime := -1, false
	var best time.Duration
	for i, b := range waiting {
		answered := now + time.Duration(factor*float64(b.work)) + callerDelay
		limit := b.sent + time.Duration(b.class.Target)
		isInTime := answered <= limit
		if !isInTime {
			limit = b.sent + time.Duration(b.class.Deadline)
		}
		if at < 0 || isInTime && !isBestInTime || isInTime == isBestInTime && limit < best {
			at, isBestInTime, best = i, isInTime, limit
		}
	}
	if at < 0 {
		return nil, waiting
	}
	chosen = waiting[at]
	return chosen, slices.Delete(waiting, at, at+1)
}
