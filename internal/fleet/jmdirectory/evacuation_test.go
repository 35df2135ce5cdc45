package jmdirectory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

func evacuationEntry(dataCentre string, revision jasminemoor.Revision, isOver bool) jasminemoor.Entry {
	return jasminemoor.Entry{
		Key: "evacuate/" + dataCentre, Revision: revision, Evacuation: &jasminemoor.Evacuation{DataCentre: dataCentre, IsOver: isOver},
	}
}

// TestEvacuations covers which data centres are evacuated after a sequence of answers of
// the platform, in the copy itself and in one made from a peer's at each step.
func TestEvacuations(t *testing.T) {
	type change struct {
		isWhole  bool
		revision jasminemoor.Revision
		entries  []jasminemoor.Entry
	}
	begin := func(name string, revision jasminemoor.Revision) jasminemoor.Entry {
		return evacuationEntry(name, revision, false)
	}
	end := func(name string, revision jasminemoor.Revision) jasminemoor.Entry {
		return evacuationEntry(name, revision, true)
	}
	list := func(entries ...jasminemoor.Entry) []jasminemoor.Entry { return entries }
	cases := map[string]struct {
		changes []change
		want    []string
	}{
		"none":                          {[]change{{true, 5, nil}}, nil},
		"in the first listing":          {[]change{{true, 5, list(begin("a", 3))}}, []string{"a"}},
		"begins later":                  {[]change{{true, 5, nil}, {false, 6, list(begin("a", 6))}}, []string{"a"}},
		"several":                       {[]change{{true, 5, list(begin("b", 3))}, {false, 6, list(begin("a", 6))}}, []string{"a", "b"}},
		"ends":                          {[]change{{true, 5, list(begin("a", 3))}, {false, 6, list(end("a", 6))}}, nil},
		"again":                         {[]change{{true, 5, list(begin("a", 3))}, {false, 6, list(end("a", 6))}, {false, 7, list(begin("a", 7))}}, []string{"a"}},
		"begin of before the end":       {[]change{{true, 5, list(begin("a", 3))}, {false, 6, list(end("a", 6))}, {false, 6, list(begin("a", 3))}}, nil},
		"end of before it began again":  {[]change{{true, 8, list(begin("a", 8))}, {false, 9, list(end("a", 6))}}, []string{"a"}},
		"missing in a newer listing":    {[]change{{true, 5, list(begin("a", 3), begin("b", 4))}, {true, 9, list(begin("b", 4))}}, []string{"b"}},
		"missing in an older listing":   {[]change{{true, 5, nil}, {false, 8, list(begin("a", 8))}, {true, 7, nil}}, []string{"a"}},
		"both in one answer, end first": {[]change{{true, 5, nil}, {false, 9, list(end("a", 9), begin("a", 8))}}, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var own, peer replica
			for _, c := range tc.changes {
				entries := append([]jasminemoor.Entry{routingEntry(1, 1, 1), upstreamEntry(1, 2)}, c.entries...)
				own.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: c.revision, Entries: entries}, c.isWhole)
				own.asOf = startTime
				items, isWhole := own.delta(&PullRequest{Since: peer.revision})
				peer.merge(startTime, items, own.revision, isWhole)
			}
			require.Equal(t, tc.want, own.view(startTime).Evacuated)
			require.Equal(t, tc.want, peer.view(startTime).Evacuated)
			items, _ := own.delta(&PullRequest{})
			var late replica
			late.merge(startTime, items, own.revision, true)
			require.Equal(t, tc.want, late.view(startTime).Evacuated)
		})
	}
}

// TestEvacuatedUpstreams covers what a view says of an upstream before, during and after
// the evacuation of its data centre. Its rank and history stay.
func TestEvacuatedUpstreams(t *testing.T) {
	addr := netip.AddrPortFrom(agentAddr(1), 8080)
	first, second := upstreamEntry(1, 2), upstreamEntry(2, 2)
	first.Upstream.DataCentre, second.Upstream.DataCentre = "a", "b"
	var r replica
	r.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 5, Entries: []jasminemoor.Entry{first, second}}, true)
	r.asOf = startTime
	require.Empty(t, r.view(startTime).EvacuationLoads())

	r.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 6, Entries: []jasminemoor.Entry{evacuationEntry("a", 6, false)}}, false)
	v := r.view(startTime)
	u := v.Upstreams[addr]
	require.True(t, u.IsEvacuated && u.IsInRank() && !u.IsReady())
	require.Equal(t, startTime, u.ListedSince)
	require.True(t, v.Upstreams[netip.AddrPortFrom(agentAddr(2), 8080)].IsReady())
	require.Equal(t, []EvacuationLoad{{Service: "shop", Slots: 10, SlotsLeft: 5}}, v.EvacuationLoads())

	end := startTime.Add(10 * time.Second)
	r.applyEntries(end, &jasminemoor.DirectoryChanges{Revision: 7, Entries: []jasminemoor.Entry{evacuationEntry("a", 7, true)}}, false)
	u = r.view(end).Upstreams[addr]
	require.True(t, u.IsReady())
	require.Equal(t, startTime, u.ListedSince)
	require.Zero(t, u.ReturnShare(end))
	require.InDelta(t, 0.5, u.ReturnShare(end.Add(returnTime/2)), 0.001)
	require.InDelta(t, 1, u.ReturnShare(end.Add(returnTime)), 0)

	end = end.Add(tombstoneRetention + time.Second)
	r.expire(end)
	require.Zero(t, r.view(end).Upstreams[addr].ReturnedAt)
	_, isWhole := r.delta(&PullRequest{Since: 6})
	require.True(t, isWhole, "a peer that still has the evacuation gets a whole copy")
}

// TestEvacuationIsEverywhereInTime has evacuations begin and end under faults. Each is in
// force everywhere within 3 s, and processes that start later have it as well, or no copy while
// the store is down.
func TestEvacuationIsEverywhereInTime(t *testing.T) {
	const bound = 3 * time.Second
	eachProcess := func(f *fleet, do func(netip.Addr)) {
		for self := range f.machines {
			do(self)
		}
	}
	cases := map[string]struct{ before, after func(f *fleet) }{
		"no fault":           {},
		"the reader cut off": {before: func(f *fleet) { f.eachReader(func(a netip.Addr) { f.isPartitioned[a] = true }) }},
		"the reader dead":    {before: func(f *fleet) { f.eachReader(func(a netip.Addr) { f.isDead[a] = true }) }},
		"all agents cut off": {before: func(f *fleet) { f.eachAgent(func(a netip.Addr) { f.isPartitioned[a] = true }) }},
		"the store goes down afterwards": {after: func(f *fleet) {
			eachProcess(f, func(a netip.Addr) { f.isPartitioned[a] = true })
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 10)
			f.run(3 * time.Second)
			if tc.before != nil {
				tc.before(f)
			}
			f.write(evacuationEntry("a", 0, false))
			f.write(evacuationEntry("b", 0, false))
			require.Less(t, f.convergenceTime(10*time.Second), bound)
			if tc.after != nil {
				tc.after(f)
			}
			late := balancerAddr(99)
			f.add(late, netip.AddrPort{})
			f.machines[late].Seeds = []netip.Addr{agentAddr(1), agentAddr(2), agentAddr(3)}
			f.isPartitioned[late] = f.isPartitioned[balancerAddr(1)]
			f.run(bound)
			for self, m := range f.machines {
				if !f.isDead[self] && (m.IsLoaded() || tc.after == nil) {
					require.Equal(t, []string{"a", "b"}, m.View(f.now).Evacuated, self)
				}
			}
			if tc.after != nil {
				clear(f.isPartitioned)
			}
			f.write(evacuationEntry("a", 0, true))
			require.Less(t, f.convergenceTime(10*time.Second), bound)
			for self, m := range f.machines {
				if !f.isDead[self] {
					require.Equal(t, []string{"b"}, m.View(f.now).Evacuated, self)
				}
			}
		})
	}
}
