package jmserver

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	maxStatusSize = 4 << 10 // bytes

	reasonRelayLost = "the agent that it was relayed to was lost"
)

// tryRelay tries to relay a stream, before any of its bytes are read, to one agent
// after another. It returns true if the caller has been answered, and false if no
// agent admitted the stream.
func (v *Server) tryRelay(ctx context.Context, s *Stream) (isAnswered bool) {
	if s.Header.Hops >= MaxHops {
		return false
	}
	for _, peer := range v.Peers.Pick(s.Header.Kind, maxRelayPeers) {
		isAnswered, isLast := v.relayTo(ctx, s, peer)
		if isAnswered || isLast {
			return isAnswered
		}
	}
	return false
}

// relayTo asks one agent to run a stream, and relays it if that agent admits it.
// isAnswered says that the caller has been answered, and isLast that no other
// agent may be tried.
func (v *Server) relayTo(ctx context.Context, s *Stream, peer jasminemoor.Identity) (isAnswered, isLast bool) {
	if s.isRecorded() && !v.Ledger.MarkRelayed(s.Header.ID, peer) {
		v.refuse(s, reasonFenced, 0)
		return true, true
	}
	header := s.Header
	header.Hops++
	header.Attempts = nil // they are fenced already
	stream, status, err := v.Peers.Relay(ctx, peer, header, s.Caller)
	if stream != nil {
		v.logRelay(s, peer)
		v.copyRelayed(ctx, s, peer, stream)
		return true, true
	}
	if !s.isRecorded() {
		return false, false
	}
	isRefused := err == nil && status.Outcome == jasminemoor.OutcomeNotRun
	if isRefused || errors.Is(err, jasminemoor.ErrNotSent) {
		if v.Ledger.RevertRelay(s.Header.ID) {
			return false, false
		}
		v.refuse(s, reasonFenced, 0)
		return true, true
	}
	v.resolveLostRelay(ctx, s, peer)
	return true, true
}

// resolveLostRelay answers the caller of a stream whose relay broke off. It
// fences a recorded request at the other agent, as a retry would do, to find
// out whether the request ran.
func (v *Server) resolveLostRelay(ctx context.Context, s *Stream, peer jasminemoor.Identity) {
	if !s.isRecorded() {
		v.answerUnknown(s, reasonRelayLost)
		return
	}
	fence := v.fence(ctx, peer, s.Header.ID)
	switch fence.State {
	case jasminemoor.FenceDone:
		v.sendStored(s, &fence)
	case jasminemoor.FenceFenced:
		v.Ledger.RevertRelay(s.Header.ID)
		v.refuse(s, reasonRelayLost, v.Gate.RetryAfter(ctx))
	default:
		v.answerUnknown(s, reasonRelayLost)
	}
}

// logRelay counts and logs a stream that another agent has admitted.
func (v *Server) logRelay(s *Stream, peer jasminemoor.Identity) {
	v.Counters.Relayed.Add(1)
	if v.Decisions.IsDebugEnabled() {
		v.Decisions.Debug("request: relayed", logrus.Fields{
			"Request": s.Header.ID.String(),
			"Agent":   peer.String(),
			"Kind":    s.Header.Kind.String(),
		})
	}
}

// copyRelayed copies a stream to the agent that admitted it, and the answer back.
func (v *Server) copyRelayed(ctx context.Context, s *Stream, peer jasminemoor.Identity, stream jasminemoor.ByteStream) {
	defer stream.Abort()
	if err := s.notifyAdmitted(); err != nil {
		return
	}
	stop := context.AfterFunc(s.In.Context(), func() {
		if s.wasCancelled() {
			v.Counters.Cancelled.Add(1)
			v.Peers.Cancel(peer, s.Header.ID)
		}
		stream.Abort()
	})
	defer stop()
	stopDeadline := context.AfterFunc(ctx, stream.Abort)
	defer stopDeadline()
	wg := jmguard.Group{Guard: v.Guard}
	defer wg.Wait()
	wg.Go(goroutineRequest, func() {
		if !v.Guard.Try(goroutineRequest, func() { sendRelayed(s, stream) }) {
			stream.Abort()
		}
	})
	v.copyRelayedAnswer(ctx, s, peer, stream)
	s.In.StopRead()
}

// sendRelayed copies the caller's bytes to the other agent.
func sendRelayed(s *Stream, stream jasminemoor.ByteStream) {
	if err := copyTo(stream, s.In); err != nil {
		stream.Abort()
		return
	}
	_ = stream.CloseWrite()
}

// copyRelayedAnswer copies the other agent's status and answer to the caller.
func (v *Server) copyRelayedAnswer(ctx context.Context, s *Stream, peer jasminemoor.Identity, stream jasminemoor.ByteStream) {
	var status jasminemoor.Status
	if err := jmframe.Read(stream, &status, maxStatusSize); err != nil {
		v.resolveLostRelay(ctx, s, peer)
		return
	}
	if err := jmframe.Write(s.In, status); err != nil {
		s.In.Abort()
		return
	}
	// No bytes follow any other outcome, so it doesn't matter how the other
	// agent ends its stream then.
	if status.Outcome == jasminemoor.OutcomeAccepted {
		if err := copyTo(s.In, stream); err != nil {
			s.In.Abort()
			return
		}
	}
	_ = s.In.CloseWrite()
}
