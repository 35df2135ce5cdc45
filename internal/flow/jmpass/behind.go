package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// aheadMemory is how long it counts that a peer's copy is newer: this agent's
// catches up well within it. So nobody can stop resets for good by a false word.
const aheadMemory = 3 * time.Second

// noteRevision takes note of the revision of a peer's copy of the directory.
func (a *Agent) noteRevision(now time.Time, h *jmhop.Header) {
	if h.IsAhead(uint64(a.revision())) && (!a.isBehind(now) || h.IsAhead(uint64(a.ahead.Revision))) {
		a.ahead, a.aheadAt = *h, now
	}
}

// isBehind reports whether a peer's copy is newer. The list may then lack an
// upstream that holds flows already.
func (a *Agent) isBehind(now time.Time) bool {
	return a.ahead.IsAhead(uint64(a.revision())) && now.Sub(a.aheadAt) < aheadMemory
}

// revision returns that of the own copy, 0 if there is none.
func (a *Agent) revision() uint32 {
	if a.snapshot.View == nil {
		return 0
	}
	return uint32(a.snapshot.Revision)
}
