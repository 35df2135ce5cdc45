package jmmember

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// ring hands out its addresses in a random order, each once a round, so that
// the time until a member is probed is bounded.
type ring struct {
	addrs  []netip.AddrPort
	at     int
	sorted bool
}

func (r *ring) reset() {
	r.addrs, r.at, r.sorted = r.addrs[:0], 0, false
}

func (r *ring) add(addr netip.AddrPort) { r.addrs = append(r.addrs, addr) }

func (r *ring) len() int { return len(r.addrs) }

// prepare sorts new addresses, so that a seeded run does not depend on the
// order of a map, and then shuffles them.
func (r *ring) prepare(rng *rand.Rand) {
	if r.sorted {
		return
	}
	r.sorted = true
	slices.SortFunc(r.addrs, netip.AddrPort.Compare)
	r.shuffle(rng)
}

func (r *ring) shuffle(rng *rand.Rand) {
	rng.Shuffle(len(r.addrs), func(i, j int) { r.addrs[i], r.addrs[j] = r.addrs[j], r.addrs[i] })
}

func (r *ring) next(rng *rand.Rand) (addr netip.AddrPort, found bool) {
	if len(r.addrs) == 0 {
		return addr, false
	}
	r.prepare(rng)
	if r.at >= len(r.addrs) {
		r.at = 0
		r.shuffle(rng)
	}
	r.at++
	return r.addrs[r.at-1], true
}

func (r *ring) pick(rng *rand.Rand) (addr netip.AddrPort, found bool) {
	if len(r.addrs) == 0 {
		return addr, false
	}
	r.prepare(rng)
	return r.addrs[rng.IntN(len(r.addrs))], true
}

// Bounds of what a message carries along.
const (
	maxUpdates       = 8 // in one message
	spreadMultiplier = 3 // times log2 of the members is how often an update is sent
)

// rumorQueue holds the updates that are still to be passed on. The ones that
// were sent least go first.
type rumorQueue struct {
	rumors []rumor
}

type rumor struct {
	update Update
	sent   int
}

func (q *rumorQueue) put(u Update) {
	q.rumors = slices.DeleteFunc(q.rumors, func(r rumor) bool { return r.update.Member == u.Member })
	q.rumors = append(q.rumors, rumor{update: u})
}

func (q *rumorQueue) retain(keep func(netip.AddrPort) bool) {
	q.rumors = slices.DeleteFunc(q.rumors, func(r rumor) bool { return !keep(r.update.Member) })
}

// appendTo adds the least-sent updates to a message and drops those that were
// sent often enough for a fleet of n members.
func (q *rumorQueue) appendTo(updates []Update, n int) []Update {
	slices.SortStableFunc(q.rumors, compareRumors)
	for i := range q.rumors {
		if len(updates) >= maxUpdates {
			break
		}
		if isAbout(updates, q.rumors[i].update.Member) {
			continue
		}
		updates = append(updates, q.rumors[i].update)
		q.rumors[i].sent++
	}
	limit := spreadMultiplier * log2(n+1)
	q.rumors = slices.DeleteFunc(q.rumors, func(r rumor) bool { return r.sent >= limit })
	return updates
}

func compareRumors(a, b rumor) int {
	if a.sent != b.sent {
		return a.sent - b.sent
	}
	x, y := a.update.Member.Addr().As16(), b.update.Member.Addr().As16()
	return bytes.Compare(x[:], y[:])
}

func isAbout(updates []Update, member netip.AddrPort) bool {
	return slices.ContainsFunc(updates, func(u Update) bool { return u.Member == member })
}

func log2(n int) int {
	bits := 1
	for n > 1 {
		n >>= 1
		bits++
	}
	return bits
}
