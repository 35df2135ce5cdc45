package jmdirectory

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	startSeed  = flag.Uint64("start-seed", 45, "first seed of TestWholeFleetStarts")
	startSeeds = flag.Uint64("start-seeds", 10, "number of seeds that TestWholeFleetStarts runs")
)

// turns returns the machines in the order in which they act in a step, drawn at random.
func (f *fleet) turns() []netip.Addr {
	all := slices.SortedFunc(maps.Keys(f.machines), netip.Addr.Compare)
	f.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// newStartingFleet returns a fleet of 300 processes that start at once with three seeds,
// before a platform that serves a number of loads a second.
func newStartingFleet(t *testing.T, seed uint64, loadsPerSecond int) *fleet {
	const callsPerLoad = 6
	f := newFleet(t, 100, 200)
	f.rand = rand.New(rand.NewPCG(seed, 0))
	for i, self := range slices.SortedFunc(maps.Keys(f.machines), netip.Addr.Compare) {
		m := f.machines[self]
		m.Rand = rand.New(rand.NewPCG(seed, uint64(i+1)))
		m.Seeds = []netip.Addr{balancerAddr(1), balancerAddr(2), balancerAddr(3)}
	}
	f.maxCallsPerSecond, f.callsPerLoad = callsPerLoad*loadsPerSecond, callsPerLoad
	return f
}

// TestWholeFleetStarts checks that all processes get a copy in time if they start
// at once and the platform serves a bounded number of calls a second.
func TestWholeFleetStarts(t *testing.T) {
	const bound = 5 * time.Second // all processes must have a copy by then
	for name, loadsPerSecond := range map[string]int{"all served": 1000, "a third served": 100, "few served": 10} {
		t.Run(name, func(t *testing.T) {
			for seed := *startSeed; seed < *startSeed+*startSeeds; seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					f := newStartingFleet(t, seed, loadsPerSecond)
					f.run(time.Second)
					took := f.convergenceTime(20*time.Second) + time.Second
					t.Logf("%s, %d calls, %d messages", took, f.calls, f.sends)
					require.Less(t, took, bound)
				})
			}
		})
	}
}

// TestSeedsCutOffAtStart cuts the seeds off from the platform while the fleet starts. They
// get their copies from the other processes.
func TestSeedsCutOffAtStart(t *testing.T) {
	f := newStartingFleet(t, *startSeed, 10)
	for i := range 3 {
		f.isPartitioned[balancerAddr(i+1)] = true
	}
	require.Less(t, f.convergenceTime(10*time.Second), 5*time.Second)
}
