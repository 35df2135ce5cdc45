package jmnode

import (
	"context"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// ipAndUDPHeaderSize is counted for each datagram, in bytes.
const ipAndUDPHeaderSize = 28

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
func (n *Node) Receive(ctx context.Context, datagram []byte) {
	message := &jmcontrol.Message{}
	if err := jmdatagram.UnmarshalControl(n.ControlKeys(), datagram, message); err != nil {
		n.Counters.Dropped.Add(1)
		return
	}
	n.do(func(now time.Time) { n.act(ctx, n.machine.Handle(now, message)) })
}

func (n *Node) sendControl(to netip.AddrPort, message *jmcontrol.Message) {
	keys := n.ControlKeys()
	if len(keys) == 0 {
		return
	}
	datagram, err := jmdatagram.MarshalControl(keys[0], message)
	if err != nil {
		n.Counters.Dropped.Add(1)
		n.Log.WithError(err).Warn("control: message not sent")
		return
	}
	n.count(to, len(datagram)+ipAndUDPHeaderSize)
	if n.CanReach(to) {
		n.Send(to, datagram)
	}
}

func (n *Node) count(to netip.AddrPort, size int) {
	n.Counters.BytesSent.Add(uint64(size))
	state, found := n.view.Load().States[to]
	if found && state.DataCentre != n.DataCentre {
		n.Counters.BytesCrossing.Add(uint64(size))
	}
}
