// Package jmopening decides whether a new flow is refused at its opening, since its
// request could not be answered before its caller gives up. It knows nothing of packets.
//
// It answers a load that lasts and that no upstream of a service has room for: a request
// that is refused at once can be tried elsewhere or later, one that waits in vain can't.
package jmopening

import "time"

// maxReportAge is the age from which a report says nothing of the present. Agents report
// several times a second to balancers that send them packets.
const maxReportAge = 400 * time.Millisecond

// Report is what an upstream's agent has last reported.
type Report struct {
	At time.Time
	// Wait is how long a new request would take until its answer, 0 if it is not known.
	Wait time.Duration
	// TakesNoFlows is set if the upstream accepts no new flows at all.
	TakesNoFlows bool
}

// isTooLate reports whether the upstream is known to answer too late. The wait has become
// shorter since the report at most by the time that has passed.
func (r *Report) isTooLate(now time.Time, patience time.Duration) bool {
	age := now.Sub(r.At)
	if age < 0 || age > maxReportAge {
		return false
	}
	return r.TakesNoFlows || r.Wait-age > patience
}

// IsHopeless reports whether all upstreams that may get a new flow are known to answer it
// after its caller's patience ends. A single upstream without a recent report, or with
// room, is hope. So is it if there is no upstream.
func IsHopeless(now time.Time, upstreams []Report, patience time.Duration) bool {
	for i := range upstreams {
		if !upstreams[i].isTooLate(now, patience) {
			return false
		}
	}
	return len(upstreams) > 0 && patience > 0
}

// Wait returns how long a request takes until its answer if ahead others, running ones
// included, go before it at an upstream with the given slots and mean answer time.
func Wait(ahead, slots int, answerTime time.Duration) time.Duration {
	return answerTime * time.Duration(max(slots, 1)+ahead) / time.Duration(max(slots, 1))
}
