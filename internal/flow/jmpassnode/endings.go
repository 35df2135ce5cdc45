package jmpassnode

import (
	"context"
	"time"
)

// RecordRefusal records that the own upstream's port has refused a connection. See
// jmdirectory.Machine.RecordRefusal.
func (c *Control) RecordRefusal() {
	c.enqueue(func(now time.Time) { c.machine.RecordRefusal(now) })
}

// Leave announces that the own upstream has ended, if its port has refused a connection.
// It returns once the announcement is sent, or when ctx ends.
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

// leaveTimeout bounds the last probe of the upstream's port and the announcement that
// follows. Both take a millisecond or so, unless the instance is busy or the upstream does
// not answer.
const leaveTimeout = 150 * time.Millisecond

// announceEnding probes the upstream for the last time, and announces its ending if it
// has ended: the agent can no longer tell others that a flow is not held.
func (a *Agent) announceEnding(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	a.probe(ctx)
	a.control.Leave(ctx)
}
