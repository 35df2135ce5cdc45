// Package jmmodel is a model of the systems served: unequal upstreams under a
// seeded load of flows and requests, in virtual time. It drives the real
// placement decisions and naive ones over the same load, for measuring
// imbalance.
package jmmodel

import (
	"math/rand/v2"
	"time"
)

// Site is a system to model.
type Site struct {
	Name        string
	DataCentres int
	// Weights has the relative speed of each upstream of one service. The
	// upstreams are spread over the data centres in turn.
	Weights []uint32
	Slots   int
	// ServiceTime is the mean time of a request at the slowest upstream, and
	// LinkDelay what a relay or a hand-over to another data centre adds one way.
	ServiceTime time.Duration
	LinkDelay   time.Duration
}

// The services of the users that are measured first.
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
	// Utilisation is the share of all upstreams' capacity that is asked for.
	Utilisation float64
}

// Result is what a run measured.
type Result struct {
	Policy   string
	Requests int
	// PeakOverMean is the load of the most loaded upstream over that of all,
	// load being the work that came in ten seconds over what can be done in
	// that time, as a mean over the run.
	PeakOverMean float64
	// FlowsPeakOverMean is the same for open flows over capacity.
	FlowsPeakOverMean float64
	WaitP50           time.Duration
	WaitP99           time.Duration
	// Refused is how many requests found no room.
	Refused int
	// Crossing is the share of requests and hand-overs that went to another
	// data centre than the one they first reached.
	Crossing float64
}

// exponential returns a random time with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
