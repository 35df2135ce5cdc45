package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// reportInterval is the least time between two reports to a balancer that
	// sends new flows.
	reportInterval = 50 * time.Millisecond
	// idleReportInterval is the time between reports to one that sends others.
	idleReportInterval = 250 * time.Millisecond
	// balancerMemory is how long a balancer that sends nothing gets reports.
	balancerMemory = 1500 * time.Millisecond
	// idleReportRate bounds the reports in a second to balancers that send no new
	// flows, and idleReportBurst how many at once: with many balancers before an
	// agent these would be most of what it sends for control.
	idleReportRate  = 15
	idleReportBurst = 16
	// maxBalancers bounds the balancers that an agent knows, three times the users'
	// target: whoever reaches the port can name any as the origin of a packet.
	maxBalancers = 2048
)

// balancerState is what an agent knows of a balancer.
type balancerState struct {
	addr       netip.Addr
	dataCentre uint8 // code of its data centre
	heard      time.Time
	reported   time.Time
	isDue      bool // has sent a new flow since the last report
}

// Leave has the agent tell the balancers that it is about to end.
func (a *Agent) Leave(now time.Time) []Message {
	a.out = a.out[:0]
	a.isLeaving = true
	for i := range a.balancers {
		if now.Sub(a.balancers[i].heard) < balancerMemory*2 {
			a.report(now, &a.balancers[i])
		}
	}
	return a.out
}

// balancerOf returns the balancer that a flow's last packet came through, not
// valid if none is known.
func (a *Agent) balancerOf(f *flow) (addr netip.Addr) {
	if f.balancer == 0 {
		return addr
	}
	return a.balancers[f.balancer-1].addr
}

// noteBalancer takes note of the balancer that a packet came through.
func (a *Agent) noteBalancer(now time.Time, h *jmhop.Header) (at uint32) {
	at = a.indexOf(h.Origin)
	a.balancers[at].heard, a.balancers[at].dataCentre = now, h.DataCentre
	return at
}

func (a *Agent) indexOf(addr netip.Addr) (at uint32) {
	at, found := a.byAddr[addr]
	if !found {
		if a.byAddr == nil {
			a.byAddr = make(map[netip.Addr]uint32)
		}
		at = a.newBalancer()
		a.balancers[at] = balancerState{addr: addr}
		a.byAddr[addr] = at
	}
	return at
}

// newBalancer returns a free place among the balancers: where there is none, that
// of the one that was not heard for the longest. Flows that came through it learn
// of theirs with the next packet.
func (a *Agent) newBalancer() (at uint32) {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancerState{})
		return uint32(len(a.balancers) - 1)
	}
	for i := range a.balancers {
		if a.balancers[i].heard.Before(a.balancers[at].heard) {
			at = uint32(i)
		}
	}
	delete(a.byAddr, a.balancers[at].addr)
	return at
}

// reportRegularly reports to the balancers whose turn it is. Where there are
// many, those that send no new flows take turns.
func (a *Agent) reportRegularly(now time.Time) {
	first := a.nextReport
	for n := range a.balancers {
		at := (first + n) % len(a.balancers)
		b := &a.balancers[at]
		if now.Sub(b.heard) >= balancerMemory {
			continue
		}
		switch since := now.Sub(b.reported); {
		case b.isDue && since >= reportInterval:
			a.report(now, b)
		case since >= idleReportInterval && a.reports.take(now, 1, idleReportRate, idleReportBurst):
			a.nextReport = at + 1
			a.report(now, b)
		}
	}
}

// HandlePoll answers a balancer that asks for a sign of life.
func (a *Agent) HandlePoll(now time.Time, from netip.Addr) []Message {
	a.begin(now)
	at := a.indexOf(from)
	a.balancers[at].heard = now
	a.report(now, &a.balancers[at])
	return a.out
}

func (a *Agent) report(now time.Time, b *balancerState) {
	b.reported, b.isDue = now, false
	if !b.addr.IsValid() {
		return
	}
	r := &jmhop.Report{
		Incarnation: a.Incarnation,
		Waiting:     clampUint16(a.table.waiting + len(a.gate.held)),
		Flows:       clampUint16(a.table.longFlows(now)),
		Failures:    clampUint16(int(a.results.share(now) * perMille)),
	}
	if a.snapshot.View != nil {
		r.Revision = a.snapshot.Revision
	}
	switch {
	case a.isLeaving:
		r.State = jmhop.ReportLeaving
	case a.upstream.isDown || a.upstream.isSilent:
		r.State = jmhop.ReportStopped
	}
	a.out = append(a.out, Message{Kind: ToPeer, To: b.addr, Header: jmhop.Header{Kind: jmhop.KindReport, Revision: a.revision()}, Report: r})
}

const perMille = 1000

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

func (a *Agent) reportAll(now time.Time) {
	for i := range a.balancers {
		if now.Sub(a.balancers[i].heard) < balancerMemory {
			a.report(now, &a.balancers[i])
		}
	}
}
