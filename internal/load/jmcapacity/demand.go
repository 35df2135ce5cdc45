package jmcapacity

import (
	"math"
	"time"
)

// demandTime is the time over which Demand averages: after it, a request counts as 1/e.
const demandTime = 2 * time.Second

// Demand is the rate at which requests have come lately. The zero value has seen none.
// It is not safe for concurrent use.
type Demand struct {
	rate    float64 // requests a second, as of updated
	updated time.Time
}

// Add counts a request.
func (d *Demand) Add(now time.Time) {
	d.rate = d.PerSecond(now) + 1/demandTime.Seconds()
	d.updated = now
}

// PerSecond returns the rate, in requests a second.
func (d *Demand) PerSecond(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.updated).Seconds()/demandTime.Seconds())
}
