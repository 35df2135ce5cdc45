package jmpass

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// An agent that has just started has no copy of the directory and can't tell whether a new
// flow is for its service: the balancer may still list the address as that of a former
// upstream. It keeps opening packets until it has a copy.

const (
	// openingWait is how long an opening packet is kept. After that its caller has repeated
	// it, and the balancer has sent the copy to another upstream.
	openingWait = 200 * time.Millisecond
	// maxKeptOpenings bounds the opening packets that are kept.
	maxKeptOpenings = 512
)

// keptOpening is an opening packet that came before the first copy of the directory.
type keptOpening struct {
	at     time.Time
	from   netip.Addr
	header jmhop.Header
	packet jasminemoor.Packet
	bytes  []byte
}

// knowsRoutes reports whether the agent has a copy of the directory with a configuration.
func (a *Agent) knowsRoutes() bool { return a.snapshot.View != nil && a.snapshot.Version != 0 }

// keepOpening keeps an opening packet, unless maxKeptOpenings are kept already.
func (a *Agent) keepOpening(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) {
	if len(a.openings) < maxKeptOpenings {
		a.openings = append(a.openings, keptOpening{at: now, from: from, header: *h, packet: *p, bytes: append([]byte{}, packet...)})
	}
}

// releaseOpenings decides on the opening packets that were kept, once there is a copy of the
// directory, and tells the balancers that the agent now takes new flows. It drops the packets
// that were kept for openingWait.
func (a *Agent) releaseOpenings(now time.Time) {
	a.openings = slices.DeleteFunc(a.openings, func(k keptOpening) bool { return now.Sub(k.at) >= openingWait })
	if !a.knowsRoutes() {
		return
	}
	if a.hasReportedStarting {
		a.hasReportedStarting = false
		a.sendReports(now)
	}
	for i := range a.openings {
		k := &a.openings[i]
		k.packet.Age += now.Sub(k.at)
		first := len(a.out)
		a.Counts[a.handleOpen(now, k.from, &k.header, &k.packet, k.bytes)]++
		for j := first; j < len(a.out); j++ {
			if m := &a.out[j]; m.Packet == nil && (m.Kind == ToUpstream || m.HasPacket) {
				m.Packet = k.bytes
			}
		}
	}
	a.openings = nil
}
