package jmpass

import (
	"net/netip"
	"slices"
	"time"
)

// applyEndings has the searches that wait for an agent whose upstream has ended take
// their next step with the next Tick.
func (a *Agent) applyEndings() {
	for _, s := range a.searches {
		if slices.ContainsFunc(s.remaining, a.hasEnded) {
			s.remaining, s.round = slices.DeleteFunc(s.remaining, a.hasEnded), slices.DeleteFunc(s.round, a.hasEnded)
			if len(s.remaining) == 0 {
				s.next = time.Time{}
			}
		}
	}
}

// hasEnded reports whether the upstream of an agent is known to have ended.
func (a *Agent) hasEnded(agent netip.Addr) bool {
	u := a.snapshot.Agents[agent]
	return u != nil && u.HasEnded
}
