package jmdirectory

import (
	"net/netip"
	"slices"
	"time"
)

// Bounds of the whole copies that a process gives to peers, so that those of a start of the fleet
// spread over all processes that have one.
const (
	// maxCopies is how many copies of up to copyItems items a process gives in a second, and
	// at once.
	maxCopies = 8
	copyItems = 5500
	// maxNamed is how many of the latest receivers a refused peer is told of.
	maxNamed = 8
	// maxRedirects is how many refusals in turn a process follows at once.
	maxRedirects = 4
	// maxSources bounds the peers that are known to have a copy or to get one.
	maxSources = 16
	// Bounds of the delay before another source is asked after that.
	minSourceDelay = 50 * time.Millisecond
	maxSourceDelay = 250 * time.Millisecond
)

// copyBudget bounds the whole copies that a process gives to peers.
type copyBudget struct {
	left  float64 // copies
	since time.Time
	named []netip.Addr // the latest receivers
}

// take reports whether a copy of a number of items may be given now. A copy that is larger than
// the whole budget uses up that of the next seconds.
func (b *copyBudget) take(now time.Time, items int) bool {
	if b.since.IsZero() {
		b.left = maxCopies
	} else {
		b.left = min(b.left+now.Sub(b.since).Seconds()*maxCopies, maxCopies)
	}
	b.since = now
	cost := max(float64(items)/copyItems, 1)
	if b.left < min(cost, maxCopies) {
		return false
	}
	b.left -= cost
	return true
}

// record records that a peer gets a copy. An earlier release does not name itself.
func (b *copyBudget) record(peer netip.Addr) {
	if !peer.IsValid() || slices.Contains(b.named, peer) {
		return
	}
	if b.named = append(b.named, peer); len(b.named) > maxNamed {
		b.named = b.named[1:]
	}
}

// refuse returns the reply to a peer that gets no copy now.
func (b *copyBudget) refuse(peer netip.Addr) *PullReply {
	named := slices.DeleteFunc(slices.Clone(b.named), func(other netip.Addr) bool { return other == peer })
	return &PullReply{Age: -1, IsRefused: true, AskInstead: named}
}

// sources are the peers from which a process may get a whole copy after others have refused one.
type sources struct {
	peers     []netip.Addr
	redirects int // refusals in turn
	nextAt    time.Time
}

// handleRefusal has another peer asked for the copy: at once, or after a delay if several have
// refused in turn.
func (m *Machine) handleRefusal(out *Output, now time.Time, reply *PullReply, pending *Beacon) {
	s := &m.sources
	for _, peer := range reply.AskInstead {
		if peer != m.Self && !slices.Contains(s.peers, peer) {
			s.peers = append(s.peers, peer)
		}
	}
	s.peers = s.peers[max(len(s.peers)-maxSources, 0):]
	if s.redirects++; s.redirects > maxRedirects || !m.pullFromSource(out, now) {
		s.nextAt = now.Add(minSourceDelay + time.Duration(m.Rand.Int64N(int64(maxSourceDelay-minSourceDelay))))
		return
	}
	m.pendingBeacon = pending
}

// pullFromSource pulls from a source that is drawn at random, and forgets it.
func (m *Machine) pullFromSource(out *Output, now time.Time) bool {
	s := &m.sources
	if len(s.peers) == 0 {
		return false
	}
	at := m.Rand.IntN(len(s.peers))
	peer := s.peers[at]
	s.peers = slices.Delete(s.peers, at, at+1)
	m.pullBegun, m.pendingBeacon = now, nil
	out.Pulls = append(out.Pulls, peer)
	return true
}

// tickSources asks the next source while there is no copy here.
func (m *Machine) tickSources(out *Output, now time.Time) {
	if m.isLoaded || now.Before(m.sources.nextAt) || now.Sub(m.pullBegun) <= pullTimeout {
		return
	}
	m.sources.redirects = 0
	m.sources.nextAt = now.Add(minSourceDelay)
	m.pullFromSource(out, now)
}
