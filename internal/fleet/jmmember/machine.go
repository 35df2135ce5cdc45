package jmmember

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Timing of the probes.
const (
	Period         = time.Second
	DirectTimeout  = 300 * time.Millisecond // until helpers are asked
	SuspectTimeout = 4 * time.Second        // until a suspect is held to be dead
	// PauseLimit is the gap between two ticks that counts as a pause of the process.
	PauseLimit = 2 * time.Second
)

const (
	helperCount    = 3 // helpers that are asked to ping a silent member
	remoteInterval = 4 // one period in so many probes another data centre
	deadInterval   = 8 // one period in so many probes a dead member
	helperMemory   = 2 * time.Second

	// announceCount peers hear of a changed belief in each of announceRounds,
	// and announceInterval bounds what a storm of changes costs.
	announceCount    = 3
	announceRounds   = 2
	announceInterval = 500 * time.Millisecond
)

// Member is a process that the settings name.
type Member struct {
	Address    netip.AddrPort
	DataCentre string
}

// State is what one process believes of a member.
type State struct {
	Member
	Incarnation jasminemoor.Incarnation
	Liveness    Liveness
	IsLeaving   bool
}

// Machine is the state of the probing. One goroutine owns it; the exported
// fields are set before use.
type Machine struct {
	Self Member
	// Incarnation is that of this process.
	Incarnation jasminemoor.Incarnation
	Rand        *rand.Rand

	own      Update
	members  map[netip.AddrPort]*member
	suspects map[netip.AddrPort]*member // may hold some that are so no more
	local    ring
	remote   ring
	dead     ring
	rumors   rumorQueue
	probe    probe
	helping  map[uint32]helped
	sequence uint32
	periods  uint64
	lastTick time.Time
	// isStale is set after a pause until a peer has answered.
	isStale    bool
	changed    bool
	generation uint64
	// roundsLeft is above zero while a belief has changed that peers should hear of.
	roundsLeft   int
	lastAnnounce time.Time
}

type member struct {
	Member
	update       Update
	suspectSince time.Time
}

type probe struct {
	target      netip.AddrPort
	sequence    uint32
	sent        time.Time
	isAnswered  bool
	askedHelper bool
}

// helped is a ping that was sent for another member.
type helped struct {
	asker    netip.AddrPort
	sequence uint32
	sent     time.Time
}

// SetMembers replaces the list of members. What is believed of those that
// stay is kept; new ones are taken to be alive.
func (m *Machine) SetMembers(members []Member) {
	known := m.members
	if m.suspects == nil {
		m.suspects = make(map[netip.AddrPort]*member)
	}
	m.members = make(map[netip.AddrPort]*member, len(members))
	for _, each := range members {
		if each.Address == m.Self.Address {
			continue
		}
		kept := known[each.Address]
		if kept == nil {
			kept = &member{update: Update{Member: each.Address}}
		}
		kept.Member = each
		m.members[each.Address] = kept
	}
	m.rumors.retain(func(a netip.AddrPort) bool { return a == m.Self.Address || m.members[a] != nil })
	m.rebuildRings()
	m.noteChange()
}

func (m *Machine) noteChange() {
	m.changed = true
	m.generation++
}

func (m *Machine) rebuildRings() {
	m.local.reset()
	m.remote.reset()
	m.dead.reset()
	for addr, each := range m.members {
		switch {
		case each.update.Liveness == Dead:
			m.dead.add(addr)
		case each.DataCentre == m.Self.DataCentre:
			m.local.add(addr)
		default:
			m.remote.add(addr)
		}
	}
}

// Leave announces that this process takes no new work.
func (m *Machine) Leave() {
	m.own.IsLeaving = true
	m.raiseOwnVersion()
}

// Announce returns a packet that tells a member what is new, without a probe.
func (m *Machine) Announce(to netip.AddrPort) []Packet {
	return []Packet{m.packet(to, Message{Type: TypeAnnounce})}
}

// Tick drives the probing. It is called several times a period.
func (m *Machine) Tick(now time.Time) (out []Packet) {
	m.noticePause(now)
	m.lastTick = now
	m.buryOldSuspects(now)
	m.forgetHelped(now)
	return append(m.announceNews(now), m.driveProbe(now)...)
}

// announceNews tells a few peers of changed beliefs at once; probes alone
// would take much longer to carry them through a large fleet.
func (m *Machine) announceNews(now time.Time) (out []Packet) {
	if m.roundsLeft == 0 || now.Sub(m.lastAnnounce) < announceInterval {
		return nil
	}
	m.roundsLeft--
	m.lastAnnounce = now
	for _, peer := range m.Pick(announceCount) {
		out = append(out, m.Announce(peer)...)
	}
	return out
}

func (m *Machine) driveProbe(now time.Time) (out []Packet) {
	if m.probe.sent.IsZero() || now.Sub(m.probe.sent) >= Period {
		m.judgeProbe(now)
		return m.startProbe(now)
	}
	isOverdue := now.Sub(m.probe.sent) >= DirectTimeout
	if isOverdue && !m.probe.isAnswered && !m.probe.askedHelper {
		m.probe.askedHelper = true
		return m.askHelpers()
	}
	return nil
}

func (m *Machine) noticePause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < PauseLimit {
		return
	}
	m.isStale = true
	// The silence was this process's own, so nobody else is suspected for it.
	m.probe = probe{}
	for _, each := range m.suspects {
		each.suspectSince = now
	}
}

// IsStale reports whether the process was paused and has not heard from a
// peer since. It is never stale when it has no peers.
func (m *Machine) IsStale() bool { return m.isStale && len(m.members) > 0 }

func (m *Machine) judgeProbe(now time.Time) {
	if m.probe.sent.IsZero() || m.probe.isAnswered {
		return
	}
	each := m.members[m.probe.target]
	if each == nil || each.update.Liveness != Alive {
		return
	}
	suspicion := each.update
	suspicion.Liveness = Suspect
	m.apply(suspicion, now)
}

func (m *Machine) startProbe(now time.Time) (out []Packet) {
	m.periods++
	target, found := m.nextTarget()
	if !found {
		m.probe = probe{}
		return nil
	}
	m.sequence++
	m.probe = probe{target: target, sequence: m.sequence, sent: now}
	return []Packet{m.packet(target, Message{Type: TypePing, Sequence: m.sequence})}
}

func (m *Machine) nextTarget() (target netip.AddrPort, found bool) {
	order := []*ring{&m.local, &m.remote, &m.dead}
	switch {
	case m.periods%deadInterval == 0:
		order = []*ring{&m.dead, &m.local, &m.remote}
	case m.periods%remoteInterval == 0:
		order = []*ring{&m.remote, &m.local, &m.dead}
	}
	for _, r := range order {
		if target, found = r.next(m.Rand); found {
			return target, true
		}
	}
	return target, false
}

func (m *Machine) askHelpers() (out []Packet) {
	for range helperCount {
		helper, found := m.local.pick(m.Rand)
		if !found || helper == m.probe.target {
			helper, found = m.remote.pick(m.Rand)
		}
		if !found || helper == m.probe.target {
			continue
		}
		request := Message{Type: TypePingRequest, Sequence: m.probe.sequence, Target: m.probe.target}
		out = append(out, m.packet(helper, request))
	}
	return out
}

// Handle takes a message in and returns the answers.
func (m *Machine) Handle(now time.Time, from netip.AddrPort, message *Message) (out []Packet) {
	for _, u := range message.Updates {
		m.apply(u, now)
	}
	switch message.Type {
	case TypePing:
		return []Packet{m.packet(from, Message{Type: TypeAck, Sequence: message.Sequence})}
	case TypePingRequest:
		return m.help(now, from, message)
	case TypeAck:
		return m.handleAck(message)
	}
	return nil
}

func (m *Machine) help(now time.Time, from netip.AddrPort, message *Message) (out []Packet) {
	if m.members[message.Target] == nil {
		return nil
	}
	m.sequence++
	if m.helping == nil {
		m.helping = make(map[uint32]helped)
	}
	m.helping[m.sequence] = helped{asker: from, sequence: message.Sequence, sent: now}
	return []Packet{m.packet(message.Target, Message{Type: TypePing, Sequence: m.sequence})}
}

func (m *Machine) handleAck(message *Message) (out []Packet) {
	if h, found := m.helping[message.Sequence]; found {
		delete(m.helping, message.Sequence)
		return []Packet{m.packet(h.asker, Message{Type: TypeAck, Sequence: h.sequence})}
	}
	m.isStale = false
	if message.Sequence == m.probe.sequence {
		m.probe.isAnswered = true
	}
	return nil
}

func (m *Machine) forgetHelped(now time.Time) {
	for sequence, h := range m.helping {
		if now.Sub(h.sent) > helperMemory {
			delete(m.helping, sequence)
		}
	}
}

// Apply takes updates from another source than a message, as a full exchange.
func (m *Machine) Apply(now time.Time, updates []Update) {
	for _, u := range updates {
		m.apply(u, now)
	}
}

func (m *Machine) apply(u Update, now time.Time) {
	if u.Member == m.Self.Address {
		m.refute(u)
		return
	}
	each := m.members[u.Member]
	if each == nil || !u.overrules(&each.update) {
		return
	}
	known := each.update
	if u.Incarnation == 0 {
		u.Incarnation, u.Version = known.Incarnation, known.Version
	}
	each.update = u
	if u.Liveness == Suspect {
		each.suspectSince = now
		m.suspects[u.Member] = each
	}
	isNews := known.Liveness != u.Liveness || known.IsLeaving != u.IsLeaving
	if isNews {
		m.roundsLeft = announceRounds
	}
	// The first sign of a member that is alive anyway is worth no message; a
	// fleet that starts would be busy with these for minutes.
	if isNews || known.Incarnation != 0 {
		m.rumors.put(u)
	}
	m.noteChange()
	if (known.Liveness == Dead) != (u.Liveness == Dead) {
		m.rebuildRings()
	}
}

// refute answers what others believe of this process, if it is wrong.
func (m *Machine) refute(u Update) {
	if u.Incarnation > m.Incarnation {
		return
	}
	isWrong := u.Liveness != Alive || u.IsLeaving != m.own.IsLeaving
	if u.Incarnation == m.Incarnation && u.Version >= m.own.Version && isWrong {
		m.own.Version = u.Version
		m.raiseOwnVersion()
		return
	}
	if u.Incarnation < m.Incarnation {
		m.rumors.put(m.ownUpdate())
	}
}

func (m *Machine) raiseOwnVersion() {
	m.own.Version++
	m.rumors.put(m.ownUpdate())
}

func (m *Machine) ownUpdate() Update {
	return Update{
		Member:      m.Self.Address,
		Incarnation: m.Incarnation,
		Version:     m.own.Version,
		IsLeaving:   m.own.IsLeaving,
	}
}

func (m *Machine) buryOldSuspects(now time.Time) {
	for addr, each := range m.suspects {
		if each.update.Liveness != Suspect || m.members[addr] != each {
			delete(m.suspects, addr)
			continue
		}
		if now.Sub(each.suspectSince) < SuspectTimeout {
			continue
		}
		death := each.update
		death.Liveness = Dead
		m.apply(death, now)
	}
}

// packet adds the updates that a message carries along. The receiver always
// hears what is believed of itself, so that it can refute it, and who sends.
func (m *Machine) packet(to netip.AddrPort, message Message) Packet {
	message.Updates = append(message.Updates, m.ownUpdate())
	if each := m.members[to]; each != nil && each.update.Incarnation != 0 && each.update.Liveness != Alive {
		message.Updates = append(message.Updates, each.update)
	}
	message.Updates = m.rumors.appendTo(message.Updates, len(m.members))
	return Packet{To: to, Message: message}
}

// Generation grows with each change of a belief or of the list of members.
func (m *Machine) Generation() uint64 { return m.generation }

// TakeChanged reports whether a belief changed since the last call.
func (m *Machine) TakeChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// States returns what is believed of each member.
func (m *Machine) States() map[netip.AddrPort]State {
	states := make(map[netip.AddrPort]State, len(m.members))
	for addr, each := range m.members {
		states[addr] = State{
			Member:      each.Member,
			Incarnation: each.update.Incarnation,
			Liveness:    each.update.Liveness,
			IsLeaving:   each.update.IsLeaving,
		}
	}
	return states
}

// LivenessOf returns what is believed of a member; an unknown one is taken to be alive.
func (m *Machine) LivenessOf(addr netip.AddrPort) Liveness {
	if each := m.members[addr]; each != nil {
		return each.update.Liveness
	}
	return Alive
}

// Snapshot returns an update for this process and for each member that is not
// simply alive, for a full exchange.
func (m *Machine) Snapshot() []Update {
	updates := []Update{m.ownUpdate()}
	for _, each := range m.members {
		if each.update.Liveness != Alive || each.update.IsLeaving {
			updates = append(updates, each.update)
		}
	}
	return updates
}

// Pick returns up to n distinct members that are not dead, at random: one in
// remoteInterval from other data centres, beginning with one of those.
func (m *Machine) Pick(n int) (peers []netip.AddrPort) {
	seen := make(map[netip.AddrPort]bool)
	for i := range n * 2 {
		r := &m.local
		if i%remoteInterval == 0 || m.local.len() == 0 {
			r = &m.remote
		}
		addr, found := r.pick(m.Rand)
		if found && !seen[addr] && len(peers) < n {
			seen[addr] = true
			peers = append(peers, addr)
		}
	}
	return peers
}
