// Package jmdirectory replicates the platform's directory of routes and
// upstreams to every process. One agent, the reader, watches the platform. With
// each answer it gossips a beacon with the age of its copy and the changes. If no
// recent beacon arrives, another agent reads in its place as a deputy.
//
// The machine has no sockets and no goroutines. Revisions and versions only
// grow. Upstreams and evacuations are ordered by the revisions of their entries, and the
// routes by the version that the operator has given to their configuration: the platform may
// be restored from a copy with an older version.
package jmdirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// viewRetention is how long a removed upstream stays in the view. Entries that
// expired during an outage of the platform's store are back within two seconds
// of its return.
const viewRetention = 6 * time.Second

// Item is one replicated part of the directory. Exactly one of Route, Upstream, Common
// and Evacuation is set.
type Item struct {
	Revision   jasminemoor.Revision
	Route      *RouteItem
	Upstream   *UpstreamItem
	Common     *CommonItem
	Evacuation *EvacuationItem
	// Since, with Common in a beacon, is the version to which the routes beside it are the
	// changes. It is 0 from an earlier release.
	Since uint64
	// Services, with Common, are those that the configuration lists, nil if that is not
	// known, as from an earlier release.
	Services []string
}

// RouteItem is a route, or the removal of one if Route is nil.
type RouteItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address  netip.AddrPort
	Route    *jasminemoor.Route
}

// UpstreamItem is an upstream, or the removal of one if Upstream is nil.
type UpstreamItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key      string
	Upstream *jasminemoor.ListedUpstream
}

// CommonItem is the part of a configuration that applies to all routes.
type CommonItem struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version     uint64
	IdleTimeout time.Duration
}

// replica is the copy of the directory.
type replica struct {
	// revision is the platform's revision up to which the copy is complete.
	revision jasminemoor.Revision
	// removalsSince is the lowest revision after which the copy has all removals.
	removalsSince jasminemoor.Revision
	routing
	upstreams   map[string]*knownUpstream
	strangers   int // upstreams of which only the removal is known
	histories   map[netip.AddrPort]*history
	endings     endings
	evacuations map[string]*knownEvacuation // by data centre
	// asOf is the latest time at which the copy is known to have been complete, zero
	// before the first copy.
	asOf time.Time
	// restoredAt is when the platform is known to have been restored, by this process or a
	// peer; zero if it was not, or before all of them started.
	restoredAt time.Time
	// doubtUntil is until when listings may have entries of upstreams that have ended long
	// ago, since the platform was restored.
	doubtUntil time.Time
	// completeAt is View.CompleteAt.
	completeAt time.Time
}

type knownUpstream struct {
	revision  jasminemoor.Revision
	upstream  *jasminemoor.ListedUpstream // nil after its removal
	last      *jasminemoor.ListedUpstream // before its removal
	changedAt time.Time
	warmAt    time.Time
	isExpired bool // its removal was so long ago that views omit it
	// isGraceOver is set once views show its removal: see missing.
	isGraceOver bool
}

// isStranger reports whether only its removal is known. Entries of other writers that name no
// upstream count as removed.
func (k *knownUpstream) isStranger() bool { return k.upstream == nil && k.last == nil }

// maxStrangers bounds the strangers that a copy keeps. A whole copy has none of them.
const maxStrangers = 1024

// boundStrangers drops the oldest strangers. A peer that lacks the removals gets the full copy.
func (r *replica) boundStrangers() {
	if r.strangers <= maxStrangers {
		return
	}
	var keys []string
	for key, known := range r.upstreams {
		if known.isStranger() {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y string) int {
		return cmp.Or(cmp.Compare(r.upstreams[x].revision, r.upstreams[y].revision), cmp.Compare(x, y))
	})
	for _, key := range keys[:len(keys)-maxStrangers/2] {
		r.removalsSince = max(r.removalsSince, r.upstreams[key].revision)
		delete(r.upstreams, key)
	}
	r.strangers = maxStrangers / 2
}

func (r *replica) init() {
	if r.routes == nil {
		r.routes = make(map[netip.AddrPort]*knownRoute)
		r.upstreams = make(map[string]*knownUpstream)
		r.histories = make(map[netip.AddrPort]*history)
		r.evacuations = make(map[string]*knownEvacuation)
	}
}

// applyEntries applies an answer of the platform and returns the changed items.
// If isWhole is set, the answer lists all entries.
func (r *replica) applyEntries(now time.Time, c *jasminemoor.DirectoryChanges, isWhole bool) (changed []Item) {
	r.init()
	r.beginEra(now, c.Revision)
	if isWhole {
		// Removals come first: the address of a removed upstream was not listed until that
		// of an added one, as far as a listing tells.
		changed = r.removeUnlisted(now, c)
	}
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Routing != nil {
			changed = append(changed, r.applyRouting(now, e)...)
			continue
		}
		item := Item{Revision: e.Revision}
		if e.Evacuation != nil {
			item.Evacuation = &EvacuationItem{DataCentre: e.Evacuation.DataCentre, IsActive: !e.Evacuation.IsOver}
		} else {
			item.Upstream = &UpstreamItem{Key: e.Key, Upstream: e.Upstream}
		}
		if r.apply(now, &item) {
			changed = append(changed, item)
		}
	}
	if isWhole {
		// The listing omits entries that were added and removed since the last
		// revision, so their removals are unknown here.
		r.removalsSince = max(r.removalsSince, c.Revision)
	}
	r.revision = max(r.revision, c.Revision)
	r.boundStrangers()
	if r.asOf.IsZero() {
		r.routesKnownSince = now
		r.recordFirstCopy(now)
	}
	return changed
}

// removeOthers removes the upstreams that a full listing does not name, and
// returns the removals.
func (r *replica) removeOthers(now time.Time, revision jasminemoor.Revision, listed map[string]bool) (removals []Item) {
	for key, known := range r.upstreams {
		if listed[key] || known.upstream == nil || known.revision >= revision {
			continue
		}
		item := Item{Revision: removalAt(known.revision, revision), Upstream: &UpstreamItem{Key: key}}
		if r.apply(now, &item) {
			removals = append(removals, item)
		}
	}
	return removals
}

// apply applies an upstream or an evacuation and reports whether it was newer than the
// copy's.
func (r *replica) apply(now time.Time, item *Item) (isNew bool) {
	r.init()
	switch {
	case item.Upstream != nil:
		return r.applyUpstream(now, item.Revision, item.Upstream)
	case item.Evacuation != nil:
		return r.applyEvacuation(now, item.Revision, item.Evacuation)
	}
	return false
}

func (r *replica) applyUpstream(now time.Time, revision jasminemoor.Revision, item *UpstreamItem) (isNew bool) {
	known := r.upstreams[item.Key]
	if known == nil {
		known = &knownUpstream{}
		r.upstreams[item.Key] = known
		r.strangers++
	}
	if revision <= known.revision {
		return false
	}
	wasStranger := known.isStranger()
	upstream := known.reconcile(revision, item.Upstream)
	if isSame(known.upstream, upstream) {
		known.revision = revision
		return false
	}
	r.recordHistory(now, item.Key, known.upstream, upstream)
	if known.upstream != nil {
		known.last = known.upstream
	}
	known.revision, known.upstream, known.changedAt, known.isExpired, known.isGraceOver = revision, upstream, now, false, false
	if upstream != nil {
		known.warmAt = now.Add(upstream.WarmIn)
	}
	if wasStranger && !known.isStranger() {
		r.strangers--
	}
	return true
}

// isSame reports whether two upstreams, each of which may be nil for none, are listed with
// the same state. Of two removals, the later one counts as another.
func isSame(x, y *jasminemoor.ListedUpstream) bool { return x != nil && y != nil && *x == *y }

// lacksAll reports whether a peer needs the whole copy.
func (r *replica) lacksAll(request *PullRequest) bool {
	return request.Since == 0 || request.Since < r.removalsSince || request.HasVersion && request.Version < r.version && !r.hasHad(request.Version)
}

// size returns the number of items of the whole copy.
func (r *replica) size() int { return len(r.upstreams) + len(r.routes) + len(r.evacuations) }

// delta returns what a peer's copy lacks. If the removals since it are not all known, that
// is the whole copy, and isWhole is set.
func (r *replica) delta(request *PullRequest) (items []Item, isWhole bool) {
	since := request.Since
	isWhole = r.lacksAll(request)
	if isWhole {
		since = 0
	}
	items = r.deltaRoutes(request, isWhole)
	for key, known := range r.upstreams {
		if known.revision > since && (!isWhole || !known.isStranger()) {
			items = append(items, Item{Revision: known.revision, Upstream: &UpstreamItem{Key: key, Upstream: known.upstream}})
		}
	}
	return r.deltaEvacuations(items, since), isWhole
}

// merge applies upstreams and evacuations of a peer whose copy is complete up to revision,
// and reports whether any was new. The items must be the peer's full copy or all that
// changed after a revision up to which this copy is complete. Routes among them are left
// out.
func (r *replica) merge(now time.Time, items []Item, revision jasminemoor.Revision, isWhole bool) (isNew bool) {
	r.init()
	r.beginEra(now, revision)
	if isWhole && revision > r.revision {
		isNew = r.mergeUnlisted(now, items, revision)
		r.removalsSince = max(r.removalsSince, revision)
	}
	// The histories of addresses depend on the order of the changes.
	items = slices.SortedFunc(slices.Values(items), func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	for i := range items {
		isNew = r.apply(now, &items[i]) || isNew
	}
	r.revision = max(r.revision, revision)
	r.boundStrangers()
	if r.asOf.IsZero() {
		r.routesKnownSince = now
		r.recordFirstCopy(now)
	}
	return isNew
}

// expire takes removed upstreams out of the view after viewRetention, and drops
// their tombstones after tombstoneRetention. It reports whether the view has
// changed.
func (r *replica) expire(now time.Time) (hasChanged bool) {
	for key, known := range r.upstreams {
		if known.upstream != nil {
			continue
		}
		if !known.isGraceOver && known.revision.IsEraStart() && !known.isMissing(now) {
			known.isGraceOver, hasChanged = true, true
		}
		if !known.isExpired && now.Sub(known.changedAt) > viewRetention {
			known.isExpired, hasChanged = true, true
		}
		if now.Sub(known.changedAt) > tombstoneRetention {
			if known.isStranger() {
				r.strangers--
			}
			r.removalsSince = max(r.removalsSince, known.revision)
			delete(r.upstreams, key)
		}
	}
	hasChanged = r.expireEvacuations(now) || hasChanged
	r.expireHistories(now)
	return hasChanged
}

// tombstoneRetention is how long the tombstones of removed upstreams are kept. A
// peer that lacks an older removal gets the full copy.
const tombstoneRetention = time.Minute
