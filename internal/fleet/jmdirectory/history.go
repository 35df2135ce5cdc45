package jmdirectory

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// entryLapse is how long the entry of an upstream that has ended may stay in a copy:
	// three heartbeats until it lapses, and the delay until the copy has the change.
	entryLapse = 6 * time.Second
	// clockTolerance is how far the clock of an upstream may be off.
	clockTolerance = 10 * time.Second
)

// history is what the copy knows of the past of one address. Which flows an upstream
// may hold follows from it: see Upstream.ListedSince and Upstream.StartedAfter.
type history struct {
	service string
	// ready are the keys of the address's entries in state UpstreamReady. An upstream
	// that has ended and the next one may be listed at the same time.
	ready      map[string]bool
	readySince time.Time
	emptySince time.Time // the last of ready was removed after that
	// id and born are those of the newest upstream.
	id           string
	born         int64
	startedAfter time.Time
}

// recordHistory updates the histories of addresses for a change of an entry, before or
// after which there may be none.
func (r *replica) recordHistory(now time.Time, key string, before, after *jasminemoor.ListedUpstream) {
	if after != nil && !r.isNamed(after.Service) {
		after = nil
	}
	if before != nil && hasLeftAddress(before, after) {
		if h := r.histories[before.Address]; h != nil && h.service == before.Service {
			h.remove(r.asOf, key)
		}
	}
	if after == nil {
		return
	}
	h := r.histories[after.Address]
	if h == nil || h.service != after.Service {
		h = &history{service: after.Service, ready: make(map[string]bool)}
		r.histories[after.Address] = h
	}
	if after.State != jasminemoor.UpstreamReady {
		// The address gets no new flows now, whatever other entries it has.
		clear(h.ready)
		h.emptySince = r.asOf
	}
	asOf := r.asOf
	if now.Before(r.doubtUntil) {
		asOf = time.Time{}
	}
	h.recordStart(now, asOf, after)
	if after.State == jasminemoor.UpstreamReady {
		if len(h.ready) == 0 {
			h.readySince = now
		}
		h.ready[key] = true
	}
}

// hasLeftAddress reports whether a change of an entry, after which there may be none, says that
// the upstream was not listed at its address for a while.
func hasLeftAddress(before, after *jasminemoor.ListedUpstream) bool {
	return after == nil || after.Address != before.Address ||
		after.Created != before.Created && after.Created != 0 && before.Created != 0
}

// remove removes an entry, which was there at asOf.
func (h *history) remove(asOf time.Time, key string) {
	delete(h.ready, key)
	if len(h.ready) == 0 {
		h.emptySince = asOf
	}
}

// recordStart updates the history for an upstream that may be another one than before,
// by a copy that was complete at asOf, zero if its entries tell nothing of the former one.
func (h *history) recordStart(now, asOf time.Time, u *jasminemoor.ListedUpstream) {
	if u.ID == h.id && u.Born == h.born {
		return
	}
	isReplaced := h.id != "" && u.Born > h.born
	h.id, h.born = u.ID, u.Born
	h.startedAfter = startByClock(now, u)
	if !isReplaced || asOf.IsZero() {
		return
	}
	// The former upstream was listed until then. It had ended when this one started.
	formerListed := h.emptySince
	if len(h.ready) > 0 {
		formerListed = asOf
	}
	h.startedAfter = latest(h.startedAfter, formerListed.Add(-entryLapse))
}

// startByClock returns a time after which an upstream must have started by its own
// account: it is warming up, and started a moment ago by its clock. The result is zero
// if that is not so.
func startByClock(now time.Time, u *jasminemoor.ListedUpstream) (t time.Time) {
	age := now.Sub(time.UnixMilli(u.Born))
	if u.WarmIn <= 0 || age > clockTolerance || age < -clockTolerance {
		return t
	}
	return now.Add(-max(age, 0) - clockTolerance)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordFirstCopy completes the histories after the first copy was applied. An address
// at which an upstream that has ended is listed with its successor was listed for as
// long as the former one ran.
func (r *replica) recordFirstCopy(now time.Time) {
	first, newest := make(map[netip.AddrPort]int64), make(map[netip.AddrPort]*jasminemoor.ListedUpstream)
	for key, known := range r.upstreams {
		u := known.upstream
		if u == nil {
			continue
		}
		if h := r.histories[u.Address]; h == nil || !h.ready[key] {
			continue
		}
		if born, found := first[u.Address]; !found || u.Born < born {
			first[u.Address] = u.Born
		}
		if other := newest[u.Address]; other == nil || u.Born > other.Born {
			newest[u.Address] = u
		}
	}
	for addr, u := range newest {
		h := r.histories[addr]
		h.id, h.born, h.startedAfter = u.ID, u.Born, startByClock(now, u)
		formerRan := time.Duration(u.Born-first[addr]) * time.Millisecond
		if formerRan <= 0 || r.revision.Era() > 0 {
			continue // the former one may be listed only since the platform was restored
		}
		h.startedAfter = latest(h.startedAfter, now.Add(-entryLapse))
		if listedFor := formerRan - clockTolerance; listedFor > 0 {
			h.readySince = now.Add(-listedFor)
		}
	}
}

// addHistory adds what the copy knows of the past of an upstream's address.
func (r *replica) addHistory(u *Upstream) {
	h := r.histories[u.Address]
	if h == nil || h.service != u.Service {
		return
	}
	if u.IsInRank() && len(h.ready) > 0 {
		u.ListedSince = h.readySince
	}
	if h.id == u.ID && h.born == u.Born {
		u.StartedAfter = h.startedAfter
	}
}

// expireHistories drops the histories of addresses that are no longer listed.
func (r *replica) expireHistories(now time.Time) {
	for addr, h := range r.histories {
		if len(h.ready) == 0 && now.Sub(h.emptySince) > tombstoneRetention {
			delete(r.histories, addr)
		}
	}
}
