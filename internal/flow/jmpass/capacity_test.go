package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmcapacity"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// exchange is a flow on which a test sends requests and answers.
type exchange struct {
	agent             *Agent
	caller            netip.AddrPort
	request, answered uint32 // next sequence numbers
}

// newExchange opens flow i at an agent's upstream.
func newExchange(a *Agent, now time.Time, i int) *exchange {
	e := &exchange{agent: a, caller: netip.AddrPortFrom(callerAddr.Addr(), uint16(3000+i)), request: callerSequence + 1, answered: upstreamSequence + 1}
	p := openingPacket(shop)
	p.Source = e.caller
	_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), p, nil)
	reply := upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	reply.Destination = e.caller
	_, _ = a.HandleUpstream(now, reply, nil, false)
	return e
}

func (e *exchange) ask(now time.Time) { e.askPacket(now, []byte("packet")) }

// askPacket sends a request with the raw packet and returns the agent's messages, in which
// the packet of a request that is not queued is set.
func (e *exchange) askPacket(now time.Time, packet []byte) (out []Message) {
	p := dataPacket(e.request, 10)
	p.Source, p.Acknowledged = e.caller, e.answered
	out, _ = e.agent.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), p, packet)
	for i := range out {
		if out[i].Kind == ToUpstream && out[i].Packet == nil {
			out[i].Packet = packet
		}
	}
	e.request += 10
	return out
}

func (e *exchange) answer(now time.Time) (out []Message) {
	p := upstreamPacket(jasminemoor.FlagAck, 100)
	p.Destination, p.Sequence = e.caller, e.answered
	out, _ = e.agent.HandleUpstream(now, p, nil, false)
	e.answered += 100
	return out
}

// acknowledge has the upstream acknowledge the first n bytes of the latest request.
func (e *exchange) acknowledge(now time.Time, n int) {
	p := upstreamPacket(jasminemoor.FlagAck, 0)
	p.Destination, p.Sequence, p.Acknowledged = e.caller, e.answered, e.request-10+uint32(n)
	_, _ = e.agent.HandleUpstream(now, p, nil, false)
}

// TestWorkIsMeasured gives an upstream of two slots as many requests as it may have. The
// third one waits there for the first answer, which is no part of its work.
func TestWorkIsMeasured(t *testing.T) {
	const work = 40 * time.Millisecond
	a := newAgent(true, snapshot(1))
	now := startTime
	flows := []*exchange{newExchange(a, now, 0), newExchange(a, now, 1), newExchange(a, now, 2)}
	require.Zero(t, a.Capacity(now), "nothing is known before the first answer")
	for range 50 {
		for _, f := range flows {
			f.ask(now)
		}
		now = now.Add(work)
		flows[0].answer(now)
		flows[1].answer(now)
		now = now.Add(work)
		flows[2].answer(now)
		now = now.Add(work)
	}
	c := a.Capacity(now)
	require.Equal(t, work, c.Usual)
	require.Equal(t, work, c.Mean)
	require.InDelta(t, 2/work.Seconds(), c.Rate, 0.1)
	require.Empty(t, a.table.capacity.running)
}

// TestCallerLeavesWhileWaiting ends a flow whose request is the first one or waits at the
// upstream. The next one then has the slot.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	const work = 40 * time.Millisecond
	for _, leaves := range []int{0, 2} {
		a := newAgent(true, snapshot(1))
		flows := []*exchange{newExchange(a, startTime, 0), newExchange(a, startTime, 1), newExchange(a, startTime, 2)}
		for _, f := range flows {
			f.ask(startTime)
		}
		now := startTime.Add(work)
		end := dataPacket(flows[leaves].request, 0)
		end.Source, end.Flags = flows[leaves].caller, jasminemoor.FlagAck|jasminemoor.FlagEnd
		_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), end, nil)
		flows[1].answer(now)
		if leaves == 0 {
			now = now.Add(work)
		}
		flows[2-leaves].answer(now)
		require.Equal(t, work, a.Capacity(now).Usual)
		require.Zero(t, a.table.inFlight)
		require.Empty(t, a.table.capacity.running)
	}
}

// TestFeedsCountByWhatTheyAsk opens busy and idle long flows. The wait grows by what they
// ask, not by their number.
func TestFeedsCountByWhatTheyAsk(t *testing.T) {
	const work = 10 * time.Millisecond
	wait := func(idle, busy int) time.Duration {
		a := newAgent(true, snapshot(1))
		var flows []*exchange
		for i := range idle + busy {
			flows = append(flows, newExchange(a, startTime, i))
		}
		now := startTime
		for range 400 {
			for _, f := range flows[idle:] {
				f.ask(now)
				now = now.Add(work)
				f.answer(now)
			}
			now = now.Add(time.Duration(5-busy) * work)
		}
		return a.wait(now)
	}
	one, two := wait(1, 1), wait(1, 2)
	require.Greater(t, two, one+work/20)
	require.Equal(t, one, wait(80, 1))
}

// TestReportHasWait checks what an agent reports of its upstream.
func TestReportHasWait(t *testing.T) {
	const work = 40 * time.Millisecond
	a := agentWith(1, work)
	newExchange(a, startTime, 0).ask(startTime)
	out := a.HandlePoll(startTime, balancerAddr)
	r := out[len(out)-1].Report
	require.Equal(t, work, r.Work)
	require.Equal(t, work+work/2, r.Wait, "one request in two slots")
	out = a.HandlePoll(startTime.Add(jmcapacity.Memory+time.Millisecond), balancerAddr)
	r = out[len(out)-1].Report
	require.Zero(t, r.Work, "no answer for so long")
	require.Zero(t, r.Wait)
}

// TestPlacementByExpectedTime places a new flow by two agents' reports.
func TestPlacementByExpectedTime(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		one, two  jmhop.Report
		isRemote  bool // upstream 2 is in another data centre
		placed    int  // flows placed at upstream 1 since its report
		after     time.Duration
		wantFirst bool
	}{
		"faster with more requests":  {one: jmhop.Report{Waiting: 1, Wait: 90 * ms, Work: 60 * ms}, two: jmhop.Report{Waiting: 3, Wait: 60 * ms, Work: 20 * ms}},
		"placed since the report":    {one: jmhop.Report{Wait: 40 * ms, Work: 30 * ms}, two: jmhop.Report{Wait: 60 * ms, Work: 30 * ms}, placed: 2},
		"crossing saves too little":  {one: jmhop.Report{Wait: 48 * ms, Work: 30 * ms}, two: jmhop.Report{Wait: 40 * ms, Work: 30 * ms}, isRemote: true, wantFirst: true},
		"crossing saves enough":      {one: jmhop.Report{Wait: 60 * ms, Work: 30 * ms}, two: jmhop.Report{Wait: 40 * ms, Work: 30 * ms}, isRemote: true},
		"fails":                      {one: jmhop.Report{Wait: 40 * ms, Work: 30 * ms, Failures: 300}, two: jmhop.Report{Wait: 90 * ms, Work: 30 * ms}},
		"has no answer yet, idle":    {one: jmhop.Report{}, two: jmhop.Report{Wait: 60 * ms, Work: 30 * ms}, wantFirst: true},
		"has no answer yet, loaded":  {one: jmhop.Report{Waiting: 6}, two: jmhop.Report{Wait: 60 * ms, Work: 30 * ms}},
		"was slow before its memory": {one: jmhop.Report{Wait: 400 * ms, Work: 400 * ms}, two: jmhop.Report{Waiting: 2, Wait: 60 * ms, Work: 30 * ms}, after: jmcapacity.Memory, wantFirst: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			s := snapshot(2, func(v *jmdirectory.View) {
				if tc.isRemote {
					v.Upstreams[upstreamAddr(2)].DataCentre = "b"
				}
			})
			b.SetSnapshot(s)
			b.HandleReport(startTime, agentAddr(1), &tc.one)
			b.HandleReport(startTime, agentAddr(2), &tc.two)
			b.agents[b.indexOf(agentAddr(1))].placed = uint32(tc.placed)
			m, _ := b.Handle(startTime.Add(tc.after), openingPacket(shop))
			require.Equal(t, tc.wantFirst, m.To == agentAddr(1))
		})
	}
}

// TestAnswersDoNotAllocate covers a new request on an open flow, and its answer.
func TestAnswersDoNotAllocate(t *testing.T) {
	a := newAgent(true, snapshot(7))
	openFlow(t, a)
	h := forwardHeader(jmhop.FlagKnown)
	p, answer := dataPacket(callerSequence+1, 10), upstreamPacket(jasminemoor.FlagAck, 100)
	now := startTime
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now = now.Add(time.Millisecond)
		p.Sequence += 10
		answer.Sequence += 100
		_, _ = a.HandlePeer(now, balancerAddr, h, p, nil)
		now = now.Add(time.Millisecond)
		_, _ = a.HandleUpstream(now, answer, nil, false)
	}))
	require.Equal(t, time.Millisecond, a.Capacity(now).Usual)
}

func BenchmarkAnswer(b *testing.B) {
	a := newAgent(true, snapshot(50))
	e := newExchange(a, startTime, 0)
	p, answer, h := dataPacket(e.request, 10), upstreamPacket(jasminemoor.FlagAck, 100), forwardHeader(jmhop.FlagKnown)
	p.Source, answer.Destination = e.caller, e.caller
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Sequence += 10
		answer.Sequence += 100
		_, _ = a.HandlePeer(now, balancerAddr, h, p, nil)
		_, _ = a.HandleUpstream(now.Add(time.Millisecond), answer, nil, false)
	}
}
