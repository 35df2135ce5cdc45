package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// retryTime is how long a caller whose flow was reset may take to try again.
	// Callers were seen to wait for up to 110 ms.
	retryTime = 150 * time.Millisecond
	// maxRetries bounds the resets that are remembered of one caller's address.
	maxRetries = 16
	// maxRetriers bounds the callers' addresses with such resets.
	maxRetriers = 4096
	// maxGoneTold bounds the balancers that are told of one reset.
	maxGoneTold = 8
	// restartTime is how long after the start of an agent the packets of lost flows
	// are taken for repeated ones: callers repeat them after 200, 400 and 800 ms.
	restartTime = 800 * time.Millisecond
	// repeatedAge is how old the request in such a packet is taken to be. Callers
	// have repeated it after 200 or 600 ms.
	repeatedAge = 600 * time.Millisecond
)

// retry is a request whose flow was reset, and which its caller repeats on a
// new flow soon.
type retry struct {
	sent  time.Time // when its caller sent it first, as far as is known
	reset time.Time
}

// retries finds out how old the first request of a new flow is.
//
// It answers the load pattern after a failure of the power: the callers of all
// lost flows try again at once, on flows that look new. Their requests are late
// already, and must not go before those that can still be in time.
type retries struct {
	callers map[netip.Addr][]retry
}

// add takes note of a reset.
func (r *retries) add(now time.Time, caller netip.Addr, age time.Duration) {
	if r.callers == nil {
		r.callers = make(map[netip.Addr][]retry)
	}
	known := r.callers[caller]
	if len(known) >= maxRetries || known == nil && len(r.callers) >= maxRetriers {
		return
	}
	r.callers[caller] = append(known, retry{sent: now.Add(-age), reset: now})
}

// take returns the age of the request for which a caller opens a flow, 0 if no
// flow of the caller was reset a short time ago.
func (r *retries) take(now time.Time, caller netip.Addr) (age time.Duration) {
	known := r.callers[caller]
	for len(known) > 0 && now.Sub(known[0].reset) > retryTime {
		known = known[1:]
	}
	if len(known) > 0 {
		age = now.Sub(known[0].sent)
		known = known[1:]
	}
	if len(known) == 0 {
		delete(r.callers, caller)
	} else {
		r.callers[caller] = known
	}
	return age
}

// forget drops the resets whose callers have not come back.
func (r *retries) forget(now time.Time) {
	for caller, known := range r.callers {
		if now.Sub(known[len(known)-1].reset) > retryTime {
			delete(r.callers, caller)
		}
	}
}

// HandleGone takes an agent's word that it has reset a flow whose caller had
// sent a request of some age.
func (b *Balancer) HandleGone(now time.Time, from netip.Addr, flow jasminemoor.FlowKey, age time.Duration) {
	if !b.isKnown(from) {
		b.Counts[ReasonStranger]++
		return
	}
	b.retries.add(now, flow.Caller().Addr(), age)
}

// tellGone tells balancers that a flow was reset whose caller has sent a
// request: those of the data centre that the flow came through.
func (a *Agent) tellGone(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, age time.Duration) {
	origin, found := a.byAddr[balancer]
	if !found {
		return
	}
	header := jmhop.Header{Kind: jmhop.KindGone, Origin: a.Self, Age: age, Revision: a.revision()}
	told := 0
	for i := range a.balancers {
		b := &a.balancers[i]
		if b.dataCentre != a.balancers[origin].dataCentre || now.Sub(b.heard) >= balancerMemory {
			continue
		}
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: b.addr, Header: header})
		if told++; told == maxGoneTold {
			return
		}
	}
}

// ageOfLost returns how old a request is whose flow nobody holds, given how long
// the agent has looked for it.
func (a *Agent) ageOfLost(now time.Time, searched time.Duration) time.Duration {
	if now.Sub(a.started)-searched < restartTime {
		return max(repeatedAge, searched)
	}
	return searched
}

// dataCentreOf returns the code of a balancer's data centre, 0 if it is not known.
func (a *Agent) dataCentreOf(balancer netip.Addr) uint8 {
	at, found := a.byAddr[balancer]
	if !found {
		return 0
	}
	return a.balancers[at].dataCentre
}
