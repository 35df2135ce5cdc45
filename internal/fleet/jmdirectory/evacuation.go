package jmdirectory

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// returnTime is how long after the end of an evacuation the upstreams of the data centre
// count as returning. They may be cold, and are empty: see Upstream.ReturnShare.
const returnTime = 3 * time.Second

// EvacuationItem is an evacuation of a data centre, or its end if IsActive is not set.
type EvacuationItem struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	DataCentre string
	IsActive   bool
}

type knownEvacuation struct {
	revision  jasminemoor.Revision
	isActive  bool // not set after its end, until the tombstone is dropped
	changedAt time.Time
	// isGraceOver is set once views show its end, which began with a restore.
	isGraceOver bool
}

// isInForce reports whether the evacuation is active, or was until the platform was restored
// and may be written again.
func (k *knownEvacuation) isInForce(now time.Time) bool {
	return k.isActive || k.revision.IsEraStart() && now.Sub(k.changedAt) <= restoreGrace
}

// applyEvacuation applies an item and reports whether it was newer than the copy's.
func (r *replica) applyEvacuation(now time.Time, revision jasminemoor.Revision, item *EvacuationItem) (isNew bool) {
	known := r.evacuations[item.DataCentre]
	if known == nil {
		known = &knownEvacuation{}
		r.evacuations[item.DataCentre] = known
	}
	if revision <= known.revision {
		return false
	}
	known.revision, known.isActive, known.changedAt, known.isGraceOver = revision, item.IsActive, now, false
	return true
}

// removeOtherEvacuations ends the evacuations that a full listing does not name, and
// returns the ends.
func (r *replica) removeOtherEvacuations(now time.Time, revision jasminemoor.Revision, listed map[string]bool) (ends []Item) {
	for name, known := range r.evacuations {
		if listed[name] || !known.isActive || known.revision >= revision {
			continue
		}
		item := Item{Revision: removalAt(known.revision, revision), Evacuation: &EvacuationItem{DataCentre: name}}
		if r.apply(now, &item) {
			ends = append(ends, item)
		}
	}
	return ends
}

// removeUnlisted removes the upstreams and ends the evacuations that a full listing of
// the platform does not name, and returns the changes.
func (r *replica) removeUnlisted(now time.Time, c *jasminemoor.DirectoryChanges) (changes []Item) {
	listed, evacuated := make(map[string]bool), make(map[string]bool)
	for i := range c.Entries {
		if e := c.Entries[i].Evacuation; e != nil {
			evacuated[e.DataCentre] = true
		} else {
			listed[c.Entries[i].Key] = true
		}
	}
	return append(r.removeOthers(now, c.Revision, listed), r.removeOtherEvacuations(now, c.Revision, evacuated)...)
}

// mergeUnlisted does the same with a peer's full copy. It reports whether anything was
// removed.
func (r *replica) mergeUnlisted(now time.Time, items []Item, revision jasminemoor.Revision) (isNew bool) {
	listed, evacuated := make(map[string]bool), make(map[string]bool)
	for i := range items {
		switch {
		case items[i].Upstream != nil:
			listed[items[i].Upstream.Key] = true
		case items[i].Evacuation != nil:
			evacuated[items[i].Evacuation.DataCentre] = true
		}
	}
	isNew = len(r.removeOthers(now, revision, listed)) > 0
	return len(r.removeOtherEvacuations(now, revision, evacuated)) > 0 || isNew
}

// deltaEvacuations appends the evacuations that began or ended after a revision.
func (r *replica) deltaEvacuations(items []Item, since jasminemoor.Revision) []Item {
	for name, known := range r.evacuations {
		if known.revision > since {
			items = append(items, Item{Revision: known.revision, Evacuation: &EvacuationItem{DataCentre: name, IsActive: known.isActive}})
		}
	}
	return items
}

// expireEvacuations drops the tombstones of evacuations after tombstoneRetention. It reports
// whether the view has changed.
func (r *replica) expireEvacuations(now time.Time) (hasChanged bool) {
	for name, known := range r.evacuations {
		if known.revision.IsEraStart() && !known.isGraceOver && !known.isInForce(now) {
			known.isGraceOver, hasChanged = true, true
		}
		if !known.isActive && now.Sub(known.changedAt) > tombstoneRetention {
			r.removalsSince = max(r.removalsSince, known.revision)
			delete(r.evacuations, name)
		}
	}
	return hasChanged
}

// addEvacuation adds to an upstream what the copy knows of evacuations of its data centre.
func (r *replica) addEvacuation(now time.Time, u *Upstream) {
	known := r.evacuations[u.DataCentre]
	switch {
	case known == nil:
	case known.isInForce(now):
		u.IsEvacuated = true
	default:
		u.ReturnedAt = known.changedAt
	}
}

// evacuated returns the data centres that are being evacuated, in alphabetical order.
func (r *replica) evacuated(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.evacuations)) {
		if r.evacuations[name].isInForce(now) {
			names = append(names, name)
		}
	}
	return names
}

// ReturnShare returns how far an upstream has returned after an evacuation, from 0 at its
// end to 1. It is 1 for an upstream whose data centre was not evacuated lately.
func (u *Upstream) ReturnShare(now time.Time) float64 {
	if u.ReturnedAt.IsZero() {
		return 1
	}
	return min(max(now.Sub(u.ReturnedAt).Seconds()/returnTime.Seconds(), 0), 1)
}

// EvacuationLoad is what the evacuations in a view leave of a service.
type EvacuationLoad struct {
	Service string
	// Slots are those of the upstreams that are in rank, and SlotsLeft of the ready ones.
	Slots, SlotsLeft int
}

// EvacuationLoads returns what the evacuations leave of each service, in the order of
// their names. It is empty if no data centre is being evacuated.
func (v *View) EvacuationLoads() (loads []EvacuationLoad) {
	if len(v.Evacuated) == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(v.Services)) {
		l := EvacuationLoad{Service: name}
		for _, u := range v.Services[name].Upstreams {
			if !u.IsInRank() {
				continue
			}
			l.Slots += u.Slots
			if u.IsReady() {
				l.SlotsLeft += u.Slots
			}
		}
		loads = append(loads, l)
	}
	return loads
}
