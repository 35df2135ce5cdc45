package jmdirectory

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// When the processes other than the reader call the platform.
const (
	// askPeerAfter is the age of the copy from which the other processes ask peers, one
	// at a time.
	askPeerAfter = 1800 * time.Millisecond
	// Bounds of the delay between two peers, which doubles with each stale answer.
	minAskInterval = 200 * time.Millisecond
	maxAskInterval = 1600 * time.Millisecond
	// peersBeforeRead is how many peers in turn must not have helped before a process
	// reads the platform itself.
	peersBeforeRead = 2
	// readersInTurn is about how many of the processes whose peers have stale copies as
	// well read the platform in one round. The platform may serve only some instances.
	readersInTurn = 3
	// seedlessDelay is how long processes wait in addition, drawn at random, before they
	// read the platform while no agent is listed and no seed tells them anything.
	seedlessDelay = 2 * time.Second
)

// NextRead returns the call to make at the platform now, if any. Its result
// goes to HandleRead.
func (m *Machine) NextRead(now time.Time) (r Read, found bool) {
	if m.isReading || now.Before(m.nextReadAt) || !m.shouldRead(now) {
		return r, false
	}
	m.isReading = true
	m.lastRead = now
	if !m.isLoaded || m.mustLoad {
		return Read{IsLoad: true}, true
	}
	if !m.IsReader() {
		return Read{Since: m.replica.revision, Wait: catchUpWait}, true
	}
	return Read{Since: m.replica.revision, Wait: WatchWait}, true
}

// catchUpWait is the wait of a call of a process that is not the reader. It only
// catches up, so the wait is the minimum.
const catchUpWait = time.Millisecond

// IsReader reports whether the process watches the platform for the whole fleet. That is
// the agent of rank 0 or a deputy, and while no agent is listed, each seed.
func (m *Machine) IsReader() bool {
	if !m.isLoaded {
		return false
	}
	if !m.hasAgents() {
		return slices.Contains(m.Seeds, m.Self) || len(m.Seeds) == 0 && m.Upstream.IsValid()
	}
	return m.Upstream.IsValid() && (m.isListed && m.rank == 0 || m.isDeputy)
}

// hasAgents reports whether the copy lists any agent, this one included.
func (m *Machine) hasAgents() bool { return m.isListed || len(m.agents) > 0 }

// isDeputyInTurn reports whether the agent reads in place of the reader after a delay by
// its rank, without asking a peer.
func (m *Machine) isDeputyInTurn() bool { return m.isListed && m.rank <= maxTakeoverRank }

func (m *Machine) shouldRead(now time.Time) bool {
	if !m.isLoaded || m.IsReader() {
		return true
	}
	age := now.Sub(m.replica.asOf)
	switch {
	case !m.hasAgents():
		return age >= StaleAfter+m.seedlessExtra
	case m.isDeputyInTurn():
		return age >= StaleAfter+time.Duration(m.rank)*takeoverDelay
	}
	return m.mayRead && age >= askPeerAfter
}

// peerToAsk returns the peer to ask now for a newer copy. If all processes read the
// platform once their copies are stale, an outage of the platform costs as many calls
// as there are processes.
func (m *Machine) peerToAsk(now time.Time) (peer netip.Addr, found bool) {
	isStale := m.isLoaded && now.Sub(m.replica.asOf) >= askPeerAfter
	if !isStale || len(m.agents) == 0 || m.IsReader() || m.isDeputyInTurn() || m.mayRead {
		return peer, false
	}
	if now.Before(m.nextAsk) || now.Sub(m.pullBegun) <= pullTimeout {
		return peer, false
	}
	m.pullBegun, m.pendingBeacon = now, nil
	m.askInterval = min(max(2*m.askInterval, minAskInterval), maxAskInterval)
	m.nextAsk = now.Add(m.askInterval/2 + time.Duration(m.Rand.Int64N(int64(m.askInterval))))
	return m.agents[m.Rand.IntN(len(m.agents))], true
}

// recordPeer counts the answer of a peer that was asked while the copy is stale, and
// decides whether the process reads the platform itself.
func (m *Machine) recordPeer(now time.Time, hasAnswered bool) {
	switch {
	case now.Sub(m.replica.asOf) < askPeerAfter:
		m.unanswered, m.stale, m.askInterval, m.mayRead = 0, 0, 0, false
		return
	case hasAnswered:
		m.unanswered = 0
		m.stale++
	default:
		m.unanswered++
	}
	isInTurn := m.stale >= peersBeforeRead && m.Rand.IntN(len(m.agents)+1) < readersInTurn
	m.mayRead = m.mayRead || m.unanswered >= peersBeforeRead || isInTurn
}

// errFormerEra says that an answer of the platform was sent before it was restored.
var errFormerEra = errors.New("answer of a former era")

// HandleRead handles the result of a call at the platform.
func (m *Machine) HandleRead(now time.Time, read Read, c *jasminemoor.DirectoryChanges, err error) (out Output) {
	m.isReading, m.mayRead = false, false
	m.seedlessExtra = time.Duration(m.Rand.Int64N(int64(seedlessDelay)))
	if err == nil && c.Revision.Era() < m.replica.revision.Era() {
		err = errFormerEra
	}
	if err != nil {
		m.planRetry(now, err)
		return out
	}
	m.backoff = 0
	m.nextReadAt = m.lastRead.Add(minReadInterval)
	if c.Revision < m.replica.revision && !read.IsLoad {
		// A peer sent a later revision while the watch was in flight.
		m.advanceAsOf(now)
		return m.sendBeacon(now, nil, m.replica.revision)
	}
	if !read.IsLoad && read.Wait == catchUpWait {
		// No recent beacon came from the agents ranked before this one, but the
		// platform answers this one.
		m.isDeputy = m.Upstream.IsValid()
	}
	since, version := m.replica.revision, m.replica.version
	changes := m.replica.applyEntries(now, c, read.IsLoad)
	news := changes
	if !m.isLoaded {
		m.planAnnouncement(now)
	}
	if read.IsLoad {
		m.mustLoad, m.isLoaded = false, true
		m.replica.recordMissed(now, version)
		// A listing omits removals of entries that only peers have had, so they have to pull
		// the whole copy.
		news, since = nil, m.replica.revision
	}
	m.advanceAsOf(now)
	out = m.sendBeacon(now, news, since)
	out.HasNewView = len(changes) > 0 || read.IsLoad
	if out.HasNewView {
		m.updateAgents(now)
	}
	return out
}

// ErrUnusable is the error of a read whose answer can't be applied.
var ErrUnusable = errors.New("answer of the platform can't be applied")

// unusableInterval is the time after which a read is repeated whose answer can't be applied.
const unusableInterval = 2 * time.Second

// planRetry plans the next call after one that has failed.
func (m *Machine) planRetry(now time.Time, err error) {
	least, most := m.backoffBounds()
	m.backoff = min(max(m.backoff*2, least), most)
	m.nextReadAt = now.Add(m.backoff/2 + time.Duration(m.Rand.Int64N(int64(m.backoff/2))))
	switch {
	case isHistoryGone(err):
		m.mustLoad, m.nextReadAt = true, now
	case errors.Is(err, ErrUnusable):
		// A part of the answer may be applied already.
		m.mustLoad, m.nextReadAt = true, now.Add(unusableInterval)
	}
}

func (m *Machine) backoffBounds() (least, most time.Duration) {
	switch {
	case !m.isLoaded && slices.Contains(m.Seeds, m.Self):
		return minBackoff, maxSeedBackoff
	case !m.isLoaded || m.IsReader():
		return minBackoff, maxReaderBackoff
	}
	return minOtherBackoff, maxOtherBackoff
}
