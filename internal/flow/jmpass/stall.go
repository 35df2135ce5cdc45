package jmpass

import "time"

// maxOverdue is how long an overdue request keeps its place at most. Its caller has left then,
// as defaultTimeout has passed.
const maxOverdue = defaultTimeout - minRequestTimeout

// agentStall is the time between two of its ticks from which the agent itself has stalled,
// so that answers may wait for it. What keeps it from running may keep the upstream.
const agentStall = 250 * time.Millisecond

// stall is what an agent knows of times in which its upstream sends nothing although it has
// requests, as a process that does not get to run. Such an upstream still has the requests
// and works on them afterwards, so other ones would only come on top. A request is lost if
// the upstream goes on without answering it.
type stall struct {
	// since is when the first packet was sent to the upstream since its last one, zero if
	// there is none.
	since time.Time
	// isAlive is set if a probe has since found that the upstream's process lives.
	isAlive bool
	// endedAt is when the upstream, or the agent, went on after the latest stall.
	endedAt time.Time
	// resumedAt is when the agent itself last went on after a stall.
	resumedAt time.Time
	ticked    time.Time
}

// settleTime is how long after a stall of the agent a copy of the directory may be older than
// it seems, by messages that have waited for the agent.
const settleTime = 500 * time.Millisecond

// hasSettled reports whether the agent has not stalled lately.
func (s *stall) hasSettled(now time.Time) bool {
	return s.ticked.IsZero() || now.Sub(s.ticked) <= agentStall && (s.resumedAt.IsZero() || now.Sub(s.resumedAt) >= settleTime)
}

// recordTick records that the agent runs.
func (s *stall) recordTick(now time.Time) {
	if !s.ticked.IsZero() && now.Sub(s.ticked) > agentStall {
		s.endedAt, s.resumedAt = now, now
	}
	s.ticked = now
}

// recordSent records that a packet is sent to the upstream.
func (s *stall) recordSent(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// recordHeard records a packet from the upstream.
func (t *table) recordHeard(now time.Time) {
	s := &t.stall
	if s.isAlive && s.isOngoing(now, t.requestTimeout(now)) {
		s.endedAt = now
	}
	s.since, s.isAlive = time.Time{}, false
}

// isOngoing reports whether the upstream stalls. A stall is a silence of half of limit, which
// is how long a request may take.
func (s *stall) isOngoing(now time.Time, limit time.Duration) bool {
	return s.isAlive && now.Sub(s.since) > limit/2
}

// keeps reports whether a request that was sent at a time and is overdue keeps its place.
func (s *stall) keeps(now, requestedAt time.Time, limit time.Duration) bool {
	return s.isOngoing(now, limit) || s.endedAt.After(requestedAt) && now.Sub(s.endedAt) <= limit
}
