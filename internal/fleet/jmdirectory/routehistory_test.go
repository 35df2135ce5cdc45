package jmdirectory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

// routeTo is version v of the routes, with one route to the services, or none.
func routeTo(version uint64, revision jasminemoor.Revision, services ...string) jasminemoor.Entry {
	e := routingEntry(version, revision)
	if len(services) > 0 {
		e = routingEntry(version, revision, 1)
		e.Routing.Routes[0].Shares = nil
	}
	for _, name := range services {
		e.Routing.Routes[0].Shares = append(e.Routing.Routes[0].Shares, jasminemoor.Share{Service: name, Weight: 1})
	}
	return e
}

// loaded returns a process whose copy is from the platform.
func loaded(t *testing.T, now time.Time, entries ...jasminemoor.Entry) *Machine {
	f := newFleet(t, 0, 0)
	f.add(agentAddr(1), netip.AddrPortFrom(agentAddr(1), 8080))
	m := f.machines[agentAddr(1)]
	read(m, now, true, entries...)
	return m
}

func read(m *Machine, now time.Time, isLoad bool, entries ...jasminemoor.Entry) {
	c := &jasminemoor.DirectoryChanges{Entries: entries}
	for _, e := range entries {
		c.Revision = max(c.Revision, e.Revision)
	}
	m.HandleRead(now, Read{IsLoad: isLoad}, c, nil)
}

// learn has m pull from a peer, by its encoded answer.
func learn(t *testing.T, now time.Time, m, peer *Machine, edit ...func(r *PullReply)) Output {
	request := m.PullRequest()
	body, err := msgpack.Marshal(peer.HandlePullRequest(now, request))
	require.NoError(t, err)
	reply := &PullReply{}
	require.NoError(t, msgpack.Unmarshal(body, reply))
	for _, each := range edit {
		each(reply)
	}
	return m.HandlePullReply(now, request, reply)
}

// TestRouteHistory covers what a copy knows of the services that a route had, and since
// when.
func TestRouteHistory(t *testing.T) {
	at := func(d time.Duration) time.Time { return startTime.Add(d * time.Second) }
	upstream := upstreamEntry(1, 1)
	old := func(t *testing.T) *Machine { // saw the route move from the shop to the desk at 20 s
		m := loaded(t, at(0), upstream, routeTo(1, 2, "shop"))
		read(m, at(20), false, routeTo(2, 3, "desk"))
		return m
	}
	former := func(service string, left time.Duration) FormerService { return FormerService{service, at(left)} }
	cases := map[string]struct {
		run    func(t *testing.T) *Machine
		former []FormerService
		since  time.Time
	}{
		"saw the change": {old, []FormerService{former("shop", 20)}, at(0)},
		"started after it, from the platform": {func(t *testing.T) *Machine {
			return loaded(t, at(21), upstream, routeTo(2, 3, "desk"))
		}, nil, at(21)},
		"then learns from a peer with the same revision": {func(t *testing.T) *Machine {
			m := loaded(t, at(21), upstream, routeTo(2, 3, "desk"))
			require.True(t, learn(t, at(22), m, old(t)).HasNewView)
			require.False(t, learn(t, at(23), m, old(t)).HasNewView, "nothing new")
			return m
		}, []FormerService{former("shop", 20)}, at(0)},
		"first copy from a peer": {func(t *testing.T) *Machine {
			f := newFleet(t, 0, 0)
			f.add(agentAddr(2), netip.AddrPort{})
			learn(t, at(22), f.machines[agentAddr(2)], old(t))
			return f.machines[agentAddr(2)]
		}, []FormerService{former("shop", 20)}, at(0)},
		"peer of an earlier release": {func(t *testing.T) *Machine {
			m := loaded(t, at(21), upstream, routeTo(2, 3, "desk"))
			learn(t, at(22), m, old(t), func(r *PullReply) { r.RouteHistory = nil })
			return m
		}, nil, at(21)},
		"numbers of versions skip": {func(t *testing.T) *Machine {
			m := old(t)
			read(m, at(30), false, routeTo(4, 9, "shop"))
			return m
		}, []FormerService{former("shop", 20), former("desk", 30)}, at(0)},
		"a listing may have missed a version": {func(t *testing.T) *Machine {
			m := old(t)
			read(m, at(30), true, upstream, routeTo(4, 9, "shop"))
			return m
		}, []FormerService{former("shop", 20), former("desk", 30)}, at(30)},
		"a listing has the next version": {func(t *testing.T) *Machine {
			m := old(t)
			read(m, at(30), true, upstream, routeTo(3, 9, "shop"))
			return m
		}, []FormerService{former("shop", 20), former("desk", 30)}, at(0)},
		"missed a version that a peer had": {func(t *testing.T) *Machine {
			m, peer := loaded(t, at(10), upstream, routeTo(1, 2, "shop")), old(t)
			read(peer, at(30), false, routeTo(3, 9, "shop"))
			learn(t, at(31), m, peer)
			return m
		}, []FormerService{former("shop", 31), former("desk", 30)}, at(0)},
		"missed a version before the peer started": {func(t *testing.T) *Machine {
			m, peer := loaded(t, at(0), upstream, routeTo(1, 2, "shop")), loaded(t, at(30), upstream, routeTo(3, 9, "shop"))
			learn(t, at(31), m, peer)
			return m
		}, []FormerService{former("shop", 31)}, at(30)},
		"dropped and put back": {func(t *testing.T) *Machine {
			m := old(t)
			read(m, at(30), false, routeTo(3, 9))
			read(m, at(31), false, routeTo(4, 10, "cart"))
			return m
		}, []FormerService{former("shop", 20), former("desk", 30)}, at(0)},
		"returns and leaves again": {func(t *testing.T) *Machine {
			m := old(t)
			read(m, at(30), false, routeTo(3, 9, "shop"))
			read(m, at(40), false, routeTo(4, 10, "desk"))
			return m
		}, []FormerService{former("shop", 40), former("desk", 30)}, at(0)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v := tc.run(t).View(at(60))
			require.Equal(t, tc.since, v.RoutesKnownSince, "known since")
			require.Len(t, v.Routes, 1)
			for _, route := range v.Routes {
				require.Equal(t, tc.former, route.Former)
			}
		})
	}
}

// TestPeersKnowWhatWasMissed has the reader get a version whose number skips, by a watch
// and by a listing. The other processes know as much of the routes' past as the reader does.
func TestPeersKnowWhatWasMissed(t *testing.T) {
	for name, isLoad := range map[string]bool{"watch": false, "listing": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 12)
			f.run(5 * time.Second)
			before := f.now
			if isLoad {
				// The platform's history goes while nobody reaches it.
				for addr := range f.machines {
					f.isPartitioned[addr] = true
				}
				f.run(3 * time.Second)
				for _, m := range f.machines {
					m.mustLoad = true
				}
				clear(f.isPartitioned)
			}
			f.write(routeTo(9, 0, "desk"))
			f.run(6 * time.Second)
			for addr, m := range f.machines {
				require.Equal(t, uint64(9), m.View(f.now).Version, addr)
				require.Equal(t, isLoad, m.View(f.now).RoutesKnownSince.After(before), addr)
			}
		})
	}
}

// TestNewProcessLearnsHistory starts a balancer after the routes have moved. It loads its
// copy from the platform and learns the former service from a peer within a second.
func TestNewProcessLearnsHistory(t *testing.T) {
	f := newFleet(t, 3, 12)
	f.run(5 * time.Second)
	f.write(routeTo(2, 0, "desk"))
	f.run(2 * time.Second)
	joined := f.now
	f.add(balancerAddr(9), netip.AddrPort{})
	f.run(time.Second)
	v := f.machines[balancerAddr(9)].View(f.now)
	require.True(t, v.RoutesKnownSince.Before(joined.Add(-5*time.Second)))
	require.Len(t, v.Routes, 1)
	for _, route := range v.Routes {
		require.Len(t, route.Former, 1)
		require.Equal(t, "shop", route.Former[0].Service)
	}
}

// earlierPullReply is the form of PullReply before RouteHistory.
type earlierPullReply struct {
	Revision uint64
	IsWhole  bool
	Items    []Item
	Age      time.Duration
}

// TestEarlierReleaseReadsReply has a process of an earlier release read an answer with a
// history.
func TestEarlierReleaseReadsReply(t *testing.T) {
	m := loaded(t, startTime, upstreamEntry(1, 1), routeTo(1, 2, "shop"))
	read(m, startTime.Add(time.Second), false, routeTo(2, 3, "desk"))
	body, err := msgpack.Marshal(m.HandlePullRequest(startTime.Add(time.Minute), &PullRequest{}))
	require.NoError(t, err)
	var reply earlierPullReply
	require.NoError(t, msgpack.Unmarshal(body, &reply))
	require.Equal(t, uint64(3), reply.Revision)
	require.NotEmpty(t, reply.Items)
}

// TestTwoConfigurationsInAnswer has a reader get two versions of the routes in one answer.
// Its beacon brings the newer one to peers that have neither, or only the first.
func TestTwoConfigurationsInAnswer(t *testing.T) {
	agents := []jasminemoor.Entry{upstreamEntry(1, 1), upstreamEntry(2, 1), routeTo(1, 2, "shop")}
	first, second := routeTo(3, 3, "desk"), routeTo(6, 4, "cart")
	second.Routing.IdleTimeout = time.Minute
	for name, had := range map[string][]jasminemoor.Entry{"neither": nil, "the first": {first}} {
		t.Run(name, func(t *testing.T) {
			now := startTime.Add(time.Second)
			reader, peer := loaded(t, startTime, agents...), loaded(t, startTime, agents...)
			peer.Self = agentAddr(2)
			if had != nil {
				read(peer, now, false, had...)
			}
			c := &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{first, second}}
			out := reader.HandleRead(now, Read{Since: 2}, c, nil)
			at := slices.IndexFunc(out.Sends, func(s Send) bool { return s.To == peer.Self })
			require.GreaterOrEqual(t, at, 0)
			out = peer.Handle(now, reader.Self, out.Sends[at].Message)
			require.Empty(t, out.Pulls)
			v, want := peer.View(now), reader.View(now)
			require.Equal(t, want.Version, v.Version)
			require.Equal(t, want.IdleTimeout, v.IdleTimeout)
			require.Equal(t, want.Routes, v.Routes)
		})
	}
}
