package jmflows

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// Joining are the upstreams of an installation that are added during a run: the last Share
// of them starts at At, empty, and its agents with it. The zero value adds none. A fault
// that stops upstreams does not mix with it before At.
type Joining struct {
	Share float64
	At    jmtree.Duration // since the start of the run
}

func (s *Scenario) checkJoining() error {
	if j := s.Joining; j.Share < 0 || j.Share >= 1 || j.Share > 0 && j.At <= 0 {
		return eris.Errorf("the Joining of scenario %q needs a Share from 0 to less than 1, and At", s.Name)
	}
	return nil
}

// joiningAgents returns the agents that start at Joining.At, the last ones.
func (w *World) joiningAgents() []*node {
	return w.agents[len(w.agents)-int(float64(len(w.agents))*w.Joining.Share+0.5):]
}

// join starts an upstream, cold, and its agent.
func (n *node) join() {
	n.upstream.start(true)
	n.start(false)
	n.world.publish()
}

// countRun counts a request that an upstream begins to run.
func (r *Result) countRun(w *World, n *node) {
	window := r.window(w, w.now)
	window.Runs++
	if n.isJoining {
		window.JoinedRuns++
	}
}

// flowTime draws how long a flow lasts at least, exponentially, so that some flows end
// at any time. It is 0 if flows have no end.
func (c *Class) flowTime(w *World) time.Duration {
	if c.FlowLasts == 0 {
		return 0
	}
	return time.Duration(w.Rand.ExpFloat64() * float64(c.FlowLasts))
}
