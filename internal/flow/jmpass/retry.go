package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// retryWindow is how long after a reset a caller's new flow counts as its retry.
	// Callers wait for up to 110 ms before a retry.
	retryWindow = 150 * time.Millisecond
	// maxRetries bounds the stored resets of one caller's address.
	maxRetries = 16
	// maxRetryCallers bounds the callers' addresses with stored resets.
	maxRetryCallers = 4096
	// maxResetMessages bounds the balancers that one reset is announced to.
	maxResetMessages = 8
	// restartWindow is how long after an agent's start the packets of lost flows
	// count as retransmissions: callers retransmit them after delays of 200, 400 and
	// 800 ms.
	restartWindow = 800 * time.Millisecond
	// retransmittedAge is the assumed age of the request in such a packet. Its caller
	// first sent it 200 or 600 ms before.
	retransmittedAge = 600 * time.Millisecond
)

// retry is a request whose flow was reset, and which its caller is expected to retry
// on a new flow.
type retry struct {
	sent  time.Time // first transmission, as far as is known
	reset time.Time
}

// retries estimates the age of the first request of a new flow.
//
// After a power failure the callers of all lost flows retry at once, on flows that
// look new. Their requests are late already, and must not go before requests that
// can still meet their target.
type retries struct {
	callers map[netip.Addr][]retry
}

// add records the reset of a caller's flow, and the age of the flow's request.
func (r *retries) add(now time.Time, caller netip.Addr, age time.Duration) {
	if r.callers == nil {
		r.callers = make(map[netip.Addr][]retry)
	}
	known := r.callers[caller]
	if len(known) >= maxRetries || known == nil && len(r.callers) >= maxRetryCallers {
		return
	}
	r.callers[caller] = append(known, retry{sent: now.Add(-age), reset: now})
}

// claim removes a caller's oldest reset within retryWindow and returns the present
// age of its request, 0 if there is none.
func (r *retries) claim(now time.Time, caller netip.Addr) (age time.Duration) {
	known := r.callers[caller]
	for len(known) > 0 && now.Sub(known[0].reset) > retryWindow {
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

// expire removes the callers that have not retried within retryWindow.
func (r *retries) expire(now time.Time) {
	for caller, known := range r.callers {
		if now.Sub(known[len(known)-1].reset) > retryWindow {
			delete(r.callers, caller)
		}
	}
}

// HandleFlowReset handles an agent's message that it has reset a flow whose caller had
// sent a request. age is how old that request is.
func (b *Balancer) HandleFlowReset(now time.Time, from netip.Addr, flow jasminemoor.FlowKey, age time.Duration) {
	if !b.isKnown(from) {
		b.Counts[ReasonUnknownSender]++
		return
	}
	b.retries.add(now, flow.Caller().Addr(), age)
}

// sendFlowReset announces the reset of a flow whose caller has sent a request, to the
// balancers in the data centre of the balancer that the flow came through.
func (a *Agent) sendFlowReset(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, age time.Duration) {
	origin, found := a.byAddr[balancer]
	if !found {
		return
	}
	header := jmhop.Header{Kind: jmhop.KindFlowReset, Origin: a.Self, Age: age, Revision: a.revision()}
	sent := 0
	for i := range a.balancers {
		b := &a.balancers[i]
		if b.dataCentre != a.balancers[origin].dataCentre || now.Sub(b.lastSeen) >= balancerTTL {
			continue
		}
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: b.addr, Header: header})
		if sent++; sent == maxResetMessages {
			return
		}
	}
}

// lostRequestAge returns the age of a request whose flow has no holder, where
// searched is how long the agent has searched for one.
func (a *Agent) lostRequestAge(now time.Time, searched time.Duration) time.Duration {
	if now.Sub(a.started)-searched < restartWindow {
		return max(retransmittedAge, searched)
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
