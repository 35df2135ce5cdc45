// Package jmreturn decides when callers that were refused should come back. It knows
// nothing of streams.
//
// After an outage or in a burst many callers are refused within a short time. If all were
// told the same time, they would come back together and most would be refused again. Each
// gets a place of its own instead, at the rate at which places become free.
package jmreturn

import (
	"math"
	"slices"
	"time"
)

// MinWait and MaxWait bound the time that a refused caller is told to wait.
const (
	MinWait = 50 * time.Millisecond
	MaxWait = 5 * time.Second
)

const (
	// periodLength is the length of the periods in which arrivals are counted.
	periodLength = time.Second
	// basePeriods is the number of whole periods whose median of new arrivals is the load
	// that goes on. A burst of less than half of them does not count.
	basePeriods = 5
	// periodCount is the number of stored periods: those of the places that may have been
	// given, the present one and the whole ones before it.
	periodCount = int64(MaxWait/periodLength) + basePeriods + 2
	// maxUse is the share of the rate that arrivals and those that come back may take
	// together. The rest is for arrivals that are not spread evenly.
	maxUse = 0.9
	// minFreeShare is the least share of the rate that is assumed to be free for callers
	// that come back.
	minFreeShare = 0.25
	// goldenRatio spreads successive numbers evenly over an interval.
	goldenRatio = 0.618
)

// Schedule assigns places to refused callers. A place is a time at which a caller is
// expected back. It expires by itself when that time has passed, whether or not its caller
// has come. The zero value has no places. It is not safe for concurrent use.
type Schedule struct {
	last    time.Time // the latest place that was given
	excess  int       // callers for which no place before MaxWait was free
	periods [periodCount]period
}

// period counts what happens within one periodLength.
type period struct {
	index    int64 // number of the period since the Unix epoch
	arrivals int   // of all callers, refused or not
	places   int   // at which callers are expected back
}

// Arrive counts a caller that asks for a slot, whether it is admitted or not.
func (s *Schedule) Arrive(now time.Time) { s.period(now).arrivals++ }

// Next gives a place to a caller that is refused now, and returns the time until then, at
// least MinWait and at most MaxWait. The number of those that wait for a slot is waiting,
// and rate is how many slots become free in a second if all are taken. Without a rate
// nothing is known, and the caller is told MinWait. A caller that gives up after patience
// takes no place that is later; 0 stands for a caller that does not.
//
// A place comes after all that wait, and after the places that were given before, at the
// rate that arrivals other than those of refused callers leave. Callers for which there is
// no place before MaxWait are spread over the second half of MaxWait.
func (s *Schedule) Next(now time.Time, waiting int, rate float64, patience time.Duration) time.Duration {
	if rate <= 0 {
		return MinWait
	}
	interval := time.Duration(float64(time.Second) / max(maxUse*rate-s.baseRate(now), minFreeShare*rate))
	at := now.Add(max(MinWait, interval*time.Duration(waiting+1)))
	if next := s.last.Add(interval); next.After(at) {
		at = next
	}
	if at.Sub(now) > MaxWait {
		s.excess++
		_, fraction := math.Modf(float64(s.excess) * goldenRatio)
		return MaxWait - time.Duration(fraction*float64(MaxWait/2))
	}
	if patience == 0 || at.Sub(now) < patience {
		s.last, s.excess = at, 0
		s.period(at).places++
	}
	return at.Sub(now)
}

// baseRate returns how many callers arrive in a second that were not refused before: the
// median of the last whole periods.
func (s *Schedule) baseRate(now time.Time) float64 {
	var arrivals [basePeriods]int
	for i := range arrivals {
		p := s.period(now.Add(time.Duration(-i-1) * periodLength))
		arrivals[i] = max(p.arrivals-p.places, 0)
	}
	slices.Sort(arrivals[:])
	return float64(arrivals[basePeriods/2]) / periodLength.Seconds()
}

// period returns the period that a time belongs to.
func (s *Schedule) period(at time.Time) *period {
	index := at.UnixNano() / int64(periodLength)
	p := &s.periods[index%periodCount]
	if p.index != index {
		*p = period{index: index}
	}
	return p
}
