package jmmember

import (
	"net/netip"
	"time"
)

// Apply applies updates that arrived outside of a probe message, such as those of a
// full exchange.
func (m *Machine) Apply(now time.Time, updates []Update) {
	for _, u := range updates {
		m.apply(u, now)
	}
}

// apply stores an update that overrides the recorded one, and queues it for gossip.
// An update that contradicts this process's own state is refuted.
func (m *Machine) apply(u Update, now time.Time) {
	if u.Member == m.Self.Address {
		m.refute(u)
		return
	}
	each := m.members[u.Member]
	if each == nil || !u.overrides(&each.update) {
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
	isStateChange := known.Liveness != u.Liveness || known.IsLeaving != u.IsLeaving
	if isStateChange {
		m.announceRoundsLeft = announceRounds
	}
	// The first update of a member that was assumed to be alive is not gossiped,
	// as a starting fleet would spend minutes on these.
	if isStateChange || known.Incarnation != 0 {
		m.rumors.put(u)
	}
	m.markChanged()
	if (known.Liveness == Dead) != (u.Liveness == Dead) {
		m.rebuildRings()
	}
}

// refute gossips this process's own state if an update about it contradicts that
// state or is from an earlier incarnation. A contradiction is overridden by a higher
// version.
func (m *Machine) refute(u Update) {
	if u.Incarnation > m.Incarnation {
		return
	}
	contradictsOwn := u.Liveness != Alive || u.IsLeaving != m.own.IsLeaving
	if u.Incarnation == m.Incarnation && u.Version >= m.own.Version && contradictsOwn {
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

// declareDead marks the members as dead that have been suspect for SuspectTimeout.
func (m *Machine) declareDead(now time.Time) {
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

// States returns the recorded state of each member.
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

// LivenessOf returns the recorded liveness of a member; an unknown member counts as
// alive.
func (m *Machine) LivenessOf(addr netip.AddrPort) Liveness {
	if each := m.members[addr]; each != nil {
		return each.update.Liveness
	}
	return Alive
}

// Snapshot returns the updates for a full exchange: one for this process and one
// for each member that is suspect, dead or leaving.
func (m *Machine) Snapshot() []Update {
	updates := []Update{m.ownUpdate()}
	for _, each := range m.members {
		if each.update.Liveness != Alive || each.update.IsLeaving {
			updates = append(updates, each.update)
		}
	}
	return updates
}
