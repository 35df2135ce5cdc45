package jmpass

import "time"

// hasUnknownColdRate reports whether the agent has no copy of the directory yet, so that it
// does not know the rate of its service, and the settings give a tolerance beyond rates.
func (a *Agent) hasUnknownColdRate() bool {
	return a.snapshot.View == nil && (a.ColdOverrun > 1 || a.ColdSlack > 0)
}

// allowUnlisted is allowOpening without a copy of the directory. It admits what the
// tolerance allows at any rate. The rest is dropped: callers repeat it, and the copy comes
// as soon as the store or a peer answers.
func (a *Agent) allowUnlisted(now time.Time) bool {
	a.setColdLimits(0)
	if !a.cold.hard.Allow(now) {
		return false
	}
	a.cold.planned.Record(now)
	return true
}
