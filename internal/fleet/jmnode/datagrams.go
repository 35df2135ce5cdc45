package jmnode

import (
	"context"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// ipAndUDPHeaderSize is the size of the headers added to each datagram, in bytes.
const ipAndUDPHeaderSize = 28

// ControlKeys returns the control keys in force, the one for sending first. Before
// the first settings there is only SeedKey, if that is set.
func (n *Node) ControlKeys() (keys []jmdatagram.ControlKey) {
	if config := n.View().Config; config != nil {
		return config.Fleet.ControlKeys()
	}
	if n.SeedKey != nil {
		return []jmdatagram.ControlKey{*n.SeedKey}
	}
	return nil
}

// Receive handles a control datagram from the fleet socket. It does not retain
// the datagram.
func (n *Node) Receive(ctx context.Context, datagram []byte) {
	message := &jmcontrol.Message{}
	if err := jmdatagram.UnmarshalControl(n.ControlKeys(), datagram, message); err != nil {
		n.Counters.Dropped.Add(1)
		return
	}
	n.enqueue(func(now time.Time) { n.perform(ctx, n.machine.Handle(now, message)) })
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
	n.countSent(to, len(datagram)+ipAndUDPHeaderSize)
	if n.CanReach(to) {
		n.Send(to, datagram)
	}
}

func (n *Node) countSent(to netip.AddrPort, size int) {
	n.Counters.BytesSent.Add(uint64(size))
	state, found := n.view.Load().States[to]
	if found && state.DataCentre != n.DataCentre {
		n.Counters.BytesCrossing.Add(uint64(size))
	}
}
