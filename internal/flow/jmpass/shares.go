package jmpass

import (
	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
	"github.com/jasminemoor/jasminemoor/internal/load/jmshares"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// SetShares sets whether the upstream's work is divided fairly among routes and client
// accounts, and these accounts.
func (a *Agent) SetShares(isFair bool, accounts []jasminemoor.ClientAccount) {
	q := &a.queue
	if isFair && q.shares != nil {
		q.shares.SetAccounts(accounts)
		return
	}
	q.shares = nil
	if isFair {
		q.shares = &jmshares.Shares{}
		q.shares.SetAccounts(accounts)
	}
	for _, r := range q.requests {
		r.claim = q.join(r)
	}
}

// refuseOverLimit refuses a new flow of a client account that has as many requests
// waiting here as it may. Only the first copy of an opening packet is answered with a
// reset: another upstream may have accepted the flow since.
func (a *Agent) refuseOverLimit(key jasminemoor.FlowKey, h *jmhop.Header, p *jasminemoor.Packet) (isRefused bool) {
	if a.queue.shares == nil || a.queue.shares.HasRoom(key.Caller().Addr()) {
		return false
	}
	if isFirstCopy(h, p) {
		a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
		a.overload.Record(a.partyOf(key), jmoverload.Refused)
	}
	return true
}
