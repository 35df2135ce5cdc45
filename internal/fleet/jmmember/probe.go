package jmmember

import (
	"net/netip"
	"time"
)

// probe is the probe of the current period.
type probe struct {
	target       netip.AddrPort
	sequence     uint32
	sent         time.Time
	isAnswered   bool
	askedHelpers bool
}

// indirectPing is a ping that was sent on request of another member.
type indirectPing struct {
	requester netip.AddrPort
	sequence  uint32
	sent      time.Time
}

// advanceProbe starts a probe in each period, and asks helpers when its ping has not
// been answered within DirectTimeout.
func (m *Machine) advanceProbe(now time.Time) (out []Packet) {
	if m.probe.sent.IsZero() || now.Sub(m.probe.sent) >= Period {
		m.finishProbe(now)
		return m.startProbe(now)
	}
	isOverdue := now.Sub(m.probe.sent) >= DirectTimeout
	if isOverdue && !m.probe.isAnswered && !m.probe.askedHelpers {
		m.probe.askedHelpers = true
		return m.askHelpers()
	}
	return nil
}

// finishProbe marks the target of an unanswered probe as suspect.
func (m *Machine) finishProbe(now time.Time) {
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

// handlePingRequest pings a member on request of another.
func (m *Machine) handlePingRequest(now time.Time, from netip.AddrPort, message *Message) (out []Packet) {
	if m.members[message.Target] == nil {
		return nil
	}
	m.sequence++
	if m.indirectPings == nil {
		m.indirectPings = make(map[uint32]indirectPing)
	}
	m.indirectPings[m.sequence] = indirectPing{requester: from, sequence: message.Sequence, sent: now}
	return []Packet{m.packet(message.Target, Message{Type: TypePing, Sequence: m.sequence})}
}

func (m *Machine) handleAck(message *Message) (out []Packet) {
	if p, found := m.indirectPings[message.Sequence]; found {
		delete(m.indirectPings, message.Sequence)
		return []Packet{m.packet(p.requester, Message{Type: TypeAck, Sequence: p.sequence})}
	}
	m.isStale = false
	if message.Sequence == m.probe.sequence {
		m.probe.isAnswered = true
	}
	return nil
}

func (m *Machine) expireIndirectPings(now time.Time) {
	for sequence, p := range m.indirectPings {
		if now.Sub(p.sent) > indirectPingTimeout {
			delete(m.indirectPings, sequence)
		}
	}
}
