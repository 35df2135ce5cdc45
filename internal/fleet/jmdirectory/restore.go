package jmdirectory

import (
	"github.com/jasminemoor/jasminemoor"
)

// The platform may be restored from a copy that is some seconds old. It then lists entries
// that were changed or removed since, and lacks others, until their owners have written them
// again.

// reconcile returns what is known of an upstream after an entry of a revision, nil if it is
// removed. A restored entry may tell less than the copy knows: of an earlier run of the
// upstream, or that it is ready although it was leaving.
func (k *knownUpstream) reconcile(revision jasminemoor.Revision, listed *jasminemoor.ListedUpstream) *jasminemoor.ListedUpstream {
	isRestored := revision.Era() > k.revision.Era() && revision.Change() <= k.revision.Change()
	latest := k.upstream
	if latest == nil {
		latest = k.last
	}
	if !isRestored || listed == nil || latest == nil {
		return listed
	}
	switch {
	case latest.Born > listed.Born:
		return k.upstream
	case latest.Born == listed.Born && latest.State == jasminemoor.UpstreamLeaving:
		leaving := *listed
		leaving.State = jasminemoor.UpstreamLeaving
		return &leaving
	}
	return listed
}
