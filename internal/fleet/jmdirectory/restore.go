package jmdirectory

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// The platform may be restored from a copy that is some seconds old. It then lists entries
// that were changed or removed since, and lacks others, until their owners have written them
// again.

// restoreGrace is how long after a restore an entry that was missing in the first listing
// counts as present. Owners write theirs again within about two seconds.
const restoreGrace = 2500 * time.Millisecond

// beginEra prepares the copy for a revision of a later era than its own. What it has concluded
// from listings of the platform holds up to now only: processes that have started since the
// restore know just the restored entries.
func (r *replica) beginEra(now time.Time, revision jasminemoor.Revision) {
	if revision.Era() <= r.revision.Era() {
		return
	}
	r.doubtUntil = now.Add(entryLapse)
	if r.asOf.IsZero() {
		// Peers that were there tell when the platform was restored.
		r.completeAt = now.Add(historyAsks * historyAskInterval)
	} else {
		r.restoredAt, r.completeAt = now, now.Add(restoreGrace)
	}
	for _, h := range r.histories {
		if len(h.ready) > 0 {
			h.readySince = now
		}
	}
	for _, known := range r.routes {
		for _, f := range known.former {
			known.addFormer(FormerService{Service: f.Service, LeftAt: now.Add(restoreGrace)})
		}
	}
}

// restoredFor returns how long ago the platform was restored, 0 if that is not known.
func (r *replica) restoredFor(now time.Time) time.Duration {
	if r.restoredAt.IsZero() {
		return 0
	}
	return max(now.Sub(r.restoredAt), 1)
}

// mergeRestore adds what a peer tells of when the platform was restored to the era of both
// copies, 0 if it does not know. It reports whether that changed the view.
func (r *replica) mergeRestore(now time.Time, revision jasminemoor.Revision, restoredFor time.Duration) (isNew bool) {
	at := now.Add(-restoredFor)
	isKnown := !r.restoredAt.IsZero() && !at.Before(r.restoredAt)
	if restoredFor <= 0 || isKnown || revision.Era() != r.revision.Era() {
		return false
	}
	r.restoredAt, r.completeAt = at, at.Add(restoreGrace)
	return true
}

// removalAt returns the revision of the removal of an entry that a listing of a revision lacks.
// If the entry is of an earlier era, it is missing since the start of this one, as far as is
// known.
func removalAt(known, listing jasminemoor.Revision) jasminemoor.Revision {
	if known.Era() < listing.Era() {
		return listing.EraStart()
	}
	return listing
}

// isMissing reports whether an upstream that was missing after a restore still counts as
// present.
func (k *knownUpstream) isMissing(now time.Time) bool {
	return k.upstream == nil && k.last != nil && k.revision.IsEraStart() && now.Sub(k.changedAt) <= restoreGrace
}

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
