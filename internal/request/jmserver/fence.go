package jmserver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
)

// maxFencedAgents bounds the chain of agents that fence asks, each of which relayed
// the request to the next.
const maxFencedAgents = MaxHops + 1

// resolveAttempts fences the earlier attempts of a request, and returns true if it
// succeeds. The request is then pending in the ledger and may run; but if another
// attempt of it was recorded here and has not run, neither of the two can start
// any more. It returns false after it has answered the caller.
//
// Only the agents that the caller declares are asked, as no other agent can
// have received the request from it. This follows the declared dependencies of
// Lady, Kim and Noble, "Declared Causality in Wide-Area Replicated Storage".
func (v *Server) resolveAttempts(ctx context.Context, s *Stream) bool {
	if len(s.Header.Attempts) > MaxAttempts {
		v.refuse(s, "too many earlier attempts", 0)
		return false
	}
	ownFences := v.Ledger.Fences(s.Header.ID)
	others := v.otherAttempts(s.Header.Attempts)
	fences := iter.Map(others, func(at *jasminemoor.Identity) jasminemoor.Fence {
		return v.fence(ctx, *at, s.Header.ID)
	})
	if !v.checkFences(s, fences) {
		return false
	}
	verdict, err := v.beginRequest(s, ownFences)
	if err != nil {
		v.refuse(s, err.Error(), v.Gate.RetryAfter(ctx))
		return false
	}
	switch verdict {
	case jmledger.VerdictNew:
		return true
	case jmledger.VerdictFenced:
		v.refuse(s, reasonFenced, 0)
		return false
	case jmledger.VerdictKnown:
		return v.checkFences(s, []jasminemoor.Fence{v.fenceHere(ctx, s.Header.ID)})
	}
	return false
}

// beginRequest records the request in the ledger. A fence in this ledger lets the
// agent that set it run the request. A retry that names this agent among its
// attempts may lift the fence, because the attempts at the other agents have just
// been fenced themselves.
func (v *Server) beginRequest(s *Stream, ownFences int) (verdict jmledger.Verdict, err error) {
	if slices.Contains(s.Header.Attempts, v.Identity) {
		return v.Ledger.BeginRetry(s.Header.ID, ownFences)
	}
	return v.Ledger.Begin(s.Header.ID)
}

// otherAttempts returns the attempts at other agents, each once.
func (v *Server) otherAttempts(attempts []jasminemoor.Identity) (others []jasminemoor.Identity) {
	for _, at := range attempts {
		if at != v.Identity && !slices.Contains(others, at) {
			others = append(others, at)
		}
	}
	return others
}

// checkFences returns true if all earlier attempts are fenced. Otherwise it
// answers the caller, with the stored answer of an attempt that has run or with
// the outcome unknown.
func (v *Server) checkFences(s *Stream, fences []jasminemoor.Fence) bool {
	for _, f := range fences {
		if f.State == jasminemoor.FenceDone {
			v.sendStored(s, &f)
			return false
		}
	}
	for _, f := range fences {
		if f.State != jasminemoor.FenceFenced {
			v.Ledger.Abandon(s.Header.ID)
			v.answerUnknown(s, fmt.Sprintf("an earlier attempt is in state %d", f.State))
			return false
		}
	}
	v.Counters.Fenced.Add(uint64(len(fences)))
	return true
}

// sendStored answers with the stored answer of an earlier attempt.
func (v *Server) sendStored(s *Stream, f *jasminemoor.Fence) {
	v.Counters.Repeated.Add(1)
	w := &answerWriter{server: v, stream: s, ranAt: f.RanAt}
	if _, err := w.Write(f.Answer); err != nil {
		s.In.Abort()
		return
	}
	_ = s.In.CloseWrite()
}

// fenceHere fences a request in this agent's ledger, or, if this agent has relayed
// the request, at the agent that received it.
func (v *Server) fenceHere(ctx context.Context, id jasminemoor.RequestID) jasminemoor.Fence {
	f, err := v.Ledger.Fence(ctx, id, fenceWait(ctx))
	if err != nil {
		return jasminemoor.Fence{State: jasminemoor.FenceLost}
	}
	if f.State == jasminemoor.FenceRelayed {
		return v.fence(ctx, f.To, id)
	}
	f.RanAt = v.Identity
	return f
}

// fence asks the agent of an earlier attempt to fence the request, and then each
// agent that the request was relayed to from there. If asking one of them fails,
// the state is FenceLost, as it may have run the request.
func (v *Server) fence(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID) jasminemoor.Fence {
	for range maxFencedAgents {
		if at == v.Identity {
			return v.fenceRelayedBack(ctx, id)
		}
		f, err := v.fenceAt(ctx, at, id)
		if err != nil {
			v.Log.WithError(err).WithField("Agent", at.String()).Info("request: earlier attempt can't be fenced")
			return jasminemoor.Fence{State: jasminemoor.FenceLost}
		}
		if f.State != jasminemoor.FenceRelayed {
			f.RanAt = at
			return f
		}
		at = f.To
	}
	return jasminemoor.Fence{State: jasminemoor.FenceLost}
}

// fenceRetryInterval is the time between two attempts to open a link for a fence.
const fenceRetryInterval = 250 * time.Millisecond

// fenceAt asks one agent to fence the request. While no link to it opens, as between
// data centres that are cut off from each other, it tries again for as long as a fence
// may wait.
func (v *Server) fenceAt(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID) (f jasminemoor.Fence, err error) {
	end := time.Now().Add(fenceWait(ctx))
	for {
		f, err = v.Peers.Fence(ctx, at, id, fenceWait(ctx))
		if !errors.Is(err, jasminemoor.ErrNotSent) || time.Until(end) < fenceRetryInterval {
			return f, err
		}
		select {
		case <-ctx.Done():
			return f, err
		case <-time.After(fenceRetryInterval):
		}
	}
}

// fenceRelayedBack fences a request in this agent's ledger after another agent
// has said that it relayed the request here.
func (v *Server) fenceRelayedBack(ctx context.Context, id jasminemoor.RequestID) jasminemoor.Fence {
	f, err := v.Ledger.Fence(ctx, id, fenceWait(ctx))
	if err != nil || f.State == jasminemoor.FenceRelayed {
		return jasminemoor.Fence{State: jasminemoor.FenceLost}
	}
	f.RanAt = v.Identity
	return f
}

// fenceWait returns how long a fence may wait for a running request to end. It
// leaves a quarter of the remaining time for sending the answer to the caller.
func fenceWait(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return maxFenceWait
	}
	const answerShare = 4
	left := time.Until(deadline)
	return min(left-left/answerShare, maxFenceWait)
}
