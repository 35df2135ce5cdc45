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

// TestCallsDontGrow checks that the platform calls of an idle fleet do not grow
// with its size.
func TestCallsDontGrow(t *testing.T) {
	const seconds = 30
	for _, agents := range []int{10, 60, 200} {
		f := newFleet(t, agents/3, agents)
		f.run(3 * time.Second)
		f.calls, f.sends = 0, 0
		f.run(seconds * time.Second)
		calls, sends := float64(f.calls)/seconds, float64(f.sends)/seconds/float64(len(f.machines))
		t.Logf("%d processes: %.2f calls a second in all, %.1f messages a second each", len(f.machines), calls, sends)
		require.Less(t, calls, 2.5)
		require.Less(t, sends, 12.0)
	}
}

// TestDeputyReads checks that exactly one agent reads in place of a dead reader,
// and that it stops when the reader is back.
func TestDeputyReads(t *testing.T) {
	f := newFleet(t, 5, 20)
	f.run(3 * time.Second)
	readers := func() (readers []netip.Addr) {
		f.eachReader(func(a netip.Addr) {
			if !f.isDead[a] {
				readers = append(readers, a)
			}
		})
		return readers
	}
	first := readers()
	require.Len(t, first, 1)
	f.isDead[first[0]] = true
	f.run(StaleAfter + time.Second)
	deputies := readers()
	require.Len(t, deputies, 1)
	f.calls = 0
	const seconds = 10
	f.run(seconds * time.Second)
	require.Equal(t, deputies, readers())
	require.Less(t, f.calls, 2*seconds, "the deputy watches instead of polling")
	f.isDead[first[0]] = false
	f.run(2 * WatchWait)
	require.Equal(t, first, readers())
}

// TestDeputyYields checks that a deputy stops reading only for a recent beacon
// of an agent before it in the order.
func TestDeputyYields(t *testing.T) {
	first, second := agentAddr(1), agentAddr(2)
	if readerScore(first) < readerScore(second) {
		first, second = second, first
	}
	outsider := balancerAddr(1) // ranks before both, but is no agent
	for i := 2; readerScore(outsider) < readerScore(first); i++ {
		outsider = balancerAddr(i)
	}
	cases := map[string]struct {
		reader netip.Addr
		age    time.Duration
		want   bool
	}{
		"the reader is back":          {first, 0, false},
		"an old beacon of the reader": {first, StaleAfter, true},
		"a beacon of a balancer":      {outsider, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := &Machine{Self: second, Upstream: netip.AddrPortFrom(second, 8080), Rand: rand.New(rand.NewPCG(1, 1))}
			r, _ := m.NextRead(startTime)
			c := &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{upstreamEntry(1, 3), upstreamEntry(2, 4)}}
			m.HandleRead(startTime, r, c, nil)
			now := startTime.Add(2 * StaleAfter)
			r, found := m.NextRead(now)
			require.True(t, found)
			m.HandleRead(now, r, &jasminemoor.DirectoryChanges{Revision: 4}, nil)
			require.True(t, m.IsReader())
			m.Handle(now, tc.reader, &Message{Beacon: &Beacon{Reader: tc.reader, Number: 1, Revision: 4, Since: 4, Age: tc.age}})
			require.Equal(t, tc.want, m.IsReader())
		})
	}
}

// TestErrorsBackOff checks that failed calls at the platform are retried with
// backoff.
func TestErrorsBackOff(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.isPartitioned[agentAddr(1)], f.isPartitioned[balancerAddr(1)] = true, true
	f.run(10 * time.Second)
	require.Less(t, f.calls, 40)
}

// TestOutageCallsDontGrow checks that the calls of a fleet while the platform is down do
// not grow with its size, nor do those while it serves only some of the processes, whose
// copies stay recent then.
func TestOutageCallsDontGrow(t *testing.T) {
	const outage = 6 * time.Second
	cases := map[string]func(f *fleet, self netip.Addr, i int) bool{
		"down":                 func(*fleet, netip.Addr, int) bool { return true },
		"serves one in twenty": func(_ *fleet, _ netip.Addr, i int) bool { return i%20 != 0 },
	}
	for name, isCut := range cases {
		t.Run(name, func(t *testing.T) {
			calls := make(map[int]int)
			for _, agents := range []int{20, 60, 200, 400} {
				f := newFleet(t, agents/3, agents)
				f.run(3 * time.Second)
				for i, self := range slices.SortedFunc(maps.Keys(f.machines), netip.Addr.Compare) {
					f.isPartitioned[self] = isCut(f, self, i)
				}
				f.calls = 0
				f.run(outage)
				calls[agents] = f.calls
				t.Logf("%d agents: %d calls in %s", agents, f.calls, outage)
				clear(f.isPartitioned)
				f.write(routingEntry(2, 0, 2))
				require.Less(t, f.convergenceTime(10*time.Second), 3*time.Second)
			}
			require.LessOrEqual(t, calls[400], 2*calls[20])
		})
	}
}

// newFleetBeforeUpstreams returns a fleet with seeds that has run for a second while no
// upstream is listed.
func newFleetBeforeUpstreams(t *testing.T, agents int) *fleet {
	f := newFleet(t, agents/3, 0)
	for i := range agents {
		f.add(agentAddr(i+1), netip.AddrPortFrom(agentAddr(i+1), 8080))
	}
	for _, m := range f.machines {
		m.Seeds = []netip.Addr{balancerAddr(1), balancerAddr(2), balancerAddr(3)}
	}
	f.run(time.Second)
	return f
}

// TestStartCallsDontGrow starts a whole fleet before its upstreams, which register one
// after the other. Each process loads its copy once. Beyond that the calls do not grow
// with the fleet.
func TestStartCallsDontGrow(t *testing.T) {
	const others = 100 // calls beyond the loads
	for _, agents := range []int{20, 200} {
		f := newFleetBeforeUpstreams(t, agents)
		for i := range agents {
			f.write(upstreamEntry(i+1, 0))
			if i%10 == 0 {
				f.step()
			}
		}
		require.Less(t, f.convergenceTime(10*time.Second), 3*time.Second)
		f.run(3 * time.Second)
		t.Logf("%d processes: %d calls", len(f.machines), f.calls)
		require.LessOrEqual(t, f.calls, len(f.machines)+others)
	}
}

// TestSeedsServeFew starts a large fleet before its upstreams. The pulls that a process
// answers in a step are bounded by those that it serves: each seed sends the beacons of
// the three seeds.
func TestSeedsServeFew(t *testing.T) {
	const agents, seeds = 600, 3
	const bound = seeds * (maxServed + Fanout)
	f := newFleetBeforeUpstreams(t, agents)
	for i := range agents {
		f.write(upstreamEntry(i+1, 0))
	}
	for range 100 {
		clear(f.pulled)
		f.step()
		for _, count := range f.pulled {
			require.LessOrEqual(t, count, bound)
		}
	}
	require.Less(t, f.convergenceTime(10*time.Second), 3*time.Second)
}

// TestCutOffProcessReads cuts a balancer off from all peers. It reads the platform
// itself.
func TestCutOffProcessReads(t *testing.T) {
	f := newFleet(t, 1, 60)
	f.run(3 * time.Second)
	f.eachAgent(func(a netip.Addr) { f.isDead[a] = true })
	f.write(routingEntry(2, 0, 2))
	require.Less(t, f.convergenceTime(10*time.Second), 3*time.Second)
}
