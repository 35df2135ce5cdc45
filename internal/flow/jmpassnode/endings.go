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
func (c *Control) Leave(ctx context.Context) {
	c.enqueue(func(now time.Time) { c.apply(ctx, now, c.machine.Leave(now)) })
}

// leaveProbeTimeout bounds the last probe of the upstream's port, which is on the agent's
// own instance, so that leaving takes hardly longer.
const leaveProbeTimeout = 20 * time.Millisecond

// announceEnding probes the upstream for the last time, and announces its ending if it
// has ended: the agent can no longer tell others that a flow is not held.
func (a *Agent) announceEnding(ctx context.Context) {
	probing, cancel := context.WithTimeout(ctx, leaveProbeTimeout)
	defer cancel()
	a.probe(probing)
	a.control.Leave(ctx)
}
