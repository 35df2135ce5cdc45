package jmflows

import (
	"math"
	"slices"
	"time"
)

// never is a time after each run.
const never = time.Duration(math.MaxInt64)

// Times after which a caller sends a packet again: that of a request on an open flow, and
// the one that opens a flow.
var (
	requestOffsets = []time.Duration{
		0, retransmitDelay, 3 * retransmitDelay, 7 * retransmitDelay, 7*retransmitDelay + maxRetransmitDelay, 7*retransmitDelay + 2*maxRetransmitDelay,
	}
	openingOffsets = []time.Duration{0, retransmitDelay, secondOpenRetransmit}
)

// reach returns the first time since the start of the run at which an upstream can have a
// request, never if none can have it before its caller gives up.
func (w *World) reach(q *request) time.Duration {
	sent := q.sentAt.Sub(w.startedAt)
	if q.flowOpened.IsZero() {
		return w.reachOnNewFlow(sent)
	}
	opened := q.flowOpened.Sub(w.startedAt)
	for _, offset := range requestOffsets {
		arrives := sent + offset + callerDelay
		if w.isUnreachable(arrives) {
			continue
		}
		if w.losesFlow(opened, arrives) {
			return w.reachAfterReset(q, arrives)
		}
		return arrives
	}
	return never
}

// reachAgain returns when an upstream can have a request again that was lost with all
// upstreams at a time, and that one of them had since arrived.
func (w *World) reachAgain(q *request, arrived, lost time.Duration) time.Duration {
	for _, offset := range requestOffsets {
		if arrives := arrived + offset; arrives > lost && !w.isUnreachable(arrives) {
			return w.reachAfterReset(q, arrives)
		}
	}
	return never
}

// reachAfterReset returns when an upstream can have a request whose flow is reset at a
// time. The caller must not send it again if it may have run.
func (w *World) reachAfterReset(q *request, reset time.Duration) time.Duration {
	if !q.class.Idempotent {
		return never
	}
	return w.reachOnNewFlow(reset + callerDelay)
}

// reachOnNewFlow returns when an upstream can have a request whose caller opens a flow for
// it at a time: the opening packet, its answer, and the request are on the way one after
// the other.
func (w *World) reachOnNewFlow(opens time.Duration) time.Duration {
	for i := range time.Duration(maxAttempts) {
		for _, offset := range openingOffsets {
			if sent := opens + i*openTimeout + offset; !w.isUnreachable(sent + callerDelay) {
				return sent + 3*callerDelay
			}
		}
	}
	return never
}

// isUnreachable reports whether no process runs at a time since the start of the run.
func (w *World) isUnreachable(at time.Duration) bool {
	return slices.ContainsFunc(w.Faults, func(f Fault) bool {
		return (f.Kind == FaultPowerOff || f.Kind == FaultKillAll) && isWithin(at, &f, startupTime)
	})
}

// losesFlow reports whether all upstreams stop between two times, and flows with them.
func (w *World) losesFlow(from, to time.Duration) bool { return w.lostAt(from, to) != never }

// lostAt returns the first time between two others at which all upstreams stop, never if
// they don't.
func (w *World) lostAt(from, to time.Duration) (at time.Duration) {
	at = never
	for _, f := range w.Faults {
		if off := time.Duration(f.At); f.Kind == FaultPowerOff && from < off && off < to {
			at = min(at, off)
		}
	}
	return at
}
