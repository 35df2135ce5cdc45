// Package jmmodel simulates a service with upstreams of unequal speed on a virtual
// clock, under a seeded load of flows and requests. It runs the real placement code
// and naive policies with the same load, to compare how evenly they spread it.
package jmmodel

import (
	"math/rand/v2"
	"time"
)

// Site describes a service to simulate.
type Site struct {
	Name        string
	DataCentres int
	// Weights has the relative speed of each upstream of the service. The
	// upstreams are spread over the data centres in turn.
	Weights []uint32
	Slots   int // of each upstream
	// ServiceTime is the mean time of a request at the slowest upstream.
	// LinkDelay is the one-way delay of a relay to another data centre.
	ServiceTime time.Duration
	LinkDelay   time.Duration
}

// The services that are simulated.
var (
	Rangla = Site{
		Name:        "rangla shop-floor",
		DataCentres: 3,
		Weights:     []uint32{1, 2, 4, 1, 2, 4, 1},
		Slots:       5,
		ServiceTime: 200 * time.Millisecond,
		LinkDelay:   3 * time.Millisecond,
	}
	Halloran = Site{
		Name:        "halloran cart-orders",
		DataCentres: 4,
		Weights:     []uint32{4, 1, 2, 1, 4, 2, 1},
		Slots:       5,
		ServiceTime: 200 * time.Millisecond,
		LinkDelay:   5 * time.Millisecond,
	}
)

// Load is the seeded load of a run.
type Load struct {
	Seed     uint64
	Duration time.Duration
	// Flows is the mean number of open flows.
	Flows int
	// FlowLife is the mean life of a flow.
	FlowLife time.Duration
	// Utilisation is the offered load as a share of the capacity of all upstreams.
	Utilisation float64
}

// Result has the measurements of a run.
type Result struct {
	Policy   string
	Requests int // requests that got a slot
	// PeakOverMean is the load of the most loaded upstream divided by that of all
	// upstreams together, as a mean over the run. The load is the work that arrived
	// in ten seconds divided by the capacity in that time.
	PeakOverMean float64
	// FlowsPeakOverMean is the same for the number of open flows divided by the
	// capacity.
	FlowsPeakOverMean float64
	// WaitP50 and WaitP99 are quantiles of the time from a request's arrival until
	// it got a slot.
	WaitP50 time.Duration
	WaitP99 time.Duration
	// Refused is the number of requests that were refused because the queue was full
	// or because they waited in it for longer than maxQueueWait.
	Refused int
	// Crossing is the share of the requests that were relayed to another data
	// centre.
	Crossing float64
}

// exponential draws a time from the exponential distribution with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
