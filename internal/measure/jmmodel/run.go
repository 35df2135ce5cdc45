package jmmodel

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmclock"
)

const (
	reportInterval = time.Second // between load reports to peers
	smoothInterval = 100 * time.Millisecond
	sampleInterval = 10 * time.Second
	warmUpDivisor  = 5 // waits and peaks leave out the first 1/warmUpDivisor of a run
	queueFactor    = 2 // queue places per slot
	maxQueueWait   = 2 * time.Second
)

// world is the state of one run.
type world struct {
	jmclock.Clock
	site      Site
	load      Load
	policy    Policy
	rng       *rand.Rand // source of all random numbers of the run
	upstreams []*upstream
	thinkTime time.Duration // mean time between two requests of a flow

	waits     []time.Duration // times until requests got a slot, after the warm-up
	peaks     []float64       // peak over mean of the offered work, for each sample
	flowPeaks []float64       // peak over mean of the open flows, for each sample
	requests  int             // requests that got a slot
	refused   int
	crossings int // requests relayed to another data centre
	arrivals  int
}

// upstream is a simulated upstream with its agent.
type upstream struct {
	index          int
	agent          netip.AddrPort
	dataCentre     int
	weight         uint32
	relativeWeight float64 // share of the largest weight
	slots          int
	running        int
	waiting        []*request // queue, in the order of arrival
	flows          int
	offered        time.Duration // work that arrived since the last sample
	smooth         jmload.Smoother
	reported       jasminemoor.Load // load last reported to the peers
}

// request is a simulated request.
type request struct {
	arrived time.Duration
	work    time.Duration // time that it takes at the slowest upstream
}

// load returns the current load, as an agent reports it.
func (u *upstream) load() jasminemoor.Load {
	now := jmload.Of(u.running+len(u.waiting), u.slots, u.relativeWeight)
	return jasminemoor.Load{
		Now:     now,
		Mean:    u.smooth.Mean(),
		Density: jmload.Density(u.flows, u.relativeWeight),
	}
}

// Run simulates a site with a load and a policy.
func Run(site Site, load Load, policy Policy) Result {
	w := newWorld(site, load, policy)
	w.startFlows()
	w.Every(smoothInterval, w.smooth)
	w.Every(reportInterval, w.report)
	w.Every(sampleInterval, w.sample)
	w.RunUntil(load.Duration)
	return w.result()
}

func newWorld(site Site, load Load, policy Policy) *world {
	w := &world{site: site, load: load, policy: policy, rng: rand.New(rand.NewPCG(load.Seed, 4))}
	largest := slices.Max(site.Weights)
	capacity := 0.0 // requests a second
	slowest := slices.Min(site.Weights)
	for i, weight := range site.Weights {
		u := &upstream{
			index:          i,
			agent:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7100),
			dataCentre:     i % site.DataCentres,
			weight:         weight,
			relativeWeight: float64(weight) / float64(largest),
			slots:          site.Slots,
		}
		w.upstreams = append(w.upstreams, u)
		capacity += float64(site.Slots) * float64(weight) / float64(slowest) / site.ServiceTime.Seconds()
	}
	rate := capacity * load.Utilisation / float64(load.Flows) // requests a second of a flow
	w.thinkTime = time.Duration(float64(time.Second) / rate)
	policy.prepare(w)
	return w
}

// startFlows opens the flows of the load. Each flow that ends is replaced by a new
// one.
func (w *world) startFlows() {
	for range w.load.Flows {
		w.After(time.Duration(w.rng.Int64N(int64(w.thinkTime))), w.openFlow)
	}
}

// openFlow places a new flow and schedules its requests.
func (w *world) openFlow() {
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], w.rng.Uint64())
	u := w.policy.place(w, id[:])
	u.flows++
	ends := w.Now() + exponential(w.rng, w.load.FlowLife)
	w.nextRequest(u, ends)
}

// nextRequest schedules the next request of a flow, or the flow's end if it comes
// first.
func (w *world) nextRequest(u *upstream, ends time.Duration) {
	w.After(exponential(w.rng, w.thinkTime), func() {
		if w.Now() >= ends {
			u.flows--
			w.openFlow()
			return
		}
		w.arrive(u)
		w.nextRequest(u, ends)
	})
}

// arrive simulates the arrival of a request at the agent of its flow, which may
// relay it.
func (w *world) arrive(u *upstream) {
	w.arrivals++
	r := &request{arrived: w.Now(), work: exponential(w.rng, w.site.ServiceTime)}
	u.offered += r.work
	target := w.policy.relay(w, u)
	if target == u {
		w.admit(u, r)
		return
	}
	u.offered -= r.work
	target.offered += r.work
	delay := time.Duration(0)
	if target.dataCentre != u.dataCentre {
		w.crossings++
		delay = w.site.LinkDelay
	}
	w.After(delay, func() { w.admit(target, r) })
}

// admit starts a request, or queues it if no slot is free, or refuses it.
func (w *world) admit(u *upstream, r *request) {
	switch {
	case u.running < u.slots:
		w.startRequest(u, r)
	case u.hasRoom():
		u.waiting = append(u.waiting, r)
	default:
		w.refused++
	}
}

// hasRoom reports whether there is a free slot or a free place in the queue.
func (u *upstream) hasRoom() bool {
	return u.running < u.slots || len(u.waiting) < u.slots*queueFactor
}

func (w *world) startRequest(u *upstream, r *request) {
	u.running++
	w.requests++
	if w.Now() > w.load.Duration/warmUpDivisor {
		w.waits = append(w.waits, w.Now()-r.arrived)
	}
	slowest := slices.Min(w.site.Weights)
	runTime := time.Duration(float64(r.work) * float64(slowest) / float64(u.weight))
	w.After(runTime, func() { w.endRequest(u) })
}

// endRequest frees a slot and starts the next queued request. It refuses those that
// have waited for too long.
func (w *world) endRequest(u *upstream) {
	u.running--
	for len(u.waiting) > 0 && u.running < u.slots {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		if w.Now()-next.arrived > maxQueueWait {
			w.refused++
			continue
		}
		w.startRequest(u, next)
	}
}

func (w *world) smooth() {
	for _, u := range w.upstreams {
		u.smooth.Add(u.load().Now, smoothInterval)
	}
}

func (w *world) report() {
	for _, u := range w.upstreams {
		u.reported = u.load()
	}
}

// sample records how evenly the offered work and the open flows are spread.
func (w *world) sample() {
	offered := make([]float64, len(w.upstreams))
	flows := make([]float64, len(w.upstreams))
	for i, u := range w.upstreams {
		offered[i] = u.offered.Seconds()
		flows[i] = float64(u.flows)
		u.offered = 0
	}
	if w.Now() < w.load.Duration/warmUpDivisor {
		return
	}
	w.peaks = append(w.peaks, w.peakOverMean(offered))
	w.flowPeaks = append(w.flowPeaks, w.peakOverMean(flows))
}

// peakOverMean returns the largest ratio of amount to capacity of an upstream,
// divided by that of all upstreams together.
func (w *world) peakOverMean(amounts []float64) float64 {
	peak, sum, capacity := 0.0, 0.0, 0.0
	for i, u := range w.upstreams {
		peak = max(peak, amounts[i]/float64(u.weight))
		sum += amounts[i]
		capacity += float64(u.weight)
	}
	if sum == 0 {
		return 1
	}
	return peak / (sum / capacity)
}

func (w *world) result() Result {
	r := Result{Policy: w.policy.Name, Requests: w.requests, Refused: w.refused}
	if len(w.waits) == 0 || len(w.peaks) == 0 {
		return r
	}
	slices.Sort(w.waits)
	r.WaitP50 = w.waits[len(w.waits)/2]
	r.WaitP99 = w.waits[len(w.waits)*99/100]
	r.PeakOverMean = mean(w.peaks)
	r.FlowsPeakOverMean = mean(w.flowPeaks)
	r.Crossing = float64(w.crossings) / float64(w.arrivals)
	return r
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
