package jmpassnode_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// configBound is the time within which a confirmed configuration must be in force.
const configBound = 3 * time.Second

// eachControl reports whether a condition holds in the Control of each process.
func (s *site) eachControl(holds func(p *process) bool) bool {
	for _, all := range []map[int]*process{s.balancers, s.agents} {
		for _, p := range all {
			if c := p.control(); c == nil || c.Snapshot() == nil || !holds(p) {
				return false
			}
		}
	}
	return true
}

// awaitVersion waits until a version of the routes is in force in each process.
func (s *site) awaitVersion(version uint64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		return s.eachControl(func(p *process) bool { return p.control().Snapshot().Version == version })
	}, configBound, 5*time.Millisecond)
}

// TestConfirmedConfigAfterRestore restores the store from a copy. What is confirmed after that
// must come into force, though its revision was given out before.
func TestConfirmedConfigAfterRestore(t *testing.T) {
	old := map[netip.AddrPort]string{shop: "shop", desk: "desk"}
	withNew := map[netip.AddrPort]string{shop: "shop", desk: "desk", newDesk: "desk"}
	cases := map[string]struct{ lost, rewritten int }{
		"fewer revisions than were lost":   {5, 1},
		"as many revisions as were lost":   {2, 1},
		"more revisions than were lost":    {1, 4},
		"the lost version isn't rewritten": {2, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publish(2, old)
			s.awaitVersion(2)
			backup := s.store.Backup()
			version := 2
			for range tc.lost {
				version++
				s.publish(version, old)
			}
			s.awaitVersion(uint64(version))
			s.store.Restore(backup)
			for range tc.rewritten {
				s.publish(version, old)
			}
			isOlder := func() bool {
				return !s.eachControl(func(p *process) bool { return p.control().Snapshot().Version >= uint64(version) })
			}
			require.Never(t, isOlder, time.Second, 5*time.Millisecond, "the restored version is older, and must not come into force")
			calls := s.store.Calls()
			s.publish(version+1, withNew)
			s.awaitVersion(uint64(version) + 1)
			require.Less(t, s.store.Calls()-calls, 20, "calls for one change")
			_, err := s.serve(newDesk, "on the new route")
			require.NoError(t, err)
		})
	}
}

// TestRevisionAdvancesWithoutChanges writes entries again as they are, as their owners do after a
// restore. Packets must carry the revision of the copy, or peers with a newer view take the
// process for one that is behind.
func TestRevisionAdvancesWithoutChanges(t *testing.T) {
	s := newSite(t)
	isCurrent := func() bool {
		return s.eachControl(func(p *process) bool { return s.store.Revision() == p.control().Snapshot().Revision.Change() })
	}
	require.Eventually(t, isCurrent, configBound, 5*time.Millisecond)
	for i := 1; i <= 3; i++ {
		s.register(i, "shop", "ready")
	}
	s.publish(1, map[netip.AddrPort]string{shop: "shop", desk: "desk"})
	require.Eventually(t, isCurrent, configBound, 5*time.Millisecond)

	s.startBalancer(3, false)
	require.Eventually(t, isCurrent, configBound, 5*time.Millisecond)
	exchanges := func() (n uint64) {
		s.eachControl(func(p *process) bool { n += p.control().Counters.Exchanges.Load(); return true })
		return n
	}
	time.Sleep(1500 * time.Millisecond) // the new process asks three peers for the routes' history
	before := exchanges()
	for range 20 {
		_, err := s.serve(shop, "request")
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, before, exchanges(), "pulls without a change")
}
