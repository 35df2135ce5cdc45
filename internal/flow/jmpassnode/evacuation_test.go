package jmpassnode_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// registerThere moves an upstream to another data centre.
func (s *site) registerThere(i int) {
	s.store.Put(fmt.Sprintf("servers/i-%d", i), map[string]any{
		"service": "shop", "address": addr(2, i, upstreamPort).String(), "zone": "there", "version": "v1", "max_concurrency": 5, "state": "ready",
		"cold_left_ms": 0, "seq": 2, "born": 1,
	})
}

// hasLogged reports whether a log line was written for a data centre.
func (s *site) hasLogged(message, dataCentre string) bool {
	for _, e := range s.hook.AllEntries() {
		if e.Message == message && e.Data["DataCentre"] == dataCentre {
			return true
		}
	}
	return false
}

// evacuationBound is the time within which an evacuation must be in force.
const evacuationBound = 5 * time.Second

// awaitEvacuated waits until the copy of each process says that just these data centres are
// evacuated.
func (s *site) awaitEvacuated(names ...string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, all := range []map[int]*process{s.balancers, s.agents} {
			for _, p := range all {
				if c := p.control(); c == nil || c.Snapshot() == nil || !slices.Equal(c.Snapshot().Evacuated, names) {
					return false
				}
			}
		}
		return true
	}, evacuationBound, 5*time.Millisecond)
}

// awaitCurrent waits until the copy of each process is of a time after the given one. Calls that
// the store has left without an answer end only with their timeouts.
func (s *site) awaitCurrent(after time.Time) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, all := range []map[int]*process{s.balancers, s.agents} {
			for _, p := range all {
				if c := p.control(); c == nil || c.Snapshot() == nil || c.Snapshot().AsOf.Before(after) {
					return false
				}
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
}

// TestEvacuation evacuates a data centre, and the other one as well for a while, restarts a
// balancer while the store is down, and takes the data centre back.
func TestEvacuation(t *testing.T) {
	s := newSite(t)
	s.registerThere(1)
	s.registerThere(2)
	f, err := s.open(shop)
	require.NoError(t, err)
	opened := func() uint64 {
		first, _ := s.upstreams[1].Counters()
		second, _ := s.upstreams[2].Counters()
		return uint64(first) + uint64(second)
	}
	serveElsewhere := func(name string) {
		before := opened()
		for i := range 20 {
			answer, err := s.serve(shop, fmt.Sprint(name, i))
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(answer, "shop3"), answer)
		}
		require.Equal(t, before, opened(), name)
	}

	s.store.Put("op/evacuate/there", map[string]any{})
	s.awaitEvacuated("there")
	require.True(t, s.hasLogged("directory: evacuation began", "there"))
	serveElsewhere("evacuated-")

	time.Sleep(2 * time.Second) // a process that has just started refuses no flow
	s.store.Put("op/evacuate/here", map[string]any{})
	s.awaitEvacuated("here", "there")
	start := time.Now()
	_, err = s.open(shop)
	require.Error(t, err)
	require.Less(t, time.Since(start), time.Second, "refused at once")
	s.store.Remove("op/evacuate/here")
	s.awaitEvacuated("there")
	require.True(t, s.hasLogged("directory: evacuation ended", "here"))

	s.store.SetFault(netip.Addr{}, jmstore.FaultSilent)
	serveElsewhere("store down-")
	s.balancers[1].kill()
	s.startBalancer(1, false)
	serveElsewhere("balancer started while the store is down-")
	s.store.SetFault(netip.Addr{}, jmstore.FaultNone)
	s.awaitCurrent(time.Now())
	require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, 5*time.Second, 10*time.Millisecond)
	serveElsewhere("balancer back-")
	_, err = s.do(f, "on the open flow")
	require.NoError(t, err)

	// The balancers are here, and so few requests need not cross. Those there are needed again
	// once this data centre is evacuated.
	s.store.Remove("op/evacuate/there")
	s.awaitEvacuated()
	require.True(t, s.hasLogged("directory: evacuation ended", "there"))
	s.store.Put("op/evacuate/here", map[string]any{})
	s.awaitEvacuated("here")
	for i := range 20 {
		answer, err := s.serve(shop, fmt.Sprint("back-", i))
		require.NoError(t, err)
		require.False(t, strings.HasPrefix(answer, "shop3"), answer)
	}
}
