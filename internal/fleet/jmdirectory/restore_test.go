package jmdirectory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// restore returns the platform to what it was at a change. Later changes are lost.
func (f *fleet) restore(change uint64) {
	f.revision = jasminemoor.NewRevision(f.revision.Era()+1, change)
	kept := f.log[:0]
	for _, e := range f.log {
		if e.Revision.Change() <= change {
			kept = append(kept, e)
		}
	}
	f.log = kept
	for self := range f.calling {
		f.answerAt[self] = f.now
	}
}

// versions returns the version in force at each process.
func (f *fleet) versions() map[netip.Addr]uint64 {
	versions := make(map[netip.Addr]uint64)
	for self, m := range f.machines {
		if m.IsLoaded() {
			versions[self] = m.View(f.now).Version
		}
	}
	return versions
}

// restartProcess replaces a process by one that knows nothing.
func (f *fleet) restartProcess(self netip.Addr) {
	upstream := f.machines[self].Upstream
	delete(f.calling, self)
	f.machines[self] = &Machine{Self: self, Upstream: upstream, Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 1))}
}

// TestConfigAfterRestore restores the platform at random moments, also again, while versions
// are written and processes start and are cut off from the platform. In each process the
// version never goes back, and the newest one with its routes is in force everywhere in time.
func TestConfigAfterRestore(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, 3, 8)
			f.rand = rand.New(rand.NewPCG(seed, 7))
			f.run(2 * time.Second)
			version, entry := uint64(1), routingEntry(1, 0, 1, 2, 3)
			write := func() {
				version += 1 + f.rand.Uint64N(3)
				entry = routingEntry(version, 0, 1, uint16(version), uint16(100+f.rand.IntN(5)))
				f.write(entry)
			}
			before := f.versions()
			step := func(d time.Duration) {
				for end := f.now.Add(d); f.now.Before(end); {
					f.step()
					now := f.versions()
					for self, v := range now {
						require.GreaterOrEqual(t, v, before[self], self)
					}
					before = now
				}
			}
			for range 1 + f.rand.IntN(3) {
				kept := f.revision.Change() - f.rand.Uint64N(3)
				for range f.rand.IntN(5) {
					write()
					step(time.Duration(f.rand.IntN(400)) * time.Millisecond)
				}
				for self := range f.machines {
					f.isPartitioned[self] = true
				}
				step(time.Duration(f.rand.IntN(3000)) * time.Millisecond)
				f.restore(kept)
				for _, self := range f.turns() {
					f.isPartitioned[self] = f.rand.IntN(4) == 0
					if f.rand.IntN(4) == 0 {
						f.restartProcess(self)
						delete(before, self)
					}
				}
				step(time.Duration(f.rand.IntN(1500)) * time.Millisecond)
				f.write(entry) // again
			}
			if f.rand.IntN(2) == 0 {
				write()
			}
			for self := range f.isPartitioned {
				delete(f.isPartitioned, self)
			}
			step(3 * time.Second)
			var r replica
			r.applyEntries(f.now, &jasminemoor.DirectoryChanges{Revision: 1, Entries: []jasminemoor.Entry{entry}}, true)
			want := r.view(f.now).Routes
			for self, m := range f.machines {
				v := m.View(f.now)
				require.Equal(t, version, v.Version, self)
				require.Len(t, v.Routes, len(want), self)
				for addr := range want {
					require.Equal(t, want[addr].Route, v.Routes[addr].Route, self)
				}
			}
		})
	}
}

// TestOlderVersionFromRestoredPlatform has a process start with the older version that the
// platform was restored to. It pulls the newer one from the peer whose beacon has it, though
// their revisions are the same, and gives its own to none.
func TestOlderVersionFromRestoredPlatform(t *testing.T) {
	at := jasminemoor.NewRevision(1, 9)
	load := func(m *Machine, c *jasminemoor.DirectoryChanges) { m.HandleRead(startTime, Read{IsLoad: true}, c, nil) }
	reader := &Machine{Self: agentAddr(1), Upstream: netip.AddrPortFrom(agentAddr(1), 8080), Rand: rand.New(rand.NewPCG(1, 1))}
	load(reader, &jasminemoor.DirectoryChanges{Revision: 12, Entries: []jasminemoor.Entry{upstreamEntry(1, 2), routingEntry(5, 11, 1)}})
	restored := &jasminemoor.DirectoryChanges{Revision: at, Entries: []jasminemoor.Entry{upstreamEntry(1, at-3), routingEntry(4, at-1, 1, 2)}}
	load(reader, restored)
	started := &Machine{Self: agentAddr(2), Rand: rand.New(rand.NewPCG(2, 2))}
	load(started, restored)
	require.Equal(t, uint64(4), started.View(startTime).Version)

	b := reader.newBeacon(startTime, nil, at)
	require.Equal(t, at, b.Since)
	out := started.Handle(startTime, reader.Self, &Message{Beacon: b})
	require.Equal(t, []netip.Addr{reader.Self}, out.Pulls)
	request := started.PullRequest()
	started.HandlePullReply(startTime, request, reader.HandlePullRequest(startTime, request))
	require.Equal(t, uint64(5), started.View(startTime).Version)
	require.Len(t, started.View(startTime).Routes, 1)

	third := &Machine{Self: agentAddr(3), Rand: rand.New(rand.NewPCG(3, 3))}
	load(third, restored)
	request = reader.PullRequest()
	reader.HandlePullReply(startTime, request, third.HandlePullRequest(startTime, request))
	require.Equal(t, uint64(5), reader.View(startTime).Version)
}

// TestUpstreamAfterRestore covers what a copy tells of an upstream whose entry in the restored
// platform is older than the one that was lost. New flows must not go to one that is leaving.
func TestUpstreamAfterRestore(t *testing.T) {
	type entry = jasminemoor.Entry
	run := func(born int64, state jasminemoor.UpstreamState, revision jasminemoor.Revision) entry {
		e := upstreamEntry(1, revision)
		e.Upstream.Born, e.Upstream.State = born, state
		return e
	}
	const ready, leaving = jasminemoor.UpstreamReady, jasminemoor.UpstreamLeaving
	removal := entry{Key: "u/i-1", Revision: 11}
	after := func(change uint64) jasminemoor.Revision { return jasminemoor.NewRevision(1, change) }
	cases := map[string]struct {
		lost, restored []entry
		later          []entry // changes after the first listing
		isReady        bool
		born           int64
	}{
		"leaving, listed as ready":             {lost: []entry{run(5, leaving, 10)}, restored: []entry{run(5, ready, after(3))}, born: 5},
		"then written again":                   {lost: []entry{run(5, leaving, 10)}, restored: []entry{run(5, ready, after(3))}, later: []entry{run(5, leaving, after(13))}, born: 5},
		"left, listed as ready":                {lost: []entry{run(5, leaving, 10), removal}, restored: []entry{run(5, ready, after(3))}, born: 5},
		"lapsed, listed as ready":              {lost: []entry{removal}, restored: []entry{run(5, ready, after(3))}, isReady: true, born: 5},
		"unchanged":                            {restored: []entry{run(5, ready, after(3))}, isReady: true, born: 5},
		"next run, the former one is listed":   {lost: []entry{run(9, ready, 10)}, restored: []entry{run(5, ready, after(3))}, isReady: true, born: 9},
		"then the next run is written again":   {lost: []entry{run(9, ready, 10)}, restored: []entry{run(5, ready, after(3))}, later: []entry{run(9, ready, after(8))}, isReady: true, born: 9},
		"next run started since the restore":   {lost: []entry{run(5, leaving, 10)}, restored: []entry{run(9, ready, after(8))}, isReady: true, born: 9},
		"its clock was set back since":         {lost: []entry{run(5, leaving, 10)}, restored: []entry{run(2, ready, after(12))}, isReady: true, born: 2},
		"leaving is written before the load":   {restored: []entry{run(5, leaving, after(8))}, born: 5},
		"leaving in the restored copy as well": {lost: []entry{run(5, leaving, 4)}, restored: []entry{run(5, leaving, after(4))}, born: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := loaded(t, startTime, run(5, ready, 3), routeTo(1, 2, "shop"))
			read(m, startTime, false, tc.lost...)
			now := startTime.Add(time.Second)
			read(m, now, true, append(tc.restored, routeTo(1, after(2), "shop"))...)
			if tc.later != nil {
				read(m, now, false, tc.later...)
			}
			peer := &Machine{Self: agentAddr(3), Rand: rand.New(rand.NewPCG(3, 3))}
			learn(t, now, peer, m)
			for _, v := range []*View{m.View(now), peer.View(now)} {
				u := v.Upstreams[netip.AddrPortFrom(agentAddr(1), 8080)]
				require.NotNil(t, u)
				require.Equal(t, tc.isReady, u.IsReady())
				require.Equal(t, tc.born, u.Born)
			}
		})
	}
}

// TestEntriesMissingAfterRestore restores the platform to before an upstream registered and an
// evacuation began. Both stay in force everywhere until their entries are written again, or for
// restoreGrace.
func TestEntriesMissingAfterRestore(t *testing.T) {
	for name, isRewritten := range map[string]bool{"written again": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 6)
			f.run(2 * time.Second)
			kept := f.revision.Change()
			added := upstreamEntry(50, 0)
			f.write(added)
			f.write(evacuationEntry("a", 0, false))
			f.run(time.Second)
			inForce := func() (count int) {
				for _, m := range f.machines {
					v := m.View(f.now)
					u := v.Upstreams[added.Upstream.Address]
					if u != nil && u.IsReady() && len(v.Evacuated) == 1 {
						count++
					}
				}
				return count
			}
			require.Equal(t, len(f.machines), inForce())
			f.restore(kept)
			for range 40 {
				f.step()
				require.Equal(t, len(f.machines), inForce())
			}
			if isRewritten {
				f.write(added)
				f.write(evacuationEntry("a", 0, false))
			}
			f.run(3 * time.Second)
			if isRewritten {
				require.Equal(t, len(f.machines), inForce())
				return
			}
			require.Zero(t, inForce())
			f.run(viewRetention)
			for self, m := range f.machines {
				v := m.View(f.now)
				require.Empty(t, v.Evacuated, self)
				require.NotContains(t, v.Upstreams, added.Upstream.Address, self)
			}
		})
	}
}

// TestMissingEntriesLeaveViews checks that views are built anew once, when entries that are
// missing since a restore no longer count as present.
func TestMissingEntriesLeaveViews(t *testing.T) {
	for name, lost := range map[string]jasminemoor.Entry{"upstream": upstreamEntry(2, 3), "evacuation": evacuationEntry("a", 3, false)} {
		t.Run(name, func(t *testing.T) {
			m := loaded(t, startTime, upstreamEntry(1, 2), lost)
			read(m, startTime, true, upstreamEntry(1, jasminemoor.NewRevision(1, 2)))
			var built []time.Duration
			for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
				if m.Tick(startTime.Add(at)).HasNewView {
					built = append(built, at)
				}
			}
			require.Len(t, built, 1)
			require.Greater(t, built[0], restoreGrace)
			require.LessOrEqual(t, built[0], restoreGrace+expireInterval)
		})
	}
}

// TestConclusionsAfterRestore covers what a copy concludes from listings about the past, which
// decides who is asked for a lost flow. The restored platform lists an upstream that has ended
// and lacks the next one at its address, which started 9 s ago and holds flows. A process that
// starts after the restore knows only that.
func TestConclusionsAfterRestore(t *testing.T) {
	const age = 9 * time.Second // of the next upstream at the restore
	now := startTime.Add(age)
	addr := netip.AddrPortFrom(agentAddr(1), 8080)
	after := func(change uint64) jasminemoor.Revision { return jasminemoor.NewRevision(1, change) }
	ended := upstreamEntry(1, 3)
	ended.Upstream.Born = startTime.Add(-time.Minute).UnixMilli()
	next := upstreamEntry(1, 6)
	next.Key, next.Upstream.ID, next.Upstream.Born = "u/i-9", "i-9", startTime.UnixMilli()
	restored := func(e jasminemoor.Entry, change uint64) jasminemoor.Entry {
		e.Revision = after(change)
		return e
	}
	listing := []jasminemoor.Entry{restored(ended, 3), routeTo(1, after(2), "shop")}
	cases := map[string]func(t *testing.T) *Machine{
		"running before": func(t *testing.T) *Machine {
			m := loaded(t, startTime.Add(-20*time.Second), ended, routeTo(1, 2, "shop"))
			read(m, startTime.Add(-19*time.Second), false, routeTo(2, 4, "desk"))
			read(m, startTime.Add(100*time.Millisecond), false, jasminemoor.Entry{Key: ended.Key, Revision: 5}, next)
			read(m, now, true, listing...)
			return m
		},
		"started since": func(t *testing.T) *Machine { return loaded(t, now, listing...) },
	}
	for name, start := range cases {
		t.Run(name, func(t *testing.T) {
			m := start(t)
			if v := m.View(now); v.Version == 2 {
				former := v.Routes[netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), 1)].Former
				require.Equal(t, []FormerService{{Service: "shop", LeftAt: now.Add(restoreGrace)}}, former,
					"a process that has just started may still use it")
			}
			rewrittenAt := now.Add(1200 * time.Millisecond)
			read(m, rewrittenAt, false, restored(next, 8))
			u := m.View(rewrittenAt).Upstreams[addr]
			require.Equal(t, "i-9", u.ID)
			require.False(t, u.StartedAfter.After(startTime), "it may hold flows since its start")
			require.False(t, u.ListedSince.Before(now), "processes may lack it until it is written again")
		})
	}
	t.Run("first copy with both", func(t *testing.T) {
		both := loaded(t, now, append(listing, restored(next, 8))...)
		u := both.View(now).Upstreams[addr]
		require.Equal(t, "i-9", u.ID)
		require.False(t, u.StartedAfter.After(startTime))
		require.False(t, u.ListedSince.Before(now))
	})
}

// TestListIsCompleteAfterRestore covers from when a view counts as complete: some time after
// the restore, which a process that has started since learns from a peer.
func TestListIsCompleteAfterRestore(t *testing.T) {
	restored := upstreamEntry(1, jasminemoor.NewRevision(1, 2))
	running := loaded(t, startTime, upstreamEntry(1, 2))
	require.Zero(t, running.View(startTime).CompleteAt)
	read(running, startTime, true, restored)
	require.Equal(t, startTime.Add(restoreGrace), running.View(startTime).CompleteAt)

	now := startTime.Add(time.Second)
	started := loaded(t, now, restored)
	require.Equal(t, now.Add(historyAsks*historyAskInterval), started.View(now).CompleteAt, "until peers were asked")
	alone := loaded(t, now, restored)
	require.False(t, learn(t, now, started, alone).HasNewView, "a peer that does not know either")
	require.True(t, learn(t, now, started, running).HasNewView)
	require.Equal(t, startTime.Add(restoreGrace), started.View(now).CompleteAt)
	require.False(t, learn(t, now, running, started).HasNewView)

	first := &Machine{Self: agentAddr(9), Rand: rand.New(rand.NewPCG(1, 1))}
	learn(t, now, first, running)
	require.Equal(t, startTime.Add(restoreGrace), first.View(now).CompleteAt)
}
