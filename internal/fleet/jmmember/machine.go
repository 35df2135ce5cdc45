package jmmember

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Timing of the failure detector.
const (
	Period         = time.Second            // between the starts of two probes
	DirectTimeout  = 300 * time.Millisecond // from a ping until helpers are asked
	SuspectTimeout = 4 * time.Second        // from suspicion until a member is declared dead
	// PauseLimit is the gap between two ticks from which the process counts as paused.
	PauseLimit = 2 * time.Second
)

const (
	helperCount    = 3 // members that are asked to ping one that did not answer
	remoteInterval = 4 // one period in this many probes another data centre
	deadInterval   = 8 // one period in this many probes a dead member

	// indirectPingTimeout is how long a ping for another member may wait for its ack.
	indirectPingTimeout = 2 * time.Second

	// A changed state is announced to announceCount peers in each of announceRounds
	// rounds. announceInterval separates the rounds, which bounds the traffic when
	// many states change.
	announceCount    = 3
	announceRounds   = 2
	announceInterval = 500 * time.Millisecond
)

// Member is a process of the fleet, as listed in the settings.
type Member struct {
	Address    netip.AddrPort
	DataCentre string
}

// State is the state of a member as recorded by one process.
type State struct {
	Member
	Incarnation jasminemoor.Incarnation
	Liveness    Liveness
	IsLeaving   bool
}

// Machine is the state machine of the failure detector. One goroutine owns it; the
// exported fields are set before use.
type Machine struct {
	Self Member
	// Incarnation is that of this process.
	Incarnation jasminemoor.Incarnation
	Rand        *rand.Rand

	own           Update
	members       map[netip.AddrPort]*member
	suspects      map[netip.AddrPort]*member // may contain members that are no longer suspect
	local         ring
	remote        ring
	dead          ring
	rumors        rumorQueue
	probe         probe
	indirectPings map[uint32]indirectPing
	sequence      uint32
	periods       uint64
	lastTick      time.Time
	// isStale is set by a pause of the process and cleared by the next ack that is
	// not for an indirect ping.
	isStale    bool
	changed    bool
	generation uint64
	// announceRoundsLeft is the number of rounds in which changed states are still to
	// be announced.
	announceRoundsLeft int
	lastAnnounce       time.Time
}

type member struct {
	Member
	update       Update
	suspectSince time.Time
}

// SetMembers replaces the list of members. Those that stay keep their recorded
// state; new ones are assumed to be alive.
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
	m.markChanged()
}

func (m *Machine) markChanged() {
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

// Leave announces that this process is leaving and accepts no new work.
func (m *Machine) Leave() {
	m.own.IsLeaving = true
	m.raiseOwnVersion()
}

// Announce returns a packet that carries pending updates to a member without probing
// it.
func (m *Machine) Announce(to netip.AddrPort) []Packet {
	return []Packet{m.packet(to, Message{Type: TypeAnnounce})}
}

// Tick advances the failure detector and returns the packets to send. It is called
// several times a period.
func (m *Machine) Tick(now time.Time) (out []Packet) {
	m.detectPause(now)
	m.lastTick = now
	m.declareDead(now)
	m.expireIndirectPings(now)
	return append(m.announceChanges(now), m.advanceProbe(now)...)
}

// announceChanges sends changed states to a few peers at once. Updates carried by
// probes alone would take much longer to spread through a large fleet.
func (m *Machine) announceChanges(now time.Time) (out []Packet) {
	if m.announceRoundsLeft == 0 || now.Sub(m.lastAnnounce) < announceInterval {
		return nil
	}
	m.announceRoundsLeft--
	m.lastAnnounce = now
	for _, peer := range m.Pick(announceCount) {
		out = append(out, m.Announce(peer)...)
	}
	return out
}

// detectPause marks the process as stale after a gap of PauseLimit between two ticks.
func (m *Machine) detectPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < PauseLimit {
		return
	}
	m.isStale = true
	// Acks were missed because this process was paused, so its probe is dropped and
	// the timeouts of the suspects start again.
	m.probe = probe{}
	for _, each := range m.suspects {
		each.suspectSince = now
	}
}

// IsStale reports whether the process was paused and has received no ack for its
// own probes since. A process without peers is never stale.
func (m *Machine) IsStale() bool { return m.isStale && len(m.members) > 0 }

// Handle processes a received message and returns the packets to send in response.
func (m *Machine) Handle(now time.Time, from netip.AddrPort, message *Message) (out []Packet) {
	for _, u := range message.Updates {
		m.apply(u, now)
	}
	switch message.Type {
	case TypePing:
		return []Packet{m.packet(from, Message{Type: TypeAck, Sequence: message.Sequence})}
	case TypePingRequest:
		return m.handlePingRequest(now, from, message)
	case TypeAck:
		return m.handleAck(message)
	}
	return nil
}

// packet returns a packet with updates added to its message. The sender's own state
// is always among them. So is the state of a receiver that is recorded as suspect
// or dead and has a known incarnation, so that the receiver can refute it.
func (m *Machine) packet(to netip.AddrPort, message Message) Packet {
	message.Updates = append(message.Updates, m.ownUpdate())
	if each := m.members[to]; each != nil && each.update.Incarnation != 0 && each.update.Liveness != Alive {
		message.Updates = append(message.Updates, each.update)
	}
	message.Updates = m.rumors.appendTo(message.Updates, len(m.members))
	return Packet{To: to, Message: message}
}

// Generation returns a number that grows with each change of a member's state or of
// the list of members.
func (m *Machine) Generation() uint64 { return m.generation }

// TakeChanged reports whether a member's state or the list of members changed since
// the last call.
func (m *Machine) TakeChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Pick returns up to n distinct members that are not dead, at random. The first and
// about one in remoteInterval are from other data centres, if these have any.
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
