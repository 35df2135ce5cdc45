package jmserver

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	maxStatusSize = 4 << 10 // bytes

	reasonRelayLost = "the agent that it was relayed to was lost"
)

// tryRelay offers a whole stream to other agents before any of its bytes are
// given away. It returns true if the caller has been answered, and false if
// nobody took the stream.
func (v *Server) tryRelay(ctx context.Context, s *Stream) (isAnswered bool) {
	if s.Header.Hops >= MaxHops {
		return false
	}
	for _, peer := range v.Peers.Pick(s.Header.Kind, relayCandidates) {
		isAnswered, isOver := v.offer(ctx, s, peer)
		if isAnswered || isOver {
			return isAnswered
		}
	}
	return false
}

// offer offers a stream to one agent. isOver says that no other may be tried.
func (v *Server) offer(ctx context.Context, s *Stream, peer jasminemoor.Identity) (isAnswered, isOver bool) {
	if s.isRecorded() && !v.Ledger.PassOn(s.Header.ID, peer) {
		v.refuse(s, reasonFenced, 0)
		return true, true
	}
	header := s.Header
	header.Hops++
	header.Attempts = nil // settled here
	stream, status, err := v.Peers.Relay(ctx, peer, header, s.Caller)
	if stream != nil {
		v.logRelay(s, peer)
		v.carry(ctx, s, peer, stream)
		return true, true
	}
	if !s.isRecorded() {
		return false, false
	}
	isRefused := err == nil && status.Outcome == jasminemoor.OutcomeNotRun
	if isRefused || errors.Is(err, jasminemoor.ErrNotSent) {
		if v.Ledger.TakeBack(s.Header.ID) {
			return false, false
		}
		v.refuse(s, reasonFenced, 0)
		return true, true
	}
	v.settleLostRelay(ctx, s, peer)
	return true, true
}

// settleLostRelay finds out what became of a stream whose relay broke off, by
// the same fence that a retry would use.
func (v *Server) settleLostRelay(ctx context.Context, s *Stream, peer jasminemoor.Identity) {
	if !s.isRecorded() {
		v.answerUnknown(s, reasonRelayLost)
		return
	}
	fence := v.fence(ctx, peer, s.Header.ID)
	switch fence.State {
	case jasminemoor.FenceDone:
		v.repeat(s, &fence)
	case jasminemoor.FenceFenced:
		v.Ledger.TakeBack(s.Header.ID)
		v.refuse(s, reasonRelayLost, v.Gate.RetryAfter())
	default:
		v.answerUnknown(s, reasonRelayLost)
	}
}

func (v *Server) logRelay(s *Stream, peer jasminemoor.Identity) {
	v.Counters.Relayed.Add(1)
	if v.Decisions.IsOn() {
		v.Decisions.Line("request: relayed", logrus.Fields{
			"Request": s.Header.ID.String(),
			"Agent":   peer.String(),
			"Kind":    s.Header.Kind.String(),
		})
	}
}

// carry copies an admitted stream to another agent and its answer back.
func (v *Server) carry(ctx context.Context, s *Stream, peer jasminemoor.Identity, stream jasminemoor.ByteStream) {
	defer stream.Abort()
	if err := s.admitted(); err != nil {
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
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := copyTo(stream, s.In); err != nil {
			stream.Abort()
			return
		}
		_ = stream.CloseWrite()
	})
	v.carryAnswer(ctx, s, peer, stream)
	s.In.StopRead()
}

func (v *Server) carryAnswer(ctx context.Context, s *Stream, peer jasminemoor.Identity, stream jasminemoor.ByteStream) {
	var status jasminemoor.Status
	if err := jmframe.Read(stream, &status, maxStatusSize); err != nil {
		v.settleLostRelay(ctx, s, peer)
		return
	}
	if err := jmframe.Write(s.In, status); err != nil {
		s.In.Abort()
		return
	}
	// Nothing follows another outcome, however the other agent ends.
	if status.Outcome == jasminemoor.OutcomeAccepted {
		if err := copyTo(s.In, stream); err != nil {
			s.In.Abort()
			return
		}
	}
	_ = s.In.CloseWrite()
}
