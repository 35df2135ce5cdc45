package jmpass

import (
	"math"
	"time"
)

const (
	// resultWeight is the weight of the newest result in the mean.
	resultWeight = 0.2
	// failureHalfLife is the time in which the failure rate of an upstream without
	// results halves, so that the upstream gets new flows again.
	failureHalfLife = 2 * time.Second
	// failureReportThreshold is the failure rate from which the agent reports at once.
	failureReportThreshold = 0.3
)

// failureRate is an EWMA of the share of an upstream's requests that fail, which
// decays over time.
//
// It keeps new flows from upstreams that fail some or all requests while they seem
// healthy: such an upstream answers fast, has no load, and would attract all new
// flows. The rate does not depend on what an upstream says of its own health.
type failureRate struct {
	rate    float64
	updated time.Time
}

// add adds a result, and reports whether the rate has reached
// failureReportThreshold with it.
func (r *failureRate) add(now time.Time, isFailure bool) (shouldReport bool) {
	before := r.value(now)
	share := before * (1 - resultWeight)
	if isFailure {
		share += resultWeight
	}
	r.rate, r.updated = share, now
	return before < failureReportThreshold && share >= failureReportThreshold
}

// value returns the rate as of now.
func (r *failureRate) value(now time.Time) float64 {
	return r.rate * math.Exp2(-now.Sub(r.updated).Seconds()/failureHalfLife.Seconds())
}
