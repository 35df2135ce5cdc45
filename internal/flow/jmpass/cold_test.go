package jmpass

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

func coldRate(rate float64) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.Services["shop"].ColdRate = rate }
}

// warmAt has upstream i warm at a time after the start.
func warmAt(i int, after time.Duration) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(i)].WarmAt = startTime.Add(after) }
}

// run lists another run of the first upstream.
func run(born int64) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(1)].Born = born }
}

// openingFrom returns the opening packet of caller i.
func openingFrom(i int) *jasminemoor.Packet {
	p := openingPacket(shop)
	p.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1025)
	return p
}

// coldWorld is the agent of an upstream through random restarts of both.
type coldWorld struct {
	*rand.Rand
	t     *testing.T
	agent *Agent
	now   time.Time // clock of the agent
	real  time.Time // goes on while the instance is suspended
	rate  float64
	// isWatched is set if the agent holds a connection to the upstream.
	isWatched bool
	copy      Snapshot // the agent's copy of the directory

	born     int64
	warmAt   time.Time
	openings []time.Time // of the upstream while it is cold, in real time
	held     []int       // callers whose flows the upstream holds
	caller   int
	total    int // openings of cold upstreams, and the most in a second of each
	most     int
	handedOn int
	limited  int // openings of warm upstreams that were not given to them
}

func (w *coldWorld) pass(d time.Duration) { w.now, w.real = w.now.Add(d), w.real.Add(d) }

// publish has the agent's copy of the directory complete as of now.
func (w *coldWorld) publish() {
	w.copy = snapshot(3, coldRate(w.rate), run(w.born), func(v *jmdirectory.View) {
		// The time of the agent's clock passes more slowly.
		v.Upstreams[upstreamAddr(1)].WarmAt = w.now.Add(w.warmAt.Sub(w.real))
	})
	w.copy.AsOf = w.now
	w.agent.SetSnapshot(w.copy)
}

// startAgent starts the agent again, with the copy of before, as peers have it.
func (w *coldWorld) startAgent() {
	w.agent = &Agent{Self: agentAddr(1), Upstream: upstreamAddr(1), Service: "shop", ColdOverrun: 1.5, ColdSlack: 5}
	w.agent.SetSnapshot(w.copy)
	w.agent.Tick(w.now)
	w.watch(true)
}

// watch tells the agent of its connection to the upstream, if it holds one.
func (w *coldWorld) watch(isHeld bool) {
	if w.isWatched {
		w.agent.HandleWatch(w.now, isHeld)
	}
}

// startUpstream starts the upstream again. Its agent learns of it by its connection, by a
// probe, by a packet of a lost flow or from the directory, and may still read a packet of the
// former run.
func (w *coldWorld) startUpstream() {
	w.check()
	held := w.held
	w.watch(false)
	if w.IntN(2) == 0 {
		w.answer()
	}
	if !w.isWatched {
		// No packet, and nothing else, for so long.
		w.pass(maxUnwatched + time.Millisecond)
	}
	w.born, w.held, w.openings = w.born+1, nil, nil
	w.warmAt = w.real.Add(2 * time.Second)
	switch w.IntN(4) {
	case 0:
		w.publish()
	case 1:
		w.agent.HandleProbe(w.now, ProbeRefused)
		w.agent.HandleProbe(w.now, ProbeAccepted)
	case 2:
		if len(held) > 0 {
			p := openingFrom(held[w.IntN(len(held))])
			p.Flags = jasminemoor.FlagAck | jasminemoor.FlagReturned
			w.agent.HandleUpstream(w.now, p, nil, false)
		}
	}
	w.watch(true)
}

// answer has the upstream send a packet of an open flow.
func (w *coldWorld) answer() {
	if len(w.held) == 0 {
		return
	}
	answer := upstreamPacket(jasminemoor.FlagAck, 10)
	answer.Destination = openingFrom(w.held[w.IntN(len(w.held))]).Source
	w.agent.HandleUpstream(w.now, answer, nil, false)
}

// open sends an opening packet. The agent may be paused between its decision and the
// packet.
func (w *coldWorld) open() {
	w.caller++
	h := forwardHeader(0)
	h.Hops = uint8(w.IntN(maxHops + 1))
	p := openingFrom(w.caller)
	out, reason := w.agent.HandlePeer(w.now, balancerAddr, h, p, nil)
	if w.IntN(300) == 0 {
		w.pass(time.Duration(w.Int64N(int64(500 * time.Millisecond))))
	}
	if reason == ReasonCold {
		w.handedOn++
	}
	if find(out, ToUpstream) == nil {
		if !w.real.Before(w.warmAt) {
			w.limited++
		}
		return
	}
	if w.real.Before(w.warmAt) {
		w.openings = append(w.openings, w.real)
		w.total++
	}
	answer := upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	answer.Destination = p.Source
	w.agent.HandleUpstream(w.now, answer, nil, false)
	data := *p
	data.Flags, data.Sequence, data.Acknowledged = jasminemoor.FlagAck, callerSequence+1, upstreamSequence+1
	w.agent.HandlePeer(w.now, balancerAddr, forwardHeader(jmhop.FlagKnown), &data, nil)
	w.held = append(w.held[max(len(w.held)-20, 0):], w.caller)
}

// check checks the openings of the upstream while it was cold.
func (w *coldWorld) check() {
	limit := int(w.rate*1.5 + 5)
	for first, end := 0, 0; first < len(w.openings); first++ {
		for end < len(w.openings) && w.openings[end].Sub(w.openings[first]) <= time.Second {
			end++
		}
		require.LessOrEqual(w.t, end-first, limit)
		w.most = max(w.most, 100*(end-first)/limit)
	}
}

// TestColdUpstreamNeverAboveLimit sends thousands of opening packets at random times.
// Agent and upstream are restarted, the instance is suspended, the agent is paused, and its
// connection to the upstream ends though that goes on.
func TestColdUpstreamNeverAboveLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			w := &coldWorld{Rand: rand.New(rand.NewPCG(seed, 3)), t: t, now: startTime, real: startTime, isWatched: seed%4 > 0}
			w.rate = 0.5 + float64(w.IntN(40))
			w.warmAt = w.real.Add(2 * time.Second)
			w.agent = &Agent{}
			w.publish()
			w.startAgent()
			for range 20_000 {
				switch w.IntN(2000) {
				case 0, 1, 2, 3:
					w.pass(time.Duration(w.Int64N(int64(400 * time.Millisecond))))
					w.startAgent()
				case 4, 5:
					w.startUpstream()
				case 6:
					w.real = w.real.Add(time.Duration(w.Int64N(int64(3 * time.Second))))
				case 7, 8, 9:
					w.publish()
				case 10:
					w.watch(false)
					w.watch(true)
				}
				w.pass(time.Duration(w.Int64N(int64(6 * time.Millisecond))))
				w.open()
				if w.IntN(4) == 0 {
					w.agent.Tick(w.now)
				}
				if w.IntN(10) == 0 {
					w.answer()
				}
			}
			w.check()
			require.Positive(t, w.handedOn)
			require.Greater(t, w.total, 20)
			require.Greater(t, w.most, 60, "percent of the limit")
		})
	}
}

// TestQuietRestart has an upstream start again while its agent sends it nothing, and then sends
// opening packets before the directory has the new run. Nothing else tells the agent.
func TestQuietRestart(t *testing.T) {
	const lag = 3 * time.Second // of the entry
	cases := map[string]struct {
		down       time.Duration
		isWatched  bool
		killsAgent time.Duration // after the restart, 0 for never
		storeDown  time.Duration // for so long after the restart, the agent's copy stays as it was
	}{
		"down for a second":             {down: 1170 * time.Millisecond, isWatched: true},
		"no time down":                  {isWatched: true},
		"agent killed at once":          {isWatched: true, killsAgent: time.Millisecond},
		"agent killed later":            {isWatched: true, killsAgent: 700 * time.Millisecond},
		"store down":                    {isWatched: true, storeDown: 8 * time.Second},
		"store down, agent killed":      {isWatched: true, storeDown: 8 * time.Second, killsAgent: 700 * time.Millisecond},
		"no connection":                 {down: 1170 * time.Millisecond},
		"no connection, store down":     {down: 1170 * time.Millisecond, storeDown: 8 * time.Second},
		"no connection, agent killed":   {down: 300 * time.Millisecond, killsAgent: 700 * time.Millisecond},
		"no connection, no time down":   {},
		"no connection, killed at once": {killsAgent: time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := &coldWorld{Rand: rand.New(rand.NewPCG(1, 1)), t: t, now: startTime, real: startTime, rate: 4, isWatched: tc.isWatched}
			w.agent = &Agent{}
			w.publish()
			w.startAgent()
			run := func(d time.Duration, publishes bool, each func()) {
				for end := w.now.Add(d); w.now.Before(end); {
					w.pass(25 * time.Millisecond)
					w.agent.Tick(w.now)
					if publishes {
						w.publish()
					}
					each()
				}
			}
			burst := func() {
				for range 3 {
					w.open()
					w.answer()
				}
			}
			run(5*time.Second, true, burst)
			if tc.isWatched {
				require.False(t, w.agent.isCold(w.now))
			}
			run(time.Second, true, func() {})
			w.watch(false)
			run(tc.down, false, func() {})
			w.born, w.held, w.openings = w.born+1, nil, nil
			w.warmAt = w.real.Add(max(lag, tc.storeDown))
			w.watch(true)
			if tc.killsAgent > 0 {
				run(tc.killsAgent, false, burst)
				w.startAgent()
			}
			run(max(lag, tc.storeDown)-tc.killsAgent, false, burst)
			w.check()
			require.Greater(t, w.most, 60, "percent of the limit")
			run(6*time.Second, true, burst)
			w.check()
			w.limited = 0
			run(time.Second, true, burst)
			require.Zero(t, w.limited, "openings though the upstream is listed as warm")
		})
	}
}

// TestConnectionEndsButUpstreamGoesOn has the agent's connection end while the upstream goes
// on. The first packet of an older flow shows that.
func TestConnectionEndsButUpstreamGoesOn(t *testing.T) {
	a := newAgent(true, snapshot(3, coldRate(4)))
	a.Tick(startTime)
	a.HandleWatch(startTime, true)
	openFlow(t, a)
	require.False(t, a.isCold(startTime))
	end := startTime.Add(time.Minute)
	answer := func(at time.Duration) bool {
		a.HandleUpstream(end.Add(at), upstreamPacket(jasminemoor.FlagAck, 10), nil, false)
		return a.isCold(end.Add(at))
	}
	a.HandleWatch(end, false)
	a.HandleWatch(end, true)
	require.True(t, a.isCold(end))
	require.True(t, answer(50*time.Millisecond), "it may have been sent before")
	require.True(t, answer(minProofDelay), "the agent has not run since")
	for i := range minProofTicks {
		a.Tick(end.Add(minProofDelay + time.Duration(i)*time.Millisecond))
	}
	require.False(t, answer(minProofDelay+50*time.Millisecond))
}

// TestIsCold says of an agent whose service has a limit whether it takes its upstream for
// cold.
func TestIsCold(t *testing.T) {
	const later = 5 * time.Second
	noEntry := func(v *jmdirectory.View) { delete(v.Upstreams, upstreamAddr(1)) }
	olderFlow := func(a *Agent) { a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck, 10), nil, false) }
	probe := func(a *Agent) { a.HandleProbe(startTime, ProbeRefused) }
	reconnect := func(a *Agent) {
		a.HandleWatch(startTime, false)
		a.HandleWatch(startTime, true)
	}
	disconnect := func(a *Agent) { a.HandleWatch(startTime, false) }
	cases := map[string]struct {
		isFirstStart  bool
		before, after []func(v *jmdirectory.View)
		event         func(a *Agent)
		at            time.Duration
		storeDown     bool
		isCold        bool
	}{
		"first start":                  {isFirstStart: true},
		"listed as cold":               {isFirstStart: true, after: []func(*jmdirectory.View){warmAt(1, time.Second)}, isCold: true},
		"listed as cold, over":         {isFirstStart: true, after: []func(*jmdirectory.View){warmAt(1, time.Second)}, at: time.Second},
		"agent restarted":              {isCold: true},
		"agent restarted, older flow":  {event: olderFlow, isCold: true},
		"agent restarted, later":       {at: later},
		"agent restarted, store down":  {at: later, storeDown: true, isCold: true},
		"no entry":                     {after: []func(*jmdirectory.View){noEntry}, at: later, isCold: true},
		"entry lapsed, was warm":       {isFirstStart: true, event: func(a *Agent) { a.isCold(startTime) }, after: []func(*jmdirectory.View){noEntry}},
		"seen down":                    {isFirstStart: true, event: probe, isCold: true},
		"seen down, entry removed":     {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){noEntry}, at: later, isCold: true},
		"seen down, new run listed":    {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){run(7)}},
		"seen down, new run is cold":   {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){run(7), warmAt(1, later)}, isCold: true},
		"seen down, nothing new":       {isFirstStart: true, event: probe, at: later},
		"seen down, store down":        {isFirstStart: true, event: probe, at: later, storeDown: true, isCold: true},
		"seen down, store down longer": {isFirstStart: true, event: probe, at: maxWarmUp, storeDown: true},
		"connection ended":             {isFirstStart: true, event: reconnect, isCold: true},
		"connection ended, later":      {isFirstStart: true, event: reconnect, at: later},
		"connection ended, store down": {isFirstStart: true, event: reconnect, at: later, storeDown: true, isCold: true},
		"no connection":                {isFirstStart: true, event: disconnect, at: later, isCold: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(tc.isFirstStart, snapshot(3, coldRate(20)))
			a.Tick(startTime)
			a.HandleWatch(startTime, true)
			if tc.event != nil {
				tc.event(a)
			}
			s := snapshot(3, append(tc.after, coldRate(20))...)
			if !tc.storeDown {
				s.AsOf = startTime.Add(tc.at)
			}
			a.SetSnapshot(s)
			require.Equal(t, tc.isCold, a.isCold(startTime.Add(tc.at)))
		})
	}
}

// TestOpeningsBeyondRate sends opening packets to an agent whose upstream is cold.
func TestOpeningsBeyondRate(t *testing.T) {
	cold := []func(*jmdirectory.View){warmAt(1, time.Minute), warmAt(2, time.Minute), warmAt(3, time.Minute)}
	cases := map[string]struct {
		others int // upstreams that are warm
		hops   uint8
		admits int // of 100 opening packets within a second
		reset  bool
	}{
		"others warm":                   {others: 2, admits: 10},
		"one warm":                      {others: 1, admits: 10},
		"all cold":                      {admits: 18},
		"handed on too often":           {hops: maxHops, admits: 18, reset: true},
		"handed on too often, one warm": {others: 1, hops: maxHops, admits: 18, reset: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(3, append([]func(*jmdirectory.View){coldRate(10)}, cold[:3-tc.others]...)...))
			a.ColdOverrun, a.ColdSlack = 1.5, 5
			admitted := 0
			for i := range 100 {
				now := startTime.Add(time.Duration(i) * 10 * time.Millisecond)
				h := forwardHeader(0)
				h.Hops = tc.hops
				out, reason := a.HandlePeer(now, balancerAddr, h, openingFrom(i), nil)
				if reason == ReasonHeld {
					admitted++
					continue
				}
				require.Nil(t, find(out, ToUpstream))
				if tc.reset {
					require.Equal(t, ReasonColdRefused, reason)
					require.NotNil(t, find(out, Reset))
					continue
				}
				require.Equal(t, ReasonCold, reason)
				require.Nil(t, find(out, Reset))
				m := &out[len(out)-1]
				require.NotEqual(t, a.Self, m.To)
				require.Equal(t, tc.hops+1, m.Header.Hops)
				if tc.others == 1 {
					require.Equal(t, agentAddr(3), m.To)
				}
			}
			require.InDelta(t, tc.admits, admitted, 2)
			require.LessOrEqual(t, admitted, 20)
		})
	}
}

// TestCopyOfOpeningPacketIsNotReset sends an upstream a copy of an opening packet that it
// has got already, when it can take none.
func TestCopyOfOpeningPacketIsNotReset(t *testing.T) {
	a := newAgent(true, snapshot(1, coldRate(10), warmAt(1, time.Minute)))
	a.Tick(startTime)
	a.Tick(startTime.Add(60 * time.Millisecond))
	now := startTime.Add(120 * time.Millisecond) // time for one
	out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonHeld, reason)
	require.NotNil(t, find(out, ToUpstream))
	out, reason = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonCold, reason)
	require.Nil(t, find(out, ToUpstream))
	require.Nil(t, find(out, Reset))
}

// TestReportedRoom checks what an agent reports and what balancers make of it.
func TestReportedRoom(t *testing.T) {
	a := newAgent(true, snapshot(2, coldRate(10), warmAt(1, time.Minute)))
	require.EqualValues(t, 10, a.coldRoom(startTime))
	a.Tick(startTime)
	a.HandleWatch(startTime, true)
	for i := range 5 {
		a.HandlePeer(startTime.Add(time.Duration(i+1)*110*time.Millisecond), balancerAddr, forwardHeader(0), openingFrom(i), nil)
	}
	require.Less(t, a.coldRoom(startTime.Add(600*time.Millisecond)), uint16(10))
	require.EqualValues(t, jmhop.NoLimit, a.coldRoom(startTime.Add(time.Minute)))
	a.SetSnapshot(snapshot(2, warmAt(1, time.Minute)))
	require.EqualValues(t, jmhop.NoLimit, a.coldRoom(startTime))
	a.SetSnapshot(Snapshot{})
	require.Zero(t, a.coldRoom(startTime))

	for rate, full := range map[float64]netip.Addr{0: agentAddr(1), 10: agentAddr(2)} {
		b := &Balancer{Self: balancerAddr, DataCentre: "a"}
		b.SetSnapshot(snapshot(2, coldRate(rate)))
		b.HandleReport(startTime, agentAddr(1), &jmhop.Report{Room: 3})
		b.HandleReport(startTime, agentAddr(2), &jmhop.Report{Room: jmhop.NoLimit, Waiting: 50})
		var m Message
		for i := range 4 {
			m, _ = b.Handle(startTime, openingFrom(i))
			if i < 3 {
				require.Equal(t, agentAddr(1), m.To)
			}
		}
		require.Equal(t, full, m.To, "rate %g", rate)
		m, _ = b.Handle(startTime.Add(roomTTL), openingFrom(9))
		require.NotEqual(t, ReasonNone, m.Kind)
	}
}

// TestNoLimitKeepsNoState opens flows at a cold upstream whose service has no limit.
func TestNoLimitKeepsNoState(t *testing.T) {
	a := newAgent(false, snapshot(2, warmAt(1, time.Minute)))
	for i := range 500 {
		_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingFrom(i), nil)
		require.NotEqual(t, ReasonCold, reason)
	}
	require.Zero(t, a.cold.planned.Count(startTime))
}
