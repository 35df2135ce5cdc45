package jmdirectory

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
)

// Timing of the spreading. The bounds that it has to meet are seconds: a
// change must be in force everywhere, and a reader that fails be replaced.
const (
	// WatchWait is how long the reader's watch waits for a change. Each answer
	// tells the whole fleet that the copy is recent.
	WatchWait = 1200 * time.Millisecond
	// StaleAfter is the age of the copy from which another agent reads in place
	// of the reader: its wait, and what a slow platform takes to answer.
	StaleAfter = 1500 * time.Millisecond
	// takeoverStep spreads that over time by an agent's rank.
	takeoverStep = 100 * time.Millisecond
	// maxTakeoverRank bounds how long the last in the order waits.
	maxTakeoverRank = 6
	// minReadInterval is the least time between the starts of two calls, so
	// that changes in quick succession share a call.
	minReadInterval = 150 * time.Millisecond
	// Bounds of the pause after a call that failed. Readers and seeds look often,
	// since the others hear of the platform's return from them.
	minBackoff       = 150 * time.Millisecond
	minOtherBackoff  = 800 * time.Millisecond
	maxSeedBackoff   = 250 * time.Millisecond // of a seed without a copy
	maxReaderBackoff = 1200 * time.Millisecond
	maxOtherBackoff  = 5 * time.Second
	// seedInterval is how often a process without a copy asks the next seed to
	// tell it once it has one. Each seed is asked again within subscriptionTime.
	seedInterval = 600 * time.Millisecond
	// pullTimeout is when an exchange with a peer that has not ended no longer counts.
	pullTimeout = 400 * time.Millisecond
	// subscribeInterval is how often a balancer asks agents for news.
	subscribeInterval = time.Second
	// subscriptionTime is how long that lasts.
	subscriptionTime = 2500 * time.Millisecond
	// viewInterval is how often removed upstreams are looked at again.
	viewInterval = time.Second
)

const (
	// Fanout is how many agents a process passes news on to. On average one of
	// 400 is missed, and hears with the next beacon that it lacks something.
	Fanout = 6
	// subscribeCount is how many agents a balancer asks for news.
	subscribeCount = 3
	// maxNews bounds the items that ride on a beacon. A peer that lacks more
	// asks for it.
	maxNews = 12
	// maxSeen bounds the remembered beacons.
	maxSeen = 512
)

// Beacon tells how recent the copy of a reader is, and its newest changes.
type Beacon struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Reader   netip.Addr
	// Number tells the beacons of a reader apart.
	Number   uint64
	Revision uint64
	// Age is how old the reader's last answer was when the beacon left.
	Age time.Duration
	// Since is the revision from which News is all that has changed.
	Since uint64
	News  []Item
}

// Message is what a control datagram carries. Parts that are not used are nil.
type Message struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Beacon      *Beacon
	IsSubscribe bool
}

// PullRequest asks a peer for all since a revision.
type PullRequest struct {
	Since uint64
}

// PullReply answers it.
type PullReply struct {
	Revision uint64
	IsWhole  bool
	Items    []Item
	// Age is how old the copy is, negative if there is none.
	Age time.Duration
}

// Send is a message to send to a peer.
type Send struct {
	To      netip.Addr
	Message *Message
}

// Output is what follows from an input.
type Output struct {
	Sends []Send
	// Pulls names peers to ask for what they have.
	Pulls []netip.Addr
	// HasNews says that the view has changed.
	HasNews bool
}

// Read says what to ask the platform next.
type Read struct {
	// IsLoad asks for everything instead of the changes.
	IsLoad bool
	Since  uint64
	Wait   time.Duration
}

// Machine is the state of the copy in one process. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Self netip.Addr
	// Upstream is the address of the upstream beside an agent. It is not valid
	// in a balancer.
	Upstream netip.AddrPort
	// Seeds are asked to tell of their copy while there is none here.
	Seeds []netip.Addr
	Rand  *rand.Rand

	replica   replica
	isLoaded  bool
	asOf      time.Time // the copy held everything then
	number    uint64
	isReading bool
	mustLoad  bool
	lastRead  time.Time
	backoff   time.Duration
	readAfter time.Time
	pulling   time.Time
	// pending is the beacon that led to the pull under way.
	pending     *Beacon
	pendingFrom netip.Addr
	seen        map[seenBeacon]bool
	seenOrder   []seenBeacon
	subs        map[netip.Addr]time.Time
	subscribed  time.Time
	seedAsked   time.Time
	seedCount   int
	viewed      time.Time
	agents      []netip.Addr // those of the upstreams in the copy
	// rank is the place in the order in which agents become the reader.
	rank int
	// isDeputy is set while the agent reads in place of those before it.
	isDeputy bool
}

type seenBeacon struct {
	reader netip.Addr
	number uint64
}

// View returns the newest view.
func (m *Machine) View(now time.Time) *View { return m.replica.view(now) }

// IsLoaded reports whether there is a copy.
func (m *Machine) IsLoaded() bool { return m.isLoaded }

// AsOf returns when the copy held everything that the platform had.
func (m *Machine) AsOf() time.Time { return m.asOf }

// NotePause takes note that the process stood still for a time that the steady
// clock has not counted: the copy is older by that.
func (m *Machine) NotePause(d time.Duration) { m.asOf = m.asOf.Add(-d) }

// Tick drives the machine. It is called several times a second.
func (m *Machine) Tick(now time.Time) (out Output) {
	if now.Sub(m.viewed) >= viewInterval {
		m.viewed = now
		out.HasNews = m.replica.forget(now) && m.isLoaded
	}
	if !m.isLoaded && len(m.Seeds) > 0 && now.Sub(m.seedAsked) >= seedInterval {
		m.seedAsked = now
		seed := m.Seeds[m.seedCount%len(m.Seeds)]
		m.seedCount++
		if seed != m.Self {
			out.Sends = append(out.Sends, Send{To: seed, Message: &Message{IsSubscribe: true}})
		}
	}
	if !m.Upstream.IsValid() && now.Sub(m.subscribed) >= subscribeInterval {
		m.subscribed = now
		for _, agent := range m.pick(subscribeCount) {
			out.Sends = append(out.Sends, Send{To: agent, Message: &Message{IsSubscribe: true}})
		}
	}
	return out
}

// NextRead returns the call to make at the platform now, if any. Its result
// goes to HandleRead.
func (m *Machine) NextRead(now time.Time) (r Read, found bool) {
	if m.isReading || now.Before(m.readAfter) || !m.shouldRead(now) {
		return r, false
	}
	m.isReading = true
	m.lastRead = now
	if !m.isLoaded || m.mustLoad {
		return Read{IsLoad: true}, true
	}
	if !m.IsReader() {
		return Read{Since: m.replica.revision, Wait: lookWait}, true
	}
	return Read{Since: m.replica.revision, Wait: WatchWait}, true
}

// lookWait is the wait of a look that is to catch up, the least there is.
const lookWait = time.Millisecond

// IsReader reports whether the agent watches the platform for all others: the
// first in the order, and one that has found those before it silent.
func (m *Machine) IsReader() bool {
	return m.isLoaded && m.Upstream.IsValid() && (m.rank == 0 || m.isDeputy)
}

func (m *Machine) shouldRead(now time.Time) bool {
	if !m.isLoaded || m.IsReader() {
		return true
	}
	patience := StaleAfter + time.Duration(min(m.rank, maxTakeoverRank))*takeoverStep
	if !m.Upstream.IsValid() {
		patience = StaleAfter + maxTakeoverRank*takeoverStep
	}
	return now.Sub(m.asOf) >= patience
}

// HandleRead takes the result of a call in.
func (m *Machine) HandleRead(now time.Time, read Read, c *jasminemoor.DirectoryChanges, err error) (out Output) {
	m.isReading = false
	if err != nil {
		least, most := m.backoffBounds()
		m.backoff = min(max(m.backoff*2, least), most)
		m.readAfter = now.Add(m.backoff/2 + time.Duration(m.Rand.Int64N(int64(m.backoff/2))))
		m.mustLoad = m.mustLoad || isHistoryGone(err)
		if isHistoryGone(err) {
			m.readAfter = now
		}
		return out
	}
	m.backoff = 0
	m.readAfter = m.lastRead.Add(minReadInterval)
	if c.Revision < m.replica.revision && !read.IsLoad {
		// A watch that was asked before a peer told of more.
		m.noteAsOf(now)
		return m.tell(now, nil, m.replica.revision)
	}
	if !read.IsLoad && read.Wait == lookWait {
		// Those before this agent were silent, and the platform answers here.
		m.isDeputy = m.Upstream.IsValid()
	}
	since := m.replica.revision
	news := m.replica.applyEntries(now, c, read.IsLoad)
	if read.IsLoad {
		m.mustLoad, m.isLoaded = false, true
	}
	m.noteAsOf(now)
	out = m.tell(now, news, since)
	out.HasNews = len(news) > 0 || read.IsLoad
	if out.HasNews {
		m.noteEntries()
	}
	return out
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

func (m *Machine) noteAsOf(asOf time.Time) {
	if asOf.After(m.asOf) {
		m.asOf = asOf
	}
}

// tell sends a beacon of this process's own.
func (m *Machine) tell(now time.Time, news []Item, since uint64) (out Output) {
	m.number++
	b := &Beacon{Reader: m.Self, Number: uint64(now.UnixMicro())<<8 | m.number&0xff, Revision: m.replica.revision, Since: since}
	if len(news) <= maxNews {
		b.News = news
	} else {
		b.Since = m.replica.revision
	}
	m.note(seenBeacon{reader: b.Reader, number: b.Number})
	m.pass(&out, now, b, netip.Addr{})
	return out
}

// Handle takes a message in.
func (m *Machine) Handle(now time.Time, from netip.Addr, message *Message) (out Output) {
	if message.IsSubscribe {
		if m.subs == nil {
			m.subs = make(map[netip.Addr]time.Time)
		}
		m.subs[from] = now
	}
	if message.Beacon != nil {
		m.handleBeacon(&out, now, from, message.Beacon)
	}
	return out
}

func (m *Machine) handleBeacon(out *Output, now time.Time, from netip.Addr, b *Beacon) {
	id := seenBeacon{reader: b.Reader, number: b.Number}
	if m.seen[id] || b.Reader == m.Self {
		return
	}
	m.note(id)
	if m.isDeputy && b.Age < StaleAfter && readerScore(b.Reader) > readerScore(m.Self) && slices.Contains(m.agents, b.Reader) {
		m.isDeputy = false
	}
	isKnown := m.isLoaded && b.Revision <= m.replica.revision
	canApply := m.isLoaded && b.Since <= m.replica.revision
	switch {
	case isKnown:
		m.noteAsOf(now.Add(-b.Age))
	case canApply:
		if m.replica.merge(now, b.News, b.Revision, false) {
			out.HasNews = true
			m.noteEntries()
		}
		m.noteAsOf(now.Add(-b.Age))
	case now.Sub(m.pulling) > pullTimeout:
		// It is passed on once this process can answer those that it reaches.
		m.pulling, m.pending, m.pendingFrom = now, b, from
		out.Pulls = append(out.Pulls, from)
		return
	}
	m.pass(out, now, b, from)
}

// CatchUp asks a peer whose copy is newer for what this one lacks, unless an
// exchange is under way.
func (m *Machine) CatchUp(now time.Time, peer netip.Addr) (out Output) {
	if now.Sub(m.pulling) > pullTimeout {
		m.pulling, m.pending = now, nil
		out.Pulls = append(out.Pulls, peer)
	}
	return out
}

func (m *Machine) note(id seenBeacon) {
	if m.seen == nil {
		m.seen = make(map[seenBeacon]bool)
	}
	m.seen[id] = true
	m.seenOrder = append(m.seenOrder, id)
	if len(m.seenOrder) > maxSeen {
		delete(m.seen, m.seenOrder[0])
		m.seenOrder = m.seenOrder[1:]
	}
}

// pass sends a beacon on: to a few agents, and to the balancers that asked.
func (m *Machine) pass(out *Output, now time.Time, b *Beacon, from netip.Addr) {
	message := &Message{Beacon: b}
	for _, agent := range m.pick(Fanout) {
		if agent != from && agent != b.Reader {
			out.Sends = append(out.Sends, Send{To: agent, Message: message})
		}
	}
	for sub, at := range m.subs {
		switch {
		case now.Sub(at) > subscriptionTime:
			delete(m.subs, sub)
		case sub != from:
			out.Sends = append(out.Sends, Send{To: sub, Message: message})
		}
	}
}

// HandlePullRequest answers a peer.
func (m *Machine) HandlePullRequest(now time.Time, r *PullRequest) (reply *PullReply) {
	if !m.isLoaded {
		return &PullReply{Age: -1}
	}
	items, isWhole := m.replica.delta(r.Since)
	return &PullReply{Revision: m.replica.revision, Items: items, IsWhole: isWhole || r.Since == 0, Age: now.Sub(m.asOf)}
}

// HandlePullReply takes a peer's answer in, or a nil one if none came.
func (m *Machine) HandlePullReply(now time.Time, since uint64, reply *PullReply) (out Output) {
	m.pulling = time.Time{}
	pending := m.pending
	m.pending = nil
	if reply == nil || reply.Age < 0 || reply.Revision < m.replica.revision || since > m.replica.revision {
		return out
	}
	isNew := m.replica.merge(now, reply.Items, reply.Revision, reply.IsWhole)
	m.isLoaded = true
	m.noteAsOf(now.Add(-reply.Age))
	if isNew {
		out.HasNews = true
		m.noteEntries()
	}
	if pending != nil {
		m.pass(&out, now, pending, m.pendingFrom)
	}
	return out
}

// Revision returns the revision up to which all is known.
func (m *Machine) Revision() uint64 { return m.replica.revision }

// noteEntries works out what follows from a changed list of upstreams.
func (m *Machine) noteEntries() {
	m.agents = m.agents[:0]
	for _, known := range m.replica.upstreams {
		if known.upstream == nil {
			continue
		}
		agent := known.upstream.Address.Addr()
		if agent != m.Self && !slices.Contains(m.agents, agent) {
			m.agents = append(m.agents, agent)
		}
	}
	slices.SortFunc(m.agents, netip.Addr.Compare)
	own := readerScore(m.Self)
	m.rank = 0
	for _, agent := range m.agents {
		if readerScore(agent) > own {
			m.rank++
		}
	}
}

func readerScore(addr netip.Addr) uint64 { return xxhash.Sum64String(addr.String()) }

// pick returns up to n agents at random.
func (m *Machine) pick(n int) []netip.Addr {
	if len(m.agents) <= n {
		return slices.Clone(m.agents)
	}
	picked := make([]netip.Addr, 0, n)
	for _, at := range m.Rand.Perm(len(m.agents))[:n] {
		picked = append(picked, m.agents[at])
	}
	return picked
}
