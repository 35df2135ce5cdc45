package jmserver

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
)

// maxPassOns is how many agents a fence follows a passed-on request through.
const maxPassOns = MaxHops + 1

// settle finds out what became of a request's earlier attempts. It returns
// true with the request pending in the ledger if it may run; otherwise it has
// answered the caller.
//
// Only the agents that the caller declares are asked, after the declared
// dependencies of Lady, Kim and Noble, "Declared Causality in Wide-Area
// Replicated Storage": nobody else can have been given the request.
func (v *Server) settle(ctx context.Context, s *Stream) bool {
	if len(s.Header.Attempts) > MaxAttempts {
		v.refuse(s, "too many earlier attempts", 0)
		return false
	}
	ownFences := v.Ledger.Fences(s.Header.ID)
	others := v.otherAttempts(s.Header.Attempts)
	fences := iter.Map(others, func(at *jasminemoor.Identity) jasminemoor.Fence {
		return v.fence(ctx, *at, s.Header.ID)
	})
	if !v.passFences(s, fences) {
		return false
	}
	verdict, err := v.begin(s, ownFences)
	if err != nil {
		v.refuse(s, err.Error(), v.Gate.RetryAfter())
		return false
	}
	switch verdict {
	case jmledger.VerdictNew:
		return true
	case jmledger.VerdictFenced:
		v.refuse(s, reasonFenced, 0)
		return false
	case jmledger.VerdictKnown:
		return v.passFences(s, []jasminemoor.Fence{v.ownFence(ctx, s.Header.ID)})
	}
	return false
}

// begin records the request. A retry that names this agent among its attempts
// may lift a fence here: every other agent that could have been let run it by
// that fence has just been fenced itself.
func (v *Server) begin(s *Stream, ownFences int) (verdict jmledger.Verdict, err error) {
	if slices.Contains(s.Header.Attempts, v.Identity) {
		return v.Ledger.BeginAgain(s.Header.ID, ownFences)
	}
	return v.Ledger.Begin(s.Header.ID)
}

func (v *Server) otherAttempts(attempts []jasminemoor.Identity) (others []jasminemoor.Identity) {
	for _, at := range attempts {
		if at != v.Identity && !slices.Contains(others, at) {
			others = append(others, at)
		}
	}
	return others
}

// passFences returns true if all earlier attempts are fenced. Otherwise it
// answers the caller with what is known.
func (v *Server) passFences(s *Stream, fences []jasminemoor.Fence) bool {
	for _, f := range fences {
		if f.State == jasminemoor.FenceDone {
			v.repeat(s, &f)
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

// repeat answers with the kept answer of an earlier attempt.
func (v *Server) repeat(s *Stream, f *jasminemoor.Fence) {
	v.Counters.Repeated.Add(1)
	w := &answerWriter{server: v, stream: s, ranAt: f.RanAt}
	if _, err := w.Write(f.Answer); err != nil {
		s.In.Abort()
		return
	}
	_ = s.In.CloseWrite()
}

// ownFence returns what the own ledger knows of a request that was here
// before, and follows it if it was passed on.
func (v *Server) ownFence(ctx context.Context, id jasminemoor.RequestID) jasminemoor.Fence {
	f, err := v.Ledger.Fence(ctx, id, fenceWait(ctx))
	if err != nil {
		return jasminemoor.Fence{State: jasminemoor.FenceLost}
	}
	if f.State == jasminemoor.FencePassedOn {
		return v.fence(ctx, f.To, id)
	}
	f.RanAt = v.Identity
	return f
}

// fence asks the agent of an earlier attempt, and those that it passed the
// request on to. An agent that can't be asked may have run the request.
func (v *Server) fence(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID) jasminemoor.Fence {
	for range maxPassOns {
		if at == v.Identity {
			return v.passedBack(ctx, id)
		}
		f, err := v.Peers.Fence(ctx, at, id, fenceWait(ctx))
		if err != nil {
			v.Log.WithError(err).WithField("Agent", at.String()).Info("request: earlier attempt can't be settled")
			return jasminemoor.Fence{State: jasminemoor.FenceLost}
		}
		if f.State != jasminemoor.FencePassedOn {
			f.RanAt = at
			return f
		}
		at = f.To
	}
	return jasminemoor.Fence{State: jasminemoor.FenceLost}
}

// passedBack settles a request that another agent passed on to this one.
func (v *Server) passedBack(ctx context.Context, id jasminemoor.RequestID) jasminemoor.Fence {
	f, err := v.Ledger.Fence(ctx, id, fenceWait(ctx))
	if err != nil || f.State == jasminemoor.FencePassedOn {
		return jasminemoor.Fence{State: jasminemoor.FenceLost}
	}
	f.RanAt = v.Identity
	return f
}

// fenceWait is how long a fence may wait for a running request: somewhat less
// than the caller waits, so that the answer still gets there.
func fenceWait(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return maxFenceWait
	}
	const answerShare = 4
	left := time.Until(deadline)
	return min(left-left/answerShare, maxFenceWait)
}
