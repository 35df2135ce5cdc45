package jmpass

import (
	"net/netip"
)

// applyEndings has the searches that wait for an agent whose upstream has ended take
// their next step with the next Tick.
func (a *Agent) applyEndings() {
	a.searches.leaveOut(a.hasEnded)
}

// hasEnded reports whether the upstream of an agent is known to have ended.
func (a *Agent) hasEnded(agent netip.Addr) bool {
	u := a.snapshot.Agents[agent]
	return u != nil && u.HasEnded
}
