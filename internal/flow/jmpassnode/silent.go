package jmpassnode

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// silentAgents counts the searches that ended without an answer of an agent, by agent.
type silentAgents struct {
	searches int
	byAgent  map[netip.Addr]int
	logged   time.Time
}

// silentInterval is the least time between two log lines on silent agents.
const silentInterval = time.Second

// add counts a search that has ended.
func (s *silentAgents) add(unanswered []netip.Addr) {
	s.searches++
	if s.byAgent == nil {
		s.byAgent = make(map[netip.Addr]int)
	}
	for _, agent := range unanswered {
		s.byAgent[agent]++
	}
}

// take returns the counts since the last call, if there are any and silentInterval has
// passed. Agents are those that most searches waited for, with their counts.
func (s *silentAgents) take(now time.Time) (searches int, agents []string) {
	if s.searches == 0 || now.Sub(s.logged) < silentInterval {
		return 0, nil
	}
	type waiting struct {
		agent netip.Addr
		count int
	}
	var most []waiting
	for agent, count := range s.byAgent {
		most = append(most, waiting{agent, count})
	}
	slices.SortFunc(most, func(x, y waiting) int {
		return cmp.Or(cmp.Compare(y.count, x.count), x.agent.Compare(y.agent))
	})
	for _, w := range most[:min(len(most), maxLoggedAgents)] {
		agents = append(agents, w.agent.String()+" "+strconv.Itoa(w.count))
	}
	searches = s.searches
	*s = silentAgents{logged: now}
	return searches, agents
}

// logSilentAgents logs which agents searches have waited for in vain. The lines on single
// searches may be left out, as their rate is bounded.
func (a *Agent) logSilentAgents(now time.Time) {
	if searches, agents := a.silent.take(now); searches > 0 {
		a.Log.WithFields(logrus.Fields{"Searches": searches, "Agents": agents}).
			Warn("flow: searches ended without a holder, and agents that may hold the flows did not answer")
	}
}
