package jmplacer_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

func agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7100)
}

func key(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)) }

func TestSharesFollowWeights(t *testing.T) {
	weights := []uint32{1, 2, 4, 0}
	var candidates []jmplacer.Candidate
	for i, w := range weights {
		candidates = append(candidates, jmplacer.Candidate{Agent: agent(i), Weight: w})
	}
	table := jmplacer.NewTable(candidates)
	const flows = 70_000
	counts := make(map[netip.AddrPort]int)
	for i := range flows {
		first, second := table.Pick(key(i))
		require.NotEqual(t, first, second)
		counts[first]++
	}
	for i, w := range weights {
		require.InDelta(t, flows*int(w)/7, counts[agent(i)], flows/100, "weight %d", w)
	}
}

// TestRemovalMovesOnlyItsFlows compares the table with one that lacks an upstream: only
// the flows of that upstream differ, and each goes to its second candidate.
func TestRemovalMovesOnlyItsFlows(t *testing.T) {
	var candidates []jmplacer.Candidate
	for i := range 7 {
		candidates = append(candidates, jmplacer.Candidate{Agent: agent(i), Weight: uint32(i%3 + 1)})
	}
	whole, without := jmplacer.NewTable(candidates), jmplacer.NewTable(candidates[1:])
	for i := range 5000 {
		first, second := whole.Pick(key(i))
		now, _ := without.Pick(key(i))
		if first == agent(0) {
			require.Equal(t, second, now)
			continue
		}
		require.Equal(t, first, now)
	}
}

func TestChoose(t *testing.T) {
	second := jmplacer.Peer{Agent: agent(2), IsUsable: true, IsLocal: true, HasLoad: true}
	with := func(p jmplacer.Peer, change func(*jmplacer.Peer)) jmplacer.Peer {
		change(&p)
		return p
	}
	busy := jasminemoor.Load{Mean: 900, Density: 100}
	third := jmplacer.Peer{Agent: agent(3), IsUsable: true, IsLocal: true, HasLoad: true, Load: jasminemoor.Load{Mean: 300}}
	cases := map[string]struct {
		situation jmplacer.Situation
		handTo    netip.AddrPort
		isDropped bool
	}{
		"both idle":                      {jmplacer.Situation{Second: second}, netip.AddrPort{}, false},
		"second has less load":           {jmplacer.Situation{Own: busy, Second: second}, agent(2), false},
		"load within the margin":         {jmplacer.Situation{Own: jasminemoor.Load{Mean: 100}, Second: second}, netip.AddrPort{}, false},
		"more flows at equal load":       {jmplacer.Situation{Own: jasminemoor.Load{Density: 1000}, Second: second}, agent(2), false},
		"more flows but less load":       {jmplacer.Situation{Own: jasminemoor.Load{Density: 1000}, Second: with(second, func(p *jmplacer.Peer) { p.Load.Mean = 500 })}, netip.AddrPort{}, false},
		"remote, load within the margin": {jmplacer.Situation{Own: jasminemoor.Load{Mean: 300}, Second: with(second, func(p *jmplacer.Peer) { p.IsLocal = false })}, netip.AddrPort{}, false},
		"remote, less load":              {jmplacer.Situation{Own: busy, Second: with(second, func(p *jmplacer.Peer) { p.IsLocal = false })}, agent(2), false},
		"second's load unknown":          {jmplacer.Situation{Own: busy, Second: with(second, func(p *jmplacer.Peer) { p.HasLoad = false })}, netip.AddrPort{}, false},
		"second is not usable":           {jmplacer.Situation{Own: busy, Second: with(second, func(p *jmplacer.Peer) { p.IsUsable = false })}, netip.AddrPort{}, false},
		"handed over once":               {jmplacer.Situation{Hops: 1, Own: busy, Second: second}, netip.AddrPort{}, false},
		"last hop":                       {jmplacer.Situation{Hops: jmplacer.MaxHops, Own: busy}, netip.AddrPort{}, false},
		"closed":                         {jmplacer.Situation{IsClosed: true, Second: second, Others: []jmplacer.Peer{third}}, agent(2), false},
		"closed, second is busy":         {jmplacer.Situation{IsClosed: true, Second: with(second, func(p *jmplacer.Peer) { p.Load.Mean = 800 }), Others: []jmplacer.Peer{third}}, agent(3), false},
		"closed, second's load unknown":  {jmplacer.Situation{IsClosed: true, Second: with(second, func(p *jmplacer.Peer) { p.HasLoad = false }), Others: []jmplacer.Peer{third}}, agent(3), false},
		"closed, handed over once":       {jmplacer.Situation{IsClosed: true, Hops: 1, Others: []jmplacer.Peer{third}}, agent(3), false},
		"closed, no other agent":         {jmplacer.Situation{IsClosed: true}, netip.AddrPort{}, true},
		"closed, last hop":               {jmplacer.Situation{IsClosed: true, Hops: jmplacer.MaxHops, Others: []jmplacer.Peer{third}}, netip.AddrPort{}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			choice := jmplacer.Choose(&tc.situation)
			require.Equal(t, tc.handTo, choice.HandTo, choice.Reason)
			require.Equal(t, tc.isDropped, choice.IsDropped)
			require.NotEmpty(t, choice.Reason)
		})
	}
}

func TestFirstFlights(t *testing.T) {
	var f jmplacer.FirstFlights
	now := time.Unix(1000, 0)
	choice := jmplacer.Choice{HandTo: agent(2)}
	f.Put(key(1), choice, now)
	got, found := f.Find(key(1), now.Add(time.Second))
	require.True(t, found)
	require.Equal(t, choice, got)
	_, found = f.Find(key(1), now.Add(time.Minute))
	require.False(t, found)
	_, found = f.Find([]byte("another length"), now)
	require.False(t, found)
	for i := range 100_000 {
		f.Put(key(i), choice, now)
	}
	_, found = f.Find(key(1), now)
	require.False(t, found, "a flood of choices evicts the oldest")
	_, found = f.Find(key(99_999), now)
	require.True(t, found)
}

func BenchmarkPick(b *testing.B) {
	var candidates []jmplacer.Candidate
	for i := range 10 {
		candidates = append(candidates, jmplacer.Candidate{Agent: agent(i), Weight: uint32(i%4 + 1)})
	}
	table := jmplacer.NewTable(candidates)
	id := key(1)
	b.ReportAllocs()
	for b.Loop() {
		table.Pick(id)
	}
}
