package jmmember

import (
	"net/netip"
	"time"
)

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
