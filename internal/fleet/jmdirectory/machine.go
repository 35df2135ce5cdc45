package jmdirectory

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
)

// Timing of the replication. Within a few seconds a change must be in force in
// all processes, and a reader that has failed must be replaced.
const (
	// WatchWait is how long the reader's watch waits for a change. Each answer
	// confirms to the whole fleet that the copy is current.
	WatchWait = 1200 * time.Millisecond
	// StaleAfter is the age of the copy from which another agent reads in place
	// of the reader: WatchWait, and the time that a slow platform takes to answer.
	StaleAfter = 1500 * time.Millisecond
	// takeoverDelay is the additional delay per rank, so that agents do not all
	// take over at once.
	takeoverDelay = 100 * time.Millisecond
	// maxTakeoverRank is the last rank whose agents read in place of the reader without
	// asking a peer first.
	maxTakeoverRank = 6
	// minReadInterval is the least time between the starts of two calls, so
	// that changes in quick succession share a call.
	minReadInterval = 150 * time.Millisecond
	// Bounds of the backoff after a failed call. Readers and processes without a copy
	// retry sooner, because other processes depend on readers and seeds once the
	// platform is back.
	minBackoff       = 150 * time.Millisecond
	minOtherBackoff  = 800 * time.Millisecond
	maxSeedBackoff   = 250 * time.Millisecond  // of a seed without a copy
	maxReaderBackoff = 1200 * time.Millisecond // also of other processes without a copy
	maxOtherBackoff  = 5 * time.Second
	// seedInterval is how often a process without a copy subscribes to the beacons
	// of the next seed. With up to three seeds, each subscription is renewed before
	// it ends.
	seedInterval = 600 * time.Millisecond
	// pullTimeout bounds how long an exchange in flight blocks the next one.
	pullTimeout = 400 * time.Millisecond
	// subscribeInterval is how often a balancer subscribes to agents' beacons.
	subscribeInterval = time.Second
	// subscriptionTime is how long a subscription lasts.
	subscriptionTime = 2500 * time.Millisecond
	// expireInterval is how often removed upstreams are checked for expiry.
	expireInterval = time.Second
)

const (
	// Fanout is how many agents a process forwards a beacon to. On average one
	// agent in 400 is missed; it detects the gap with the next beacon.
	Fanout = 6
	// subscribeCount is how many agents a balancer subscribes to at a time.
	subscribeCount = 3
	// maxServed bounds the subscribers that a beacon is sent to. Each may pull the changes.
	// At the start of a fleet all processes subscribe to the seeds, until they know agents.
	maxServed = 128
	// maxBeaconItems bounds the items in a beacon. A peer that lacks more pulls them.
	maxBeaconItems = 12
	// maxSeenBeacons bounds the beacons remembered for deduplication.
	maxSeenBeacons = 512
)

// Beacon announces the age and revision of a reader's copy, with its newest
// changes.
type Beacon struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Reader   netip.Addr
	// Number is unique among the beacons of a reader.
	Number   uint64
	Revision jasminemoor.Revision
	// Age is how old the reader's last answer was when the beacon was sent. It is 0
	// in a beacon that is sent with the answer.
	Age time.Duration
	// Since is the revision after which News holds all changes.
	Since jasminemoor.Revision
	News  []Item
}

// Message is the content of a control datagram. Beacon is nil if there is none.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Beacon   *Beacon
	// IsSubscribe asks the receiver to send its beacons to the sender for
	// subscriptionTime.
	IsSubscribe bool
	// Endings are sent in messages of their own.
	Endings []Ending `msgpack:"-"`
	// HasCopy is set by the receiver if the sender has a copy of the directory, by the
	// header of its datagram. Earlier releases never show one.
	HasCopy bool `msgpack:"-"`
}

// PullRequest asks a peer for all changes since a revision, and all routes that have changed
// since a version.
type PullRequest struct {
	Since jasminemoor.Revision
	// HasVersion is not set by an earlier release, which gets the routes by their revisions.
	HasVersion bool
	Version    uint64
	// From is the process that asks; it is not set by an earlier release.
	From netip.Addr
}

// PullReply answers a PullRequest. IsWhole says that Items are the full copy.
type PullReply struct {
	Revision jasminemoor.Revision
	IsWhole  bool
	// Version is that of the peer's routes, 0 from an earlier release.
	Version uint64
	Items   []Item
	// Age is the age of the peer's copy, negative if it has none.
	Age     time.Duration
	Endings []Ending
	// RouteHistory is nil from a peer of an earlier release.
	RouteHistory *RouteHistory
	// RestoredFor is how long ago the platform was restored, 0 if the peer does not know.
	RestoredFor time.Duration
	// IsRefused says that the peer can't give its whole copy now, and AskInstead names some that
	// have got it. An earlier release takes that for a peer without a copy.
	IsRefused  bool
	AskInstead []netip.Addr
}

// Send is a message to send to a peer.
type Send struct {
	To      netip.Addr
	Message *Message
}

// Output is the actions that an input leads to.
type Output struct {
	Sends []Send
	// Pulls are the peers to send a PullRequest to.
	Pulls []netip.Addr
	// HasNewView says that the view has changed.
	HasNewView bool
}

// Read is the next call to make at the platform.
type Read struct {
	// IsLoad asks for all entries instead of the changes.
	IsLoad bool
	Since  jasminemoor.Revision
	Wait   time.Duration
}

// Machine replicates the directory in one process. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Self netip.Addr
	// Upstream is the address of the upstream beside an agent, and the zero value in
	// a balancer.
	Upstream netip.AddrPort
	// Seeds are the processes to subscribe to while there is no copy here.
	Seeds []netip.Addr
	Rand  *rand.Rand

	replica     replica
	isLoaded    bool
	beaconCount uint64
	isReading   bool
	mustLoad    bool
	lastRead    time.Time
	backoff     time.Duration
	nextReadAt  time.Time
	pullBegun   time.Time // when the exchange in flight began
	// pendingBeacon is the beacon that triggered the pull in flight.
	pendingBeacon   *Beacon
	pendingFrom     netip.Addr
	seen            map[seenBeacon]bool
	seenOrder       []seenBeacon
	subscribers     map[netip.Addr]*subscription
	offers          int // sent since offersSince, which is at most a second ago
	offersSince     time.Time
	lastOffer       time.Time // by tickOffers
	lastSubscribe   time.Time
	lastSeedRequest time.Time
	seedRequests    int
	lastExpire      time.Time
	agents          []netip.Addr // the other agents with an upstream in the copy
	// isListed is set if the own upstream is in the copy.
	isListed bool
	// rank is the number of agents with a higher readerScore. The agent of rank 0
	// is the reader.
	rank int
	// nextAsk is when a peer may be asked again, and askInterval the present delay.
	nextAsk     time.Time
	askInterval time.Duration
	unanswered  int // peers in turn that did not answer
	stale       int // peers in turn whose copy was stale as well
	// mayRead is set if the process may make one call to the platform because peers did
	// not help.
	mayRead       bool
	seedlessExtra time.Duration
	// historyAsked counts the peers that were asked for the history of the routes.
	historyAsked   int
	lastHistoryAsk time.Time
	// isDeputy is set while the agent reads in place of those ranked before it.
	isDeputy     bool
	announcement announcement
	copies       copyBudget
	sources      sources
}

type seenBeacon struct {
	reader netip.Addr
	number uint64
}

// View builds a view of the present copy.
func (m *Machine) View(now time.Time) *View { return m.replica.view(now) }

// IsLoaded reports whether there is a copy.
func (m *Machine) IsLoaded() bool { return m.isLoaded }

// AsOf returns the latest time at which the copy is known to have been complete.
func (m *Machine) AsOf() time.Time { return m.replica.asOf }

// HandleSuspension adds a suspension of the instance, which the monotonic clock has not
// counted, to the age of the copy.
func (m *Machine) HandleSuspension(d time.Duration) { m.replica.asOf = m.replica.asOf.Add(-d) }

// Tick expires removed upstreams and renews subscriptions. It is called several
// times a second.
func (m *Machine) Tick(now time.Time) (out Output) {
	if now.Sub(m.lastExpire) >= expireInterval {
		m.lastExpire = now
		m.expireSubscriptions(now)
		if out.HasNewView = m.replica.expire(now) && m.isLoaded; out.HasNewView {
			m.updateAgents(now)
		}
	}
	if peer, found := m.peerToAsk(now); found {
		out.Pulls = append(out.Pulls, peer)
	}
	if peer, found := m.historyPeer(now); found {
		out.Pulls = append(out.Pulls, peer)
	}
	if !m.hasAgents() && len(m.Seeds) > 0 && now.Sub(m.lastSeedRequest) >= seedInterval {
		if m.lastSeedRequest.IsZero() {
			// All processes of a fleet may start at once.
			m.seedRequests = m.Rand.IntN(len(m.Seeds))
		}
		m.lastSeedRequest = now
		seed := m.Seeds[m.seedRequests%len(m.Seeds)]
		m.seedRequests++
		if seed != m.Self {
			out.Sends = append(out.Sends, Send{To: seed, Message: &Message{IsSubscribe: true}})
		}
	}
	if !m.Upstream.IsValid() && now.Sub(m.lastSubscribe) >= subscribeInterval {
		m.lastSubscribe = now
		for _, agent := range m.pickAgents(subscribeCount) {
			out.Sends = append(out.Sends, Send{To: agent, Message: &Message{IsSubscribe: true}})
		}
	}
	m.tickEndings(&out, now)
	m.tickAnnouncement(&out, now)
	m.tickOffers(&out, now)
	m.tickSources(&out, now)
	return out
}

func (m *Machine) advanceAsOf(asOf time.Time) {
	if asOf.After(m.replica.asOf) {
		m.replica.asOf = asOf
	}
}

// sendBeacon sends a beacon with the changes after a revision. If there are more
// than maxBeaconItems, it has none of them.
func (m *Machine) sendBeacon(now time.Time, changes []Item, since jasminemoor.Revision) (out Output) {
	m.forward(&out, now, m.newBeacon(now, changes, since), netip.Addr{})
	return out
}

func (m *Machine) newBeacon(now time.Time, changes []Item, since jasminemoor.Revision) *Beacon {
	m.beaconCount++
	b := &Beacon{Reader: m.Self, Number: uint64(now.UnixMicro())<<8 | m.beaconCount&0xff, Revision: m.replica.revision, Since: since}
	if len(changes) <= maxBeaconItems {
		b.News = changes
	} else {
		b.Since = m.replica.revision
	}
	if m.replica.version > 0 && commonOf(b.News) == nil {
		b.News = append(slices.Clone(b.News), m.replica.announcement())
	}
	m.markSeen(seenBeacon{reader: b.Reader, number: b.Number})
	return b
}

// Handle handles a message of a peer.
func (m *Machine) Handle(now time.Time, from netip.Addr, message *Message) (out Output) {
	if message.IsSubscribe {
		m.renewSubscription(now, from, message.HasCopy)
		if !message.HasCopy {
			m.offerCopy(&out, now, from)
		}
	}
	if message.Beacon != nil {
		m.handleBeacon(&out, now, from, message.Beacon)
	}
	m.handleEndings(&out, now, message.Endings)
	return out
}

func (m *Machine) handleBeacon(out *Output, now time.Time, from netip.Addr, b *Beacon) {
	id := seenBeacon{reader: b.Reader, number: b.Number}
	if m.seen[id] || b.Reader == m.Self {
		return
	}
	m.markSeen(id)
	m.announcement.cancel()
	if m.isDeputy && b.Age < StaleAfter && readerScore(b.Reader) > readerScore(m.Self) && slices.Contains(m.agents, b.Reader) {
		m.isDeputy = false
	}
	if !m.mergeBeacon(out, now, b) {
		// The beacon is forwarded after the pull, when this process can answer
		// the pulls of those that receive it.
		if now.Sub(m.pullBegun) > pullTimeout {
			m.pullBegun, m.pendingBeacon, m.pendingFrom = now, b, from
			out.Pulls = append(out.Pulls, from)
			return
		}
		if !m.isLoaded && m.pendingBeacon == nil {
			m.pendingBeacon, m.pendingFrom = b, from
			return
		}
	}
	m.forward(out, now, b, from)
}

// mergeBeacon merges the changes in a beacon. It reports whether the copy is then as new as the
// sender's.
func (m *Machine) mergeBeacon(out *Output, now time.Time, b *Beacon) bool {
	r := &m.replica
	isCurrent := b.Revision <= r.revision
	canApply := b.Since <= r.revision && b.Revision.Era() == r.revision.Era()
	if !m.isLoaded || !isCurrent && !canApply || !r.canApplyRoutes(b.News) {
		return false
	}
	isNew := r.mergeRoutes(now, b.News, false)
	if !isCurrent {
		isNew = r.merge(now, b.News, b.Revision, false) || isNew
	}
	if isNew {
		out.HasNewView = true
		m.updateAgents(now)
	}
	m.advanceAsOf(now.Add(-b.Age))
	return true
}

// CatchUp pulls the missing changes from a peer with a newer copy, unless an
// exchange is in flight.
func (m *Machine) CatchUp(now time.Time, peer netip.Addr) (out Output) {
	if now.Sub(m.pullBegun) > pullTimeout {
		m.pullBegun, m.pendingBeacon = now, nil
		out.Pulls = append(out.Pulls, peer)
	}
	return out
}

func (m *Machine) markSeen(id seenBeacon) {
	if m.seen == nil {
		m.seen = make(map[seenBeacon]bool)
	}
	m.seen[id] = true
	m.seenOrder = append(m.seenOrder, id)
	if len(m.seenOrder) > maxSeenBeacons {
		delete(m.seen, m.seenOrder[0])
		m.seenOrder = m.seenOrder[1:]
	}
}

// forward sends a beacon to Fanout random agents and to at most maxServed subscribers,
// but not back to the peer that it came from.
func (m *Machine) forward(out *Output, now time.Time, b *Beacon, from netip.Addr) {
	message := &Message{Beacon: b}
	for _, agent := range m.pickAgents(Fanout) {
		if agent != from && agent != b.Reader {
			out.Sends = append(out.Sends, Send{To: agent, Message: message})
		}
	}
	for _, sub := range m.subscribersToServe(now) {
		if sub != from && m.shouldTell(now, sub) {
			out.Sends = append(out.Sends, Send{To: sub, Message: message})
		}
	}
}

// HandlePullRequest answers a peer's request for changes.
func (m *Machine) HandlePullRequest(now time.Time, r *PullRequest) (reply *PullReply) {
	if !m.isLoaded {
		return &PullReply{Age: -1}
	}
	if m.replica.lacksAll(r) {
		if !m.copies.take(now, m.replica.size()) {
			return m.copies.refuse(r.From)
		}
		m.copies.record(r.From)
	}
	items, isWhole := m.replica.delta(r)
	return &PullReply{
		Revision: m.replica.revision, Version: m.replica.version, Items: items, IsWhole: isWhole, Age: now.Sub(m.replica.asOf),
		Endings: m.replica.endings.list(now, maxEndings), RouteHistory: m.replica.routeHistory(now),
		RestoredFor: m.replica.restoredFor(now),
	}
}

// PullRequest returns the request for what this copy lacks.
func (m *Machine) PullRequest() *PullRequest {
	return &PullRequest{Since: m.replica.revision, HasVersion: true, Version: m.replica.version, From: m.Self}
}

// HandlePullReply handles a peer's reply to a request, or nil if the exchange failed.
func (m *Machine) HandlePullReply(now time.Time, request *PullRequest, reply *PullReply) (out Output) {
	m.pullBegun = time.Time{}
	pending := m.pendingBeacon
	m.pendingBeacon = nil
	defer func() { m.recordPeer(now, reply != nil) }()
	if reply != nil && reply.Age >= 0 {
		m.announcement.cancel()
	}
	if reply != nil {
		m.handleEndings(&out, now, reply.Endings)
	}
	if reply != nil && reply.IsRefused {
		m.handleRefusal(&out, now, reply, pending)
		return out
	}
	if reply == nil || reply.Age < 0 {
		return out
	}
	m.sources = sources{}
	isNew := m.mergeReply(now, request, reply)
	if isNew {
		out.HasNewView = true
		m.updateAgents(now)
	}
	if pending != nil {
		m.forward(&out, now, pending, m.pendingFrom)
	}
	return out
}

// mergeReply merges a peer's copy, or what of it is newer than this one, and reports whether
// that changed the view.
func (m *Machine) mergeReply(now time.Time, request *PullRequest, reply *PullReply) (isNew bool) {
	r := &m.replica
	r.init()
	ownSince, ownUntil, version := r.routesKnownSince, r.asOf, r.version
	if reply.IsWhole || request.Version == r.version {
		isNew = r.mergeRoutes(now, reply.Items, reply.IsWhole)
		r.recordMissed(now, version)
	}
	if reply.Revision < r.revision {
		return isNew
	}
	if reply.Revision > r.revision {
		m.mustLoad = false
	}
	isNew = r.merge(now, reply.Items, reply.Revision, reply.IsWhole) || isNew
	isNew = r.mergeRestore(now, reply.Revision, reply.RestoredFor) || isNew
	if reply.Version == 0 || reply.Version >= r.version {
		isNew = r.mergeRouteHistory(now, reply.RouteHistory, ownSince, ownUntil) || isNew
	}
	m.isLoaded = true
	m.advanceAsOf(now.Add(-reply.Age))
	return isNew
}

// Revision returns the revision up to which the copy is complete.
func (m *Machine) Revision() jasminemoor.Revision { return m.replica.revision }

// updateAgents recomputes the list of agents and this agent's rank. Agents whose entries
// have lapsed stay in it for as long as in views, since all may lapse in an outage of
// the platform's store.
func (m *Machine) updateAgents(now time.Time) {
	m.agents, m.isListed = m.agents[:0], false
	seen := make(map[netip.Addr]bool, len(m.replica.upstreams))
	for _, known := range m.replica.upstreams {
		u := m.replica.upstreamView(now, known)
		if u == nil || u.IsRemoved && u.State == jasminemoor.UpstreamLeaving {
			continue
		}
		agent := u.Address.Addr()
		if agent == m.Self {
			m.isListed = true
		} else if !seen[agent] {
			seen[agent] = true
			m.agents = append(m.agents, agent)
		}
	}
	slices.SortFunc(m.agents, netip.Addr.Compare)
	ownScore := readerScore(m.Self)
	m.rank = 0
	for _, agent := range m.agents {
		if readerScore(agent) > ownScore {
			m.rank++
		}
	}
}

// readerScore orders the agents for the role of the reader, alike in every process.
func readerScore(addr netip.Addr) uint64 { return xxhash.Sum64String(addr.String()) }

// pickAgents returns up to n agents at random.
func (m *Machine) pickAgents(n int) []netip.Addr {
	if len(m.agents) <= n {
		return slices.Clone(m.agents)
	}
	picked := make([]netip.Addr, 0, n)
	for _, at := range m.Rand.Perm(len(m.agents))[:n] {
		picked = append(picked, m.agents[at])
	}
	return picked
}
