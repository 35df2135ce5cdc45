package jmmember

import (
	"net/netip"
	"time"
)

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

// declareDead holds the members to be dead that have been suspect for
// SuspectTimeout.
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
