package jmpass

import (
	"math"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// An upstream may end and start again while it gets no packet, and before the directory says
// so. Its agent therefore holds a connection to the upstream's port, without a request, which
// ends with the upstream's process. Where the agent can't tell whether the upstream still is
// in the run that the directory lists, it takes it for restarted, until a packet of an older
// flow or the directory shows otherwise. See docs/design/cold-upstreams.md.

const (
	// maxUnwatched is how long an agent without a connection relies on the last packet
	// of an open flow.
	maxUnwatched = 250 * time.Millisecond
	// A packet that the upstream sent before it ended may be read afterwards. So a packet
	// disproves a doubt only after minProofDelay, in which the agent has run for minProofTicks.
	minProofDelay = 100 * time.Millisecond
	minProofTicks = 3
)

// unknownEpoch is the epoch of flows whose upstream may have started again since the directory
// listed its run, as the agent has not seen their beginning.
const unknownEpoch = math.MaxUint32

// watch is an agent's knowledge of whether its upstream may have started again.
type watch struct {
	isHeld bool // a connection to the upstream is open
	// heardAt is when the connection ended, or a packet of an open flow last showed that the
	// upstream's run had not changed since that flow was accepted. It is zero until there is a
	// limit.
	heardAt time.Time
	// epoch counts the times at which the upstream may have started again.
	epoch uint32
	// doubtedAt is the last of these times that no packet has disproved, zero if there is none,
	// and doubtEpoch the epoch that the first of them began.
	doubtedAt  time.Time
	doubtEpoch uint32
	// wasWarm is coldState.wasWarm before that.
	wasWarm bool
	ticks   int // since doubtedAt
}

// ShouldWatch reports whether a connection to the upstream's port is to be held, of which
// HandleWatch is told: while the next upstream may be of another service, or warm up.
func (a *Agent) ShouldWatch() bool {
	return (a.CanReadSettings || a.serviceColdRate() > 0) && a.upstream.takesFlows()
}

// HandleWatch handles that a connection to the upstream's port has been opened, isHeld, or that
// it has ended.
func (a *Agent) HandleWatch(now time.Time, isHeld bool) []Message {
	a.begin(now)
	w := &a.cold.watch
	if isHeld {
		a.updateWatch(now)
		if a.service.isPortUnknown {
			a.doubtService(now, true)
		}
		if !w.doubtedAt.IsZero() {
			// The upstream may have started until now.
			w.doubtedAt, w.ticks = now, 0
		}
		w.isHeld = true
		return a.out
	}
	w.isHeld, w.heardAt = false, now
	a.doubtService(now, false)
	a.recordDoubt(now)
	a.sendReports(now)
	return a.out
}

// HandleClosedPort handles that the upstream's port refuses a connection that was to be held. The
// upstream may be about to end, and still serve its flows.
func (a *Agent) HandleClosedPort(now time.Time) {
	a.begin(now)
	a.recordRestart(now)
	a.cold.hard.Remit()
	a.doubtService(now, false)
}

// IsPortUnknown reports whether the connection to the upstream's port has ended, and no process is
// known to listen there since.
func (a *Agent) IsPortUnknown() bool { return a.service.isPortUnknown }

// recordDoubt records that the upstream may have ended and started again.
func (a *Agent) recordDoubt(now time.Time) {
	w := &a.cold.watch
	w.epoch++
	if w.doubtedAt.IsZero() {
		w.doubtEpoch, w.wasWarm = w.epoch, a.cold.wasWarm
	}
	w.doubtedAt, w.ticks = now, 0
	a.recordFormerRun()
}

// updateWatch records a doubt if nothing shows that the upstream's run has not changed.
func (a *Agent) updateWatch(now time.Time) {
	w := &a.cold.watch
	switch {
	case w.heardAt.IsZero():
		w.heardAt = now
		if !a.IsFirstStart || now.Sub(a.started) >= entryLag {
			a.recordDoubt(now)
		}
	case !w.isHeld && now.Sub(w.heardAt) > maxUnwatched:
		a.recordDoubt(now)
	}
}

// recordPacket records a packet of a flow that the upstream has sent.
func (c *coldState) recordPacket(now time.Time, f *flow, p *jasminemoor.Packet) {
	w := &c.watch
	isReply, isNew := p.Flags.Has(jasminemoor.FlagOpen), !f.hasOpenReply || f.openReply != p.Sequence
	if isReply && isNew || !f.hasOpenReply && !f.isOpen {
		f.epoch = w.epoch
		return
	}
	if !w.doubtedAt.IsZero() && f.epoch < w.doubtEpoch && now.Sub(w.doubtedAt) >= minProofDelay && w.ticks >= minProofTicks {
		w.doubtedAt, c.wasWarm = time.Time{}, w.wasWarm
	}
	if w.doubtedAt.IsZero() || f.epoch == w.epoch {
		w.heardAt = now
	}
}
