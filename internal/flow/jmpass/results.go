package jmpass

import (
	"math"
	"time"
)

const (
	// failureShare is the share of the newest result in the mean.
	failureShare = 0.2
	// failureHalfLife is how long it takes an upstream without results to be
	// trusted half as little, so that it is tried again.
	failureHalfLife = 2 * time.Second
	// failureNews is the share of failures from which the balancers are told at once.
	failureNews = 0.3
)

// results is the share of an upstream's recent requests that failed.
//
// It answers upstreams that fail some or all requests while they seem healthy:
// they answer fast, have no load, and would draw all new flows. What an upstream
// says of its own health plays no part.
type results struct {
	failures float64
	at       time.Time
}

// add takes a result in, and reports whether it is news for the balancers.
func (r *results) add(now time.Time, isFailure bool) (isNews bool) {
	before := r.share(now)
	share := before * (1 - failureShare)
	if isFailure {
		share += failureShare
	}
	r.failures, r.at = share, now
	return before < failureNews && share >= failureNews
}

// share returns the share of failures as of now.
func (r *results) share(now time.Time) float64 {
	return r.failures * math.Exp2(-now.Sub(r.at).Seconds()/failureHalfLife.Seconds())
}
