package jmflows

import (
	"slices"
	"time"
)

// endingDelay is how long it takes until all processes know that an upstream has ended,
// once its agent announces that.
const endingDelay = 20 * time.Millisecond

// powerOff stops all processes and upstreams. A share of the upstreams was being
// replaced: they don't start again, and their agents end soon after their start.
func (w *World) powerOff(f Fault) {
	down := time.Duration(f.For) + startupTime
	gone := w.affectedAgents(f)
	for _, n := range w.nodes() {
		if !slices.Contains(gone, n) {
			n.restart(down, n.upstream != nil)
			continue
		}
		n.upstream.isLeaving = true
		n.crashUpstream(w.Length) // it starts after the run
		n.restart(down, false)
		w.after(down+time.Duration(f.Gap), n.leave)
	}
	w.publish()
}

// leave ends an agent. If it has found that its upstream has ended, it says so to all.
func (n *node) leave() {
	w := n.world
	n.isUp = false
	if !n.sawUpstreamDown {
		return
	}
	w.after(endingDelay, func() {
		n.upstream.hasEnded = true
		w.endings++
		w.publish()
	})
}
