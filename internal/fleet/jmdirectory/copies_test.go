package jmdirectory

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestCopiesOfStartAreSpread starts 1,000 processes at once, of which the platform serves few. No
// process gives more whole copies than its share of a core has room for, and all get theirs in
// time.
func TestCopiesOfStartAreSpread(t *testing.T) {
	const (
		balancers, agents = 120, 880
		// A copy at the target's 5,000 upstreams takes 21 ms of a core. 2.2% of a core are 62 of
		// them a minute.
		bound     = 62
		timeBound = 1500 * time.Millisecond // from the first copy to the last
	)
	for name, cutOff := range map[string]func(i int) bool{
		"platform serves the seeds":        func(i int) bool { return i >= 3 },
		"platform serves one process":      func(i int) bool { return i != 500 },
		"platform serves one in a hundred": func(i int) bool { return i%100 != 50 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, balancers, agents)
			f.rand = rand.New(rand.NewPCG(*startSeed, 0))
			f.hasHeaders, f.pullTime = true, 50*time.Millisecond
			for i, self := range slices.SortedFunc(maps.Keys(f.machines), netip.Addr.Compare) {
				m := f.machines[self]
				m.Rand = rand.New(rand.NewPCG(*startSeed, uint64(i+1)))
				m.Seeds = []netip.Addr{balancerAddr(1), balancerAddr(2), balancerAddr(3)}
				f.isPartitioned[self] = cutOff(i)
			}
			var first time.Time
			for range 400 {
				f.step()
				loaded := 0
				for _, m := range f.machines {
					if m.IsLoaded() {
						loaded++
					}
				}
				if loaded > 0 && first.IsZero() {
					first = f.now
				}
				if loaded == len(f.machines) {
					break
				}
			}
			busiest, refused, asked := 0, 0, 0
			for self := range f.machines {
				busiest, refused, asked = max(busiest, f.given[self]), max(refused, f.pulled[self]-f.given[self]), max(asked, f.pulled[self])
			}
			t.Logf("%s from the first copy, %d copies by the busiest process, at most %d other replies", f.now.Sub(first), busiest, refused)
			require.LessOrEqual(t, f.now.Sub(first), timeBound)
			require.LessOrEqual(t, busiest, bound)
		})
	}
}

// TestCopiesAreBounded has many peers pull whole copies at once, and changes beside them.
func TestCopiesAreBounded(t *testing.T) {
	cases := map[string]struct{ upstreams, want int }{
		"small":                 {50, maxCopies},
		"of the target's size":  {copyItems - 1, maxCopies},
		"of twice that":         {2*copyItems - 1, maxCopies / 2},
		"larger than all of it": {(maxCopies + 2) * copyItems, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			entries := []jasminemoor.Entry{routingEntry(1, 1, 1)}
			for i := range tc.upstreams {
				entries = append(entries, upstreamEntry(i+1, jasminemoor.Revision(i+2)))
			}
			m := loaded(t, startTime, entries...)
			given, refused := 0, 0
			for i := range 100 {
				reply := m.HandlePullRequest(startTime, &PullRequest{From: balancerAddr(i)})
				if reply.IsRefused {
					refused++
					require.Negative(t, reply.Age)
					require.Len(t, reply.AskInstead, min(given, maxNamed))
				} else {
					given++
					require.True(t, reply.IsWhole)
				}
				reply = m.HandlePullRequest(startTime, &PullRequest{Since: m.Revision(), HasVersion: true, Version: 1, From: balancerAddr(i)})
				require.False(t, reply.IsRefused, "changes are always given")
			}
			require.Equal(t, tc.want, given)
			require.Positive(t, refused)
		})
	}
}

// TestRefusedCopyIsPulledElsewhere has a peer refuse its copy to a process, with and without the
// names of others.
func TestRefusedCopyIsPulledElsewhere(t *testing.T) {
	m := &Machine{Self: balancerAddr(1), Rand: rand.New(rand.NewPCG(1, 1))}
	refuse := func(named ...netip.Addr) Output {
		return m.HandlePullReply(startTime, m.PullRequest(), &PullReply{Age: -1, IsRefused: true, AskInstead: named})
	}
	require.Len(t, m.CatchUp(startTime, balancerAddr(2)).Pulls, 1)
	require.Empty(t, refuse().Pulls)
	require.Equal(t, []netip.Addr{balancerAddr(3)}, refuse(balancerAddr(3)).Pulls)
	for i := range maxRedirects - 2 {
		require.Len(t, refuse(balancerAddr(10+i)).Pulls, 1)
	}
	require.Empty(t, refuse(balancerAddr(4), balancerAddr(5)).Pulls, "several have refused in turn")
	require.Empty(t, m.Tick(startTime).Pulls)
	require.Len(t, m.Tick(startTime.Add(maxSourceDelay)).Pulls, 1)
}
