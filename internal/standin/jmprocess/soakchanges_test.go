package jmprocess_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// Bounds and sizes of the operator's changes.
const (
	// soakExtras is the number of upstreams besides those that get the faults. As it is
	// even, a replacement is in the same data centre.
	soakExtras    = 4
	soakColdRate  = 2.0 // of both services
	coldOverrun   = 1.5
	coldSlack     = 1.0
	soakColdTime  = 1500 * time.Millisecond
	evacuationLag = 5 * time.Second // after which no new flows go to an evacuated data centre
	settledTime   = 1500 * time.Millisecond
	lapseTime     = 5 * time.Second // after which the entry of an upstream that ended is removed
	drainTime     = 3200 * time.Millisecond
	closedTime    = 700 * time.Millisecond // for which an upstream serves with a closed port
)

// soakChanges are changes by the operator while faults are injected. They have random
// numbers of their own, so that a seed keeps its faults. A nil soakChanges makes none. The
// fields are written by one goroutine, and those that others read with s.mu locked.
type soakChanges struct {
	rng *rand.Rand
	// hasShares sets Shares in the settings of the processes.
	hasShares bool
	// evacuated is the data centre that is being evacuated.
	evacuated string
	weights   [2]float64 // of the services in the routes
	extras    []int      // numbers of the extra upstreams, the oldest first
	cold      []coldSpan
}

// coldSpan is a time in which an upstream warms up.
type coldSpan struct {
	upstream int
	from, to time.Time
}

var (
	soakServices    = [2]string{"shop", "desk"}
	soakDataCentres = [2]string{"here", "there"}
	// soakSplits are the weights of the services that routes may have.
	soakSplits = [][2]float64{{1, 0}, {0, 1}, {1, 1}}
)

func newSoakChanges(seed uint64) *soakChanges {
	c := &soakChanges{rng: rand.New(rand.NewPCG(seed, ^seed)), hasShares: seed%2 == 0, weights: soakSplits[0]}
	for i := range soakExtras {
		c.extras = append(c.extras, *soakAgents+1+i)
	}
	return c
}

func (c *soakChanges) extraUpstreams() int {
	if c == nil {
		return 0
	}
	return soakExtras
}

// soakService returns the service of an upstream. Those that get the faults are of the
// first service.
func soakService(i int) string {
	if i > *soakAgents {
		return soakServices[1]
	}
	return soakServices[0]
}

// dataCentre returns the data centre of the process or upstream with the number i.
func (c *soakChanges) dataCentre(i int) string {
	if c == nil {
		return soakDataCentres[0]
	}
	return soakDataCentres[i%2]
}

// split returns the services of each route, nil for the first one only.
func (c *soakChanges) split() (split []any) {
	if c == nil {
		return nil
	}
	for i, weight := range c.weights {
		split = append(split, map[string]any{"service": soakServices[i], "weight": weight})
	}
	return split
}

// limits returns the limits of the services.
func (c *soakChanges) limits() (limits []any) {
	if c == nil {
		return nil
	}
	for _, name := range soakServices {
		limits = append(limits, map[string]any{"name": name, "cold_per_s": soakColdRate})
	}
	return limits
}

// apply sets the settings of a process that the changes are about.
func (c *soakChanges) apply(settings *jmlocal.Settings) {
	if c == nil {
		return
	}
	settings.ColdOverrun, settings.ColdSlack = coldOverrun, coldSlack
	if c.hasShares {
		callers := netip.PrefixFrom(soakAddr(addrCaller, 0, 0).Addr(), 24)
		settings.Shares = &jmlocal.Shares{Accounts: []jasminemoor.ClientAccount{{Name: "callers", Networks: []netip.Prefix{callers}, Weight: 2, MaxWaiting: 4}}}
	}
}

// recordStart records that upstream i starts, and warms up from now on if there are limits.
func (s *soak) recordStart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born[i-1] = time.Now()
	if s.changes == nil {
		return
	}
	span := coldSpan{upstream: i, from: time.Now(), to: time.Now().Add(soakColdTime)}
	s.coldUntil[i-1] = span.to
	s.changes.cold = append(s.changes.cold, span)
}

// runChanges makes changes at random until ctx ends.
func (s *soak) runChanges(ctx context.Context) {
	c := s.changes
	for c != nil && ctx.Err() == nil {
		time.Sleep(time.Duration(200+c.rng.IntN(500)) * time.Millisecond)
		switch kind := c.rng.IntN(4); kind {
		case 0:
			s.evacuate()
		case 1:
			s.moveRoutes()
		case 2:
			s.replaceUpstream()
		case 3:
			// The next change follows at once.
			s.restartAgent(c.extras[c.rng.IntN(soakExtras)])
			[]func(){s.evacuate, s.moveRoutes}[c.rng.IntN(2)]()
		}
	}
}

// evacuate begins the evacuation of a data centre, or ends the present one.
func (s *soak) evacuate() {
	c := s.changes
	if c.evacuated != "" {
		s.recordFault("end of the evacuation of %s", c.evacuated)
		s.store.Remove("op/evacuate/" + c.evacuated)
		c.evacuated = ""
		return
	}
	c.evacuated = soakDataCentres[c.rng.IntN(len(soakDataCentres))]
	s.recordFault("evacuation of %s", c.evacuated)
	s.store.Put("op/evacuate/"+c.evacuated, "{}")
}

// moveRoutes gives the routes to other services.
func (s *soak) moveRoutes() {
	weights := soakSplits[s.changes.rng.IntN(len(soakSplits))]
	s.recordFault("routes have the services %v with the weights %v", soakServices, weights)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.weights = weights
	s.version++
	s.putConfig()
}

// restartAgent kills the agent of upstream i and starts it again.
func (s *soak) restartAgent(i int) {
	name := fmt.Sprint("agent-", i)
	s.recordFault("kill %s", name)
	s.mu.Lock()
	p := s.processes[name]
	s.mu.Unlock()
	p.Kill()
	s.startProcess("agent", addrAgent, i, false)
}

// closeUpstream has upstream i leave and close its port, while it serves its flows. Its agent may
// be killed then.
func (s *soak) closeUpstream(i int) {
	s.recordFault("upstream %d leaves", i)
	s.registerUpstream(i, "draining")
	time.Sleep(drainTime)
	s.recordFault("upstream %d closes its port", i)
	s.upstream(i).ClosePort()
	if i%4 == 0 {
		s.restartAgent(i)
	}
	time.Sleep(closedTime)
}

// replaceUpstream ends the oldest of the extra upstreams for good, has its agent leave and
// starts another upstream in the same service. Every other one ends in an orderly way.
func (s *soak) replaceUpstream() {
	c := s.changes
	i := c.extras[0]
	if i%2 == 0 {
		s.closeUpstream(i)
	}
	s.recordFault("upstream %d ends for good", i)
	s.mu.Lock()
	s.crashes[i-1]++
	p := s.processes[fmt.Sprint("agent-", i)]
	s.mu.Unlock()
	s.upstream(i).Crash()
	if err := p.Stop(); err != nil {
		s.failf("the agent of upstream %d, which has ended, did not stop gracefully: %v", i, err)
	}
	time.AfterFunc(lapseTime, func() { s.store.Remove(fmt.Sprintf("servers/i-%d-0", i)) })
	s.startUpstream(false)
	c.extras = append(c.extras[1:], len(s.upstreams))
}

// settle waits until the system has been without faults for evacuationLag and some time
// more. Then an upstream ends for good and others of its service lose their flows: the
// callers of these must get an answer or a reset. A data centre stays evacuated in half of
// the seeds.
func (s *soak) settle() {
	c := s.changes
	if c == nil {
		return
	}
	if isEvacuated := c.evacuated != ""; isEvacuated != (c.rng.IntN(2) == 0) {
		s.evacuate()
	}
	time.Sleep(evacuationLag)
	s.mu.Lock()
	s.settledAt = time.Now()
	s.mu.Unlock()
	// An ending is announced only if the upstream has not just started.
	if c.extras[0] <= *soakAgents+soakExtras {
		s.replaceUpstream()
		for _, i := range c.extras[:soakExtras-1] {
			s.injectUpstreamFault(&fault{kind: faultUpstreamCrash, upstream: i, duration: 300 * time.Millisecond})
		}
	}
	time.Sleep(settledTime)
}

// isSettled reports whether the system has been without faults for evacuationLag.
func (s *soak) isSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.settledAt.IsZero()
}

// checkChanges checks that new flows went where they may after the changes.
func (s *soak) checkChanges() {
	c := s.changes
	if c == nil {
		return
	}
	opened := make(map[string]int)
	for i, u := range s.upstreams {
		for _, at := range u.Openings() {
			if at.After(s.settledAt) {
				opened[c.dataCentre(i+1)]++
			}
		}
	}
	for _, name := range soakDataCentres {
		if isEvacuated := name == c.evacuated; isEvacuated == (opened[name] > 0) {
			s.failf("%d flows were opened in data centre %s, which is evacuated: %v", opened[name], name, isEvacuated)
		}
	}
	limit := int(math.Floor(soakColdRate*coldOverrun + coldSlack))
	for _, span := range c.cold {
		openings := slices.DeleteFunc(s.upstreams[span.upstream-1].Openings(), func(at time.Time) bool { return at.Before(span.from) || at.After(span.to) })
		if n := mostInASecond(openings); n > limit {
			var after []time.Duration
			for _, at := range openings {
				after = append(after, at.Sub(span.from).Round(time.Millisecond))
			}
			s.failf("upstream %d, which warmed up from %s on, got %d opening packets in a second, more than %d: after %v", span.upstream, span.from.Format("05.000"), n, limit, after)
		}
	}
}

// mostInASecond returns the most of the times, which are in order, in any second.
func mostInASecond(times []time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
