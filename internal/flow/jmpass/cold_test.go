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

	born     int64
	warmAt   time.Time
	openings []time.Time // of the upstream while it is cold, in real time
	held     []int       // callers whose flows the upstream holds
	caller   int
	total    int // openings of cold upstreams, and the most in a second of each
	most     int
	handedOn int
}

func (w *coldWorld) pass(d time.Duration) { w.now, w.real = w.now.Add(d), w.real.Add(d) }

func (w *coldWorld) publish() {
	w.agent.SetSnapshot(snapshot(3, coldRate(w.rate), run(w.born), func(v *jmdirectory.View) {
		// The time of the agent's clock passes more slowly.
		v.Upstreams[upstreamAddr(1)].WarmAt = w.now.Add(w.warmAt.Sub(w.real))
	}))
}

func (w *coldWorld) startAgent() {
	w.agent = &Agent{Self: agentAddr(1), Upstream: upstreamAddr(1), Service: "shop", ColdOverrun: 1.5, ColdSlack: 5}
	w.publish()
	w.agent.Tick(w.now)
}

// startUpstream starts the upstream again. Its agent learns of it by a probe, by a packet
// of a lost flow or from the directory.
func (w *coldWorld) startUpstream() {
	w.check()
	held := w.held
	w.born, w.held, w.openings = w.born+1, nil, nil
	w.warmAt = w.real.Add(2 * time.Second)
	lag := w.IntN(4) > 0
	switch {
	case !lag:
		w.publish()
	case len(held) == 0 || w.IntN(2) == 0:
		w.agent.HandleProbe(w.now, ProbeRefused)
		w.agent.HandleProbe(w.now, ProbeAccepted)
	default:
		p := openingFrom(held[w.IntN(len(held))])
		p.Flags = jasminemoor.FlagAck | jasminemoor.FlagReturned
		w.agent.HandleUpstream(w.now, p, nil, false)
		if w.agent.cold.restartedAt != w.now {
			w.publish() // the flow was idle, which is no sign
		}
	}
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
// Agent and upstream are restarted, the instance is suspended, and the agent is paused.
func TestColdUpstreamNeverAboveLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			w := &coldWorld{Rand: rand.New(rand.NewPCG(seed, 3)), t: t, now: startTime, real: startTime}
			w.rate = 0.5 + float64(w.IntN(40))
			w.warmAt = w.real.Add(2 * time.Second)
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
				}
				w.pass(time.Duration(w.Int64N(int64(6 * time.Millisecond))))
				w.open()
				if w.IntN(4) == 0 {
					w.agent.Tick(w.now)
				}
			}
			w.check()
			require.Positive(t, w.handedOn)
			require.Greater(t, w.total, 20)
			require.Greater(t, w.most, 60, "percent of the limit")
		})
	}
}

// TestIsCold says of an agent whose service has a limit whether it takes its upstream for
// cold.
func TestIsCold(t *testing.T) {
	const later = 5 * time.Second
	noEntry := func(v *jmdirectory.View) { delete(v.Upstreams, upstreamAddr(1)) }
	olderFlow := func(a *Agent) { a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck, 10), nil, false) }
	probe := func(a *Agent) { a.HandleProbe(startTime, ProbeRefused) }
	cases := map[string]struct {
		isFirstStart  bool
		before, after []func(v *jmdirectory.View)
		event         func(a *Agent)
		at            time.Duration
		isCold        bool
	}{
		"first start":                 {isFirstStart: true},
		"listed as cold":              {isFirstStart: true, after: []func(*jmdirectory.View){warmAt(1, time.Second)}, isCold: true},
		"listed as cold, over":        {isFirstStart: true, after: []func(*jmdirectory.View){warmAt(1, time.Second)}, at: time.Second},
		"agent restarted":             {isCold: true},
		"agent restarted, older flow": {event: olderFlow},
		"agent restarted, later":      {at: later},
		"no entry":                    {after: []func(*jmdirectory.View){noEntry}, at: later, isCold: true},
		"entry lapsed, was warm":      {isFirstStart: true, event: func(a *Agent) { a.isCold(startTime) }, after: []func(*jmdirectory.View){noEntry}},
		"seen down":                   {isFirstStart: true, event: probe, isCold: true},
		"seen down, entry removed":    {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){noEntry}, at: later, isCold: true},
		"seen down, new run listed":   {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){run(7)}},
		"seen down, new run is cold":  {isFirstStart: true, event: probe, after: []func(*jmdirectory.View){run(7), warmAt(1, later)}, isCold: true},
		"seen down, nothing new":      {isFirstStart: true, event: probe, at: later},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(tc.isFirstStart, snapshot(3, coldRate(20)))
			a.Tick(startTime)
			if tc.event != nil {
				tc.event(a)
			}
			a.SetSnapshot(snapshot(3, append(tc.after, coldRate(20))...))
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
