package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
)

// partyOf returns the party of a flow's requests.
func (a *Agent) partyOf(flow jasminemoor.FlowKey) (p jmoverload.Party) {
	p.Route = flow.Service()
	if account := a.Account(flow.Caller().Addr()); account != nil {
		p.Account = account.Name
	}
	return p
}

// Account returns the client account of a caller, nil if it has none.
func (a *Agent) Account(caller netip.Addr) *jasminemoor.ClientAccount {
	if a.queue.shares == nil {
		return nil
	}
	return a.queue.shares.Account(caller)
}

// recordAdmitted counts a request that has waited and is sent to the upstream.
func (a *Agent) recordAdmitted(now time.Time, r *request, answerTime time.Duration) {
	outcome := jmoverload.InTime
	if now.Add(answerTime).After(r.target) {
		outcome = jmoverload.Late
	}
	a.overload.Record(a.partyOf(r.flow), outcome)
}

// updateOverload reports the beginning and the end of an overload.
func (a *Agent) updateOverload(now time.Time) {
	change, episode := a.overload.Update(now, len(a.queue.requests))
	if change != jmoverload.None && a.OnOverload != nil {
		a.OnOverload(episode)
	}
}

// Waiting is how many requests of a party wait, and for how long the first of them has.
type Waiting struct {
	Requests int
	Longest  time.Duration
}

// Waiting returns the requests that wait, by party.
func (a *Agent) Waiting(now time.Time) (waiting map[jmoverload.Party]Waiting) {
	waiting = make(map[jmoverload.Party]Waiting)
	for _, r := range a.queue.requests {
		p := a.partyOf(r.flow)
		w := waiting[p]
		w.Requests++
		w.Longest = max(w.Longest, now.Sub(r.arrived))
		waiting[p] = w
	}
	return waiting
}

// Outcomes returns what became of the requests that have waited or were refused, by
// party. The map belongs to the agent.
func (a *Agent) Outcomes() map[jmoverload.Party]jmoverload.Tally { return a.overload.Totals() }

// IsOverloaded reports whether requests have waited without a gap for a while.
func (a *Agent) IsOverloaded() bool { return a.overload.IsOverload() }
