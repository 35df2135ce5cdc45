// Package jmoverload counts what becomes of the requests that wait at an agent, by route
// and client account, and tells when an overload begins and ends. It knows nothing of
// packets.
package jmoverload

import (
	"net/netip"
	"time"
)

const (
	// beginAfter is how long requests must have waited without a gap for an overload to
	// begin, and endAfter how long none must have waited for it to end. A queue that forms
	// and empties in between is usual at a loaded upstream.
	beginAfter = time.Second
	endAfter   = time.Second
	// maxParties bounds the parties that are counted apart. Others count as the zero Party.
	maxParties = 1024
)

// Party is whose requests are counted: a route and a client account, "" where the caller
// has none.
type Party struct {
	Route   netip.AddrPort
	Account string
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes of a request.
const (
	InTime  Outcome = iota // sent to the upstream in time to be answered within the target
	Late                   // sent to the upstream later
	GivenUp                // its caller gave up first
	Refused                // its flow was refused at the opening

	outcomeCount
)

// Tally counts requests by their outcome.
type Tally [outcomeCount]uint64

// Episode is an overload.
type Episode struct {
	Began time.Time
	// Lasted is the time from the first request that waited to the last one.
	Lasted time.Duration
	// MostWaiting is the largest number of requests that waited at one time.
	MostWaiting int
	Tallies     map[Party]Tally
}

// Change is what an update has found.
type Change uint8

// The changes.
const (
	None Change = iota
	Began
	Ended
)

// Detector detects overloads and counts outcomes. The zero value is ready to use. It is
// not safe for concurrent use.
type Detector struct {
	totals map[Party]Tally
	// waitsSince is since when requests have waited without a gap of endAfter, zero if
	// none do, and waitedAt when one did last.
	waitsSince, waitedAt time.Time
	isOverload           bool
	mostWaiting          int
	episode              map[Party]Tally // since waitsSince
}

// Record counts a request.
func (d *Detector) Record(p Party, outcome Outcome) {
	if d.totals == nil {
		d.totals, d.episode = make(map[Party]Tally), make(map[Party]Tally)
	}
	if _, found := d.totals[p]; !found && len(d.totals) >= maxParties {
		p = Party{}
	}
	for _, tallies := range []map[Party]Tally{d.totals, d.episode} {
		t := tallies[p]
		t[outcome]++
		tallies[p] = t
	}
}

// Totals returns the outcomes of all requests. It belongs to the Detector.
func (d *Detector) Totals() map[Party]Tally { return d.totals }

// IsOverload reports whether there is an overload.
func (d *Detector) IsOverload() bool { return d.isOverload }

// Update is called several times a second with the number of requests that wait. If an
// overload has ended, it returns what there is to say of it.
func (d *Detector) Update(now time.Time, waiting int) (change Change, episode *Episode) {
	if waiting == 0 {
		if d.waitsSince.IsZero() || now.Sub(d.waitedAt) < endAfter {
			return None, nil
		}
		if d.isOverload {
			change = Ended
			episode = &Episode{Began: d.waitsSince, Lasted: d.waitedAt.Sub(d.waitsSince), MostWaiting: d.mostWaiting, Tallies: d.episode}
		}
		d.waitsSince, d.isOverload, d.mostWaiting, d.episode = time.Time{}, false, 0, make(map[Party]Tally)
		return change, episode
	}
	if d.waitsSince.IsZero() {
		d.waitsSince, d.episode = now, make(map[Party]Tally)
	}
	d.waitedAt, d.mostWaiting = now, max(d.mostWaiting, waiting)
	if !d.isOverload && now.Sub(d.waitsSince) >= beginAfter {
		d.isOverload = true
		return Began, nil
	}
	return None, nil
}
