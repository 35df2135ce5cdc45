package jmpassnode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
)

// RecordEnd records that the own upstream's process has ended. See
// jmdirectory.Machine.RecordEnd.
func (c *Control) RecordEnd() {
	c.enqueue(func(now time.Time) { c.machine.RecordEnd(now) })
}

// Leave announces that the own upstream has ended, if it is known to have. It returns once
// the announcement is sent, or when ctx ends.
func (c *Control) Leave(ctx context.Context) {
	sent := make(chan struct{})
	c.enqueue(func(now time.Time) {
		c.apply(ctx, now, c.machine.Leave(now))
		close(sent)
	})
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

const (
	// leaveTimeout bounds the last probe of the upstream's port, and the announcement that
	// its process has ended. Both take a millisecond or so, unless the instance is busy or
	// the upstream does not answer.
	leaveTimeout = 150 * time.Millisecond
	// maxEndWait is how long an agent that is to leave goes on while its upstream, whose port is
	// closed, may be serving its last requests.
	maxEndWait = 2 * time.Second
)

// probeBeforeLeaving probes the upstream for the last time: once the agent has left, it can't
// tell others that a flow is not held.
func (a *Agent) probeBeforeLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	a.probe(ctx)
}

// announceEnding announces that the upstream has ended, if it is known to have.
func (a *Agent) announceEnding(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if _, hasEnded := a.upstreamEnd(); hasEnded {
		a.control.RecordEnd()
	}
	a.control.Leave(ctx)
}

// mayBeEnding reports whether the upstream's port is closed, and the process not known to have
// ended.
func (a *Agent) mayBeEnding() bool {
	isClosed, hasEnded := a.upstreamEnd()
	return isClosed && !hasEnded
}

func (a *Agent) upstreamEnd() (isClosed, hasEnded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.UpstreamEnd()
}

// logEnd logs by what the upstream's process is known to have ended.
func (a *Agent) logEnd(proof jmpass.EndProof, closedFor, age time.Duration) {
	a.Log.WithFields(logrus.Fields{
		"Proof": proof.String(), "ClosedMs": closedFor.Milliseconds(), fieldAge: age.Milliseconds(),
	}).Info("upstream: its process has ended")
}
