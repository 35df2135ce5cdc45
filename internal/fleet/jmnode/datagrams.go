package jmnode

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmspread"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	// ipAndUDPHeaderSize is counted for each datagram, in bytes.
	ipAndUDPHeaderSize = 28
	// leaveReceivers is how many members hear at once that this one leaves.
	leaveReceivers = 12
)

// ControlKeys returns the keys in force, the sending one first. There are none
// before the first settings, unless SeedKey is set.
func (n *Node) ControlKeys() (keys []jmdatagram.ControlKey) {
	if config := n.View().Config; config != nil {
		return config.Fleet.ControlKeys()
	}
	if n.SeedKey != nil {
		return []jmdatagram.ControlKey{*n.SeedKey}
	}
	return nil
}

// Receive takes a control datagram from the fleet socket. The datagram may be
// reused after the call.
func (n *Node) Receive(datagram []byte) {
	var message controlMessage
	if err := jmdatagram.UnmarshalControl(n.ControlKeys(), datagram, &message); err != nil {
		n.Counters.Dropped.Add(1)
		return
	}
	n.do(func(now time.Time) { n.handle(now, &message) })
}

func (n *Node) handle(now time.Time, message *controlMessage) {
	if message.Probe != nil {
		n.sendProbes(n.members.Handle(now, message.From, message.Probe))
	}
	if message.Load != nil {
		n.Loads.Put(*message.Load, now)
	}
	shouldPull := n.spread.HandleDigest(now, message.Digest)
	for _, rumor := range message.Rumors {
		shouldPull = n.spread.HandleRumor(now, rumor) || shouldPull
	}
	if shouldPull {
		n.pull(message.From)
	}
}

func (n *Node) sendProbes(packets []jmmember.Packet) {
	for _, p := range packets {
		n.sendControl(p.To, &controlMessage{Probe: &p.Message})
	}
}

// announceLeave tells a few members at once; the rest hear it from them.
func (n *Node) announceLeave() {
	for _, peer := range n.members.Pick(leaveReceivers) {
		n.sendProbes(n.members.Announce(peer))
	}
}

func (n *Node) pushRumors(news []jmspread.Rumor) {
	for _, peer := range n.members.Pick(jmspread.Fanout) {
		n.sendControl(peer, &controlMessage{Rumors: news})
	}
}

// sendLoad tells the load to a few peers of the same service, in turn.
func (n *Node) sendLoad(now time.Time) {
	n.loadSent = now
	config := n.view.Load().Config
	if n.OwnLoad == nil || config == nil {
		return
	}
	load := n.OwnLoad()
	service, _, found := config.ServiceOf(n.Identity.Agent)
	if load == nil || !found {
		return
	}
	load.Agent, load.Incarnation = n.Identity.Agent, n.Identity.Incarnation
	load.Sequence = uint64(now.UnixNano())
	load.Leaving = load.Leaving || n.isLeaving.Load()
	for _, at := range n.rng.Perm(len(service.Upstreams))[:min(loadReceivers+1, len(service.Upstreams))] {
		peer := service.Upstreams[at].Agent
		if peer != n.Identity.Agent {
			n.sendControl(peer, &controlMessage{Load: load})
		}
	}
}

func (n *Node) sendControl(to netip.AddrPort, message *controlMessage) {
	keys := n.ControlKeys()
	if len(keys) == 0 {
		return
	}
	message.From = n.Identity.Agent
	message.Digest = n.spread.Digest()
	datagram, err := jmdatagram.MarshalControl(keys[0], message)
	if err != nil {
		n.Counters.Dropped.Add(1)
		n.Log.WithError(err).Warn("control: message not sent")
		return
	}
	n.count(to, len(datagram)+ipAndUDPHeaderSize)
	n.Send(to, datagram)
}

func (n *Node) count(to netip.AddrPort, size int) {
	n.Counters.BytesSent.Add(uint64(size))
	state, found := n.view.Load().States[to]
	if found && state.DataCentre != n.DataCentre {
		n.Counters.BytesCrossing.Add(uint64(size))
	}
}
