package jmcontrol

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// confirmPeers is how many members must have the same settings for them to count as
	// recent while the platform does not answer.
	confirmPeers = 3
	// confirmInterval is the interval between exchanges with members for that.
	confirmInterval = 200 * time.Millisecond
)

// confirmation is whether the settings are known to be recent. A process gets its first ones
// from a single peer, which may have been cut off from all others for long.
type confirmation struct {
	isDone bool
	// isPlatformLost is set while the platform is not there to confirm them.
	isPlatformLost bool
	// peers are the members that have the settings with digest.
	peers        map[netip.AddrPort]bool
	digest       uint64
	lastExchange time.Time
}

// IsConfirmed reports whether the settings in force are known to have been recent at some time
// since the process started: the platform listed none that are newer or, while it did not
// answer, confirmPeers members had the same.
func (m *Machine) IsConfirmed() bool { return m.confirmation.isDone }

// ConfirmByPlatform records what the platform lists, after the subtrees that Needs named have
// been read.
func (m *Machine) ConfirmByPlatform(r jasminemoor.Revisions) {
	m.confirmation.isPlatformLost = false
	if m.config != nil && len(m.gossip.Needs(r)) == 0 {
		m.confirmation.isDone = true
	}
}

// RecordPlatformLoss records that there is no platform, or that it did not answer.
func (m *Machine) RecordPlatformLoss() {
	m.confirmation.isPlatformLost = true
	m.countPeers()
}

// confirmByPeer records the digest of a peer's settings.
func (m *Machine) confirmByPeer(peer netip.AddrPort, digest uint64) {
	c := &m.confirmation
	if !m.NeedsConfirmation || c.isDone || digest == 0 || digest != m.gossip.Digest() {
		return
	}
	if c.digest != digest {
		c.digest, c.peers = digest, make(map[netip.AddrPort]bool)
	}
	c.peers[peer] = true
	m.countPeers()
}

func (m *Machine) countPeers() {
	c := &m.confirmation
	if !c.isPlatformLost || m.config == nil || c.digest != m.gossip.Digest() {
		return
	}
	members, same := 0, 0
	for _, member := range membersOf(m.config) {
		if member.Address == m.Identity.Agent {
			continue
		}
		members++
		if c.peers[member.Address] {
			same++
		}
	}
	c.isDone = same > 0 && same >= min(confirmPeers, members)
}

// awaitsConfirmation reports whether the process can act on its settings once they are confirmed.
func (m *Machine) awaitsConfirmation() bool {
	if !m.NeedsConfirmation || m.confirmation.isDone || m.config == nil {
		return false
	}
	_, _, isListed := m.config.ServiceOf(m.Identity.Agent)
	return isListed
}

// tickConfirmation exchanges settings with a member that has not confirmed them.
func (m *Machine) tickConfirmation(out *Output, now time.Time) {
	c := &m.confirmation
	if !m.awaitsConfirmation() || now.Sub(c.lastExchange) < confirmInterval {
		return
	}
	c.lastExchange = now
	for _, peer := range m.members.Pick(confirmPeers + 1) {
		if !c.peers[peer] || c.digest != m.gossip.Digest() {
			out.Pulls = append(out.Pulls, peer)
			return
		}
	}
}
