package jmmember

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// ring returns its addresses in a random order, each once a round, so that the
// time until a member is probed is bounded.
type ring struct {
	addrs      []netip.AddrPort
	position   int // of the next address in the round
	isShuffled bool
}

func (r *ring) reset() {
	r.addrs, r.position, r.isShuffled = r.addrs[:0], 0, false
}

func (r *ring) add(addr netip.AddrPort) { r.addrs = append(r.addrs, addr) }

func (r *ring) len() int { return len(r.addrs) }

// prepare shuffles new addresses. It sorts them first, so that a seeded run does
// not depend on the iteration order of a map.
func (r *ring) prepare(rng *rand.Rand) {
	if r.isShuffled {
		return
	}
	r.isShuffled = true
	slices.SortFunc(r.addrs, netip.AddrPort.Compare)
	r.shuffle(rng)
}

func (r *ring) shuffle(rng *rand.Rand) {
	rng.Shuffle(len(r.addrs), func(i, j int) { r.addrs[i], r.addrs[j] = r.addrs[j], r.addrs[i] })
}

// next returns the next address of the round.
func (r *ring) next(rng *rand.Rand) (addr netip.AddrPort, found bool) {
	if len(r.addrs) == 0 {
		return addr, false
	}
	r.prepare(rng)
	if r.position >= len(r.addrs) {
		r.position = 0
		r.shuffle(rng)
	}
	r.position++
	return r.addrs[r.position-1], true
}

// pick returns a random address, independently of the round.
func (r *ring) pick(rng *rand.Rand) (addr netip.AddrPort, found bool) {
	if len(r.addrs) == 0 {
		return addr, false
	}
	r.prepare(rng)
	return r.addrs[rng.IntN(len(r.addrs))], true
}

// Bounds of the gossip.
const (
	maxUpdates = 8 // in one message
	// transmitMultiplier times the bit length of the number of members is how often
	// an update is sent.
	transmitMultiplier = 3
)

// rumorQueue holds the updates that are still to be gossiped. Those that were sent
// least often are sent first.
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

// appendTo appends the updates that were sent least often, up to maxUpdates in all,
// and drops those that were sent often enough for n other members.
func (q *rumorQueue) appendTo(updates []Update, n int) []Update {
	slices.SortStableFunc(q.rumors, compareRumors)
	for i := range q.rumors {
		if len(updates) >= maxUpdates {
			break
		}
		if containsMember(updates, q.rumors[i].update.Member) {
			continue
		}
		updates = append(updates, q.rumors[i].update)
		q.rumors[i].sent++
	}
	limit := transmitMultiplier * bitLength(n+1)
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

func containsMember(updates []Update, member netip.AddrPort) bool {
	return slices.ContainsFunc(updates, func(u Update) bool { return u.Member == member })
}

// bitLength returns the number of bits of n, at least 1.
func bitLength(n int) int {
	bits := 1
	for n > 1 {
		n >>= 1
		bits++
	}
	return bits
}
