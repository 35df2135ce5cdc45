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
	// idleReportInterval is the least time between two reports to a balancer that
	// sends only packets of open flows.
	idleReportInterval = 250 * time.Millisecond
	// balancerTTL is how long a balancer gets reports after its last packet.
	balancerTTL = 1500 * time.Millisecond
	// idleReportRate bounds the reports per second to balancers that send no new
	// flows, and idleReportBurst the size of a burst. With many balancers before an
	// agent, these reports would otherwise be most of its control traffic.
	idleReportRate  = 15
	idleReportBurst = 16
	// maxBalancers bounds the balancers that an agent stores, since any process that
	// reaches the port can put any address into a header as the origin. It is three
	// times the number of balancers that the system is meant for.
	maxBalancers = 2048
)

// balancerState is an agent's state of a balancer.
type balancerState struct {
	addr       netip.Addr
	dataCentre uint8 // code of its data centre
	lastSeen   time.Time
	reported   time.Time
	isDue      bool // set if a new flow came since the last report
}

// Leave marks the agent as leaving and reports that to the balancers.
func (a *Agent) Leave(now time.Time) []Message {
	a.out = a.out[:0]
	a.isLeaving = true
	for i := range a.balancers {
		if now.Sub(a.balancers[i].lastSeen) < balancerTTL*2 {
			a.sendReport(now, &a.balancers[i])
		}
	}
	return a.out
}

// balancerOf returns the address of the balancer that a flow's last packet came
// through, not valid if none is known.
func (a *Agent) balancerOf(f *flow) (addr netip.Addr) {
	if f.balancer == 0 {
		return addr
	}
	return a.balancers[f.balancer-1].addr
}

// recordBalancer records the balancer that a packet came through, and returns its
// index.
func (a *Agent) recordBalancer(now time.Time, h *jmhop.Header) (at uint32) {
	at = a.indexOf(h.Origin)
	a.balancers[at].lastSeen, a.balancers[at].dataCentre = now, h.DataCentre
	return at
}

// indexOf returns the index of a balancer, which it adds if it is new.
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

// newBalancer returns a free index among the balancers. If there is none, it evicts
// the balancer that has been silent for the longest. Until their next packet, the flows
// that came through the evicted one refer to the new one.
func (a *Agent) newBalancer() (at uint32) {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancerState{})
		return uint32(len(a.balancers) - 1)
	}
	for i := range a.balancers {
		if a.balancers[i].lastSeen.Before(a.balancers[at].lastSeen) {
			at = uint32(i)
		}
	}
	delete(a.byAddr, a.balancers[at].addr)
	return at
}

// sendDueReports sends the reports that are due. Balancers that send no new flows
// get theirs in round-robin order, within reportBudget.
func (a *Agent) sendDueReports(now time.Time) {
	first := a.nextReport
	for n := range a.balancers {
		at := (first + n) % len(a.balancers)
		b := &a.balancers[at]
		if now.Sub(b.lastSeen) >= balancerTTL {
			continue
		}
		switch since := now.Sub(b.reported); {
		case b.isDue && since >= reportInterval:
			a.sendReport(now, b)
		case since >= idleReportInterval && a.reportBudget.allow(now, 1, idleReportRate, idleReportBurst):
			a.nextReport = at + 1
			a.sendReport(now, b)
		}
	}
}

// HandlePoll answers a balancer's poll with a report.
func (a *Agent) HandlePoll(now time.Time, from netip.Addr) []Message {
	a.begin(now)
	at := a.indexOf(from)
	a.balancers[at].lastSeen = now
	a.sendReport(now, &a.balancers[at])
	return a.out
}

func (a *Agent) sendReport(now time.Time, b *balancerState) {
	b.reported, b.isDue = now, false
	if !b.addr.IsValid() {
		return
	}
	r := &jmhop.Report{
		Incarnation: a.Incarnation,
		Waiting:     clampUint16(a.table.inFlight + len(a.queue.requests)),
		Flows:       clampUint16(a.table.longLivedFlows(now)),
		Failures:    clampUint16(int(a.failureRate.value(now) * perMille)),
		Room:        a.coldRoom(now),
		Wait:        a.wait(now),
		Work:        a.table.capacity.estimate.Mean(now),
	}
	if a.snapshot.View != nil {
		r.Revision = a.snapshot.Revision
	}
	switch {
	case a.isLeaving:
		r.State = jmhop.ReportLeaving
	case !a.upstream.takesFlows():
		r.State = jmhop.ReportUpstreamDown
	case !a.knowsRoutes():
		r.State, a.hasReportedStarting = jmhop.ReportStarting, true
	}
	a.out = append(a.out, Message{Kind: ToPeer, To: b.addr, Header: jmhop.Header{Kind: jmhop.KindReport, Revision: a.revision()}, Report: r})
}

const perMille = 1000

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// sendReports reports to all balancers that have sent a packet recently.
func (a *Agent) sendReports(now time.Time) {
	for i := range a.balancers {
		if now.Sub(a.balancers[i].lastSeen) < balancerTTL {
			a.sendReport(now, &a.balancers[i])
		}
	}
}
