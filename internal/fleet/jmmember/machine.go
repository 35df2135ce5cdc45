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
	m.declareDead(now)
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
