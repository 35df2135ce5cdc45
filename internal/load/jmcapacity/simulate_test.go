package jmcapacity_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simulate runs a service of 12 upstreams for two minutes, and returns the share of the
// requests that are answered within 200 ms, and the time of the slowest of each hundred.
func simulate(cost placement) (inTime float64, p99 time.Duration) {
	const (
		slots, perSecond, swing, period = 2, 430, 0.55, 13
		work, tail, tailFactor          = 26 * time.Millisecond, 0.03, 7
		length                          = 2 * time.Minute
		target                          = 200 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	speeds := []float64{0.6, 1.0, 1.6}
	upstreams := make([]*simulated, 12)
	for i := range upstreams {
		upstreams[i] = &simulated{speed: speeds[i%len(speeds)], free: make([]time.Time, slots)}
	}
	var times []time.Duration
	for now := startTime; now.Sub(startTime) < length; {
		rate := perSecond * (1 + swing*math.Sin(2*math.Pi*now.Sub(startTime).Seconds()/period))
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		best, least := upstreams[0], math.Inf(1)
		first := rng.IntN(len(upstreams))
		for i := range upstreams {
			u := upstreams[(first+i)%len(upstreams)]
			u.finish(now)
			if c := cost(u, now); c < least {
				best, least = u, c
			}
		}
		took := float64(work) * math.Exp(rng.NormFloat64()/2-1.0/8)
		if rng.Float64() < tail {
			took *= tailFactor
		}
		times = append(times, best.serve(now, time.Duration(took/best.speed)))
	}
	slices.Sort(times)
	at, _ := slices.BinarySearch(times, target)
	return float64(at) / float64(len(times)), times[len(times)*99/100]
}

// finish ends the requests whose answers are due, and gives the estimate their times.
func (u *simulated) finish(now time.Time) {
	u.running = slices.DeleteFunc(u.running, func(j job) bool {
		if j.ends.After(now) {
			return false
		}
		u.estimate.Record(j.ends, "status", j.ends.Sub(j.begins))
		return true
	})
}

// serve gives the upstream a request that works for took, and returns after what time it
// is answered.
func (u *simulated) serve(now time.Time, took time.Duration) time.Duration {
	at := 0
	for i := range u.free {
		if u.free[i].Before(u.free[at]) {
			at = i
		}
	}
	begins := now
	if u.free[at].After(now) {
		begins = u.free[at]
	}
	u.free[at] = begins.Add(took)
	u.running = append(u.running, job{begins: begins, ends: u.free[at]})
	return u.free[at].Sub(now)
}
