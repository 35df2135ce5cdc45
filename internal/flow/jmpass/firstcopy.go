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
// upstream. It keeps opening packets until it has a copy, as it does if only the sender's newer
// copy may have a route for its service.

const (
	// openingWait is how long an opening packet is kept. After that its caller has repeated
	// it, and the balancer has sent the copy to another upstream.
	openingWait = 200 * time.Millisecond
	// maxKeptOpenings bounds the opening packets that are kept.
	maxKeptOpenings = 512
)

// keptOpening is an opening packet that waits for a copy of the directory.
type keptOpening struct {
	at     time.Time
	from   netip.Addr
	header jmhop.Header
	packet jasminemoor.Packet
	bytes  []byte
}

// knowsRoutes reports whether the agent has a copy of the directory with a configuration.
func (a *Agent) knowsRoutes() bool { return a.snapshot.View != nil && a.snapshot.Version != 0 }

// waitReason returns why an opening packet can't be decided on yet: by the present copy of the
// directory, while another one is about to come, or without the service of the upstream. It
// returns ReasonNone if the packet can be decided on.
func (a *Agent) waitReason(h *jmhop.Header, p *jasminemoor.Packet) Reason {
	if !a.knowsRoutes() {
		return ReasonNoView
	}
	if a.upstream.closedSince.IsZero() && !a.isServiceKnown() {
		return ReasonServiceUnknown
	}
	route := a.snapshot.Routes[p.Destination]
	if (route == nil || !route.Allows(a.Service)) && h.IsAhead(a.revision()) {
		return ReasonNoView
	}
	return ReasonNone
}

// keepOpening keeps an opening packet, unless maxKeptOpenings are kept already.
func (a *Agent) keepOpening(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) {
	if len(a.openings) < maxKeptOpenings {
		a.openings = append(a.openings, keptOpening{at: now, from: from, header: *h, packet: *p, bytes: append([]byte{}, packet...)})
	}
}

// releaseOpenings decides on the opening packets that were kept, as far as the copy of the
// directory now allows, and drops those that were kept for openingWait. With the first copy it
// tells the balancers that the agent takes new flows.
func (a *Agent) releaseOpenings(now time.Time) {
	if a.hasReportedStarting && a.knowsRoutes() {
		a.hasReportedStarting = false
		a.sendReports(now)
	}
	a.openings = slices.DeleteFunc(a.openings, func(k keptOpening) bool {
		if now.Sub(k.at) >= openingWait {
			return true
		}
		if a.waitReason(&k.header, &k.packet) != ReasonNone {
			return false
		}
		a.releaseOpening(now, &k)
		return true
	})
}

func (a *Agent) releaseOpening(now time.Time, k *keptOpening) {
	k.packet.Age += now.Sub(k.at)
	first := len(a.out)
	reason := a.handleOpen(now, k.from, &k.header, &k.packet, k.bytes)
	a.Counts[reason]++
	for i := first; i < len(a.out); i++ {
		if m := &a.out[i]; m.Packet == nil && (m.Kind == ToUpstream || m.HasPacket) {
			m.Packet = k.bytes
		}
	}
	if a.OnRelease == nil {
		return
	}
	m := (*Message)(nil)
	if len(a.out) > first {
		m = &a.out[len(a.out)-1]
	}
	a.OnRelease(now, reason, &k.packet, k.bytes, m)
}
