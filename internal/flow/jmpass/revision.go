package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// newerRevisionTTL is how long a peer's newer revision counts. The own copy of the
// directory catches up well within that time. The bound keeps a forged revision from
// stopping resets for good.
const newerRevisionTTL = 3 * time.Second

// peerRevision is the newest revision of the directory that a peer has shown.
type peerRevision struct {
	header jmhop.Header
	at     time.Time // when it arrived
}

// record records a peer's revision if it is the newest, and newer than the own one.
func (p *peerRevision) record(now time.Time, h *jmhop.Header, own jmhop.RevisionCode) {
	if h.IsAhead(own) && (!p.isAhead(now, own) || h.IsAhead(p.header.Revision)) {
		p.header, p.at = *h, now
	}
}

// isAhead reports whether a peer has a newer copy of the directory than the own one.
func (p *peerRevision) isAhead(now time.Time, own jmhop.RevisionCode) bool {
	return p.header.IsAhead(own) && now.Sub(p.at) < newerRevisionTTL
}

// isBehind reports whether a peer has a newer copy of the directory. The own copy
// may then lack an upstream that holds flows already.
func (a *Agent) isBehind(now time.Time) bool { return a.peers.isAhead(now, a.revision()) }

// revision returns the code of the revision of the own copy of the directory, 0 if there is
// none.
func (a *Agent) revision() jmhop.RevisionCode { return a.snapshot.code() }

// isBehind reports whether an agent has a newer copy of the directory, which may have a route
// that the own one lacks.
func (b *Balancer) isBehind(now time.Time) bool { return b.peers.isAhead(now, b.snapshot.code()) }

// code returns the code of the view's revision, 0 if there is none.
func (s *Snapshot) code() jmhop.RevisionCode {
	if s.View == nil {
		return 0
	}
	return jmhop.NewRevisionCode(s.Revision)
}
