package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// newerRevisionTTL is how long a peer's newer revision counts. The agent's own copy
// of the directory catches up well within that time. The bound keeps a forged
// revision from stopping resets for good.
const newerRevisionTTL = 3 * time.Second

// recordPeerRevision records the revision of a peer's copy of the directory if it
// is the newest.
func (a *Agent) recordPeerRevision(now time.Time, h *jmhop.Header) {
	if h.IsAhead(a.revision()) && (!a.isBehind(now) || h.IsAhead(a.newestPeer.Revision)) {
		a.newestPeer, a.newestPeerAt = *h, now
	}
}

// isBehind reports whether a peer has a newer copy of the directory. The own copy
// may then lack an upstream that holds flows already.
func (a *Agent) isBehind(now time.Time) bool {
	return a.newestPeer.IsAhead(a.revision()) && now.Sub(a.newestPeerAt) < newerRevisionTTL
}

// revision returns the code of the revision of the own copy of the directory, 0 if there is
// none.
func (a *Agent) revision() jmhop.RevisionCode {
	if a.snapshot.View == nil {
		return 0
	}
	return jmhop.NewRevisionCode(a.snapshot.Revision)
}
