package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestOrderOfRequests checks which of two queued requests is admitted first.
func TestOrderOfRequests(t *testing.T) {
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	inTime := &request{target: at(200), deadline: at(3000), priority: 2}
	inTimeSoon := &request{target: at(100), deadline: at(3000), priority: 2}
	urgent := &request{target: at(200), deadline: at(3000), priority: 1}
	late := &request{target: at(-1), deadline: at(2000), priority: 1}
	lateSoon := &request{target: at(-1), deadline: at(1000), priority: 1}
	expired := &request{target: at(-1), deadline: at(49), priority: 0}
	cases := map[string]struct{ first, second *request }{
		"in time before late":           {inTime, late},
		"by priority":                   {urgent, inTimeSoon},
		"the earlier target first":      {inTimeSoon, inTime},
		"late, earliest deadline first": {lateSoon, late},
		"past its deadline, last":       {lateSoon, expired},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.True(t, goesBefore(tc.first, tc.second, at(50)))
			require.False(t, goesBefore(tc.second, tc.first, at(50)))
		})
	}
}

// sendRequest opens the i-th flow at an agent and sends a request on it.
func sendRequest(a *Agent, now time.Time, i int) (out []Message) {
	source := netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+i))
	syn := openingPacket(shop)
	syn.Source = source
	_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), syn, nil)
	answer := upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	answer.Destination = source
	_, _ = a.HandleUpstream(now, answer, nil, false)
	p := dataPacket(callerSequence+1, 10)
	p.Source = source
	out, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte{byte(i)})
	return out
}

// sendAnswer has the upstream answer the request on the i-th flow.
func sendAnswer(a *Agent, now time.Time, i int) (out []Message) {
	answer := upstreamPacket(jasminemoor.FlagAck, 100)
	answer.Destination = netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+i))
	out, _ = a.HandleUpstream(now, answer, nil, false)
	return out
}

// TestRequestsAreQueued sends an upstream of two slots as many requests as may be in
// flight, queues the others, and admits the next one with each answer.
func TestRequestsAreQueued(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests + 2 {
		out := sendRequest(a, startTime, i)
		if i < 2+spareRequests {
			require.Equal(t, []Kind{ToUpstream}, kinds(out), i)
		} else {
			require.Empty(t, out, i)
		}
	}
	_, inFlight := a.Flows()
	require.Equal(t, 2+spareRequests, inFlight)
	out := sendAnswer(a, startTime, 0)
	require.Equal(t, []Kind{ToCaller, ToUpstream}, kinds(out))
	require.Equal(t, []byte{2 + spareRequests}, out[1].Packet)
}

// TestLostRequestsDontBlockOthers admits other requests when answers never arrive.
func TestLostRequestsDontBlockOthers(t *testing.T) {
	cases := map[string]func(a *Agent, source netip.AddrPort) time.Time{
		"no answer in time": func(*Agent, netip.AddrPort) time.Time { return startTime.Add(minRequestTimeout + sweepInterval) },
		"the caller left": func(a *Agent, source netip.AddrPort) time.Time {
			p := dataPacket(callerSequence+11, 0)
			p.Source, p.Flags = source, jasminemoor.FlagAck|jasminemoor.FlagEnd
			_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, nil)
			return startTime.Add(time.Millisecond)
		},
		"the upstream reset the flow": func(a *Agent, source netip.AddrPort) time.Time {
			p := upstreamPacket(jasminemoor.FlagReset, 0)
			p.Destination = source
			_, _ = a.HandleUpstream(startTime, p, nil, false)
			return startTime.Add(time.Millisecond)
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(1))
			for i := range 2 + spareRequests {
				sendRequest(a, startTime, i)
			}
			now := startTime
			for i := range 2 + spareRequests {
				now = lose(a, netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+i)))
			}
			_, _ = a.Tick(now)
			require.Equal(t, []Kind{ToUpstream}, kinds(sendRequest(a, now, 50)))
			_, inFlight := a.Flows()
			require.LessOrEqual(t, inFlight, 1)
		})
	}
}

// TestRetransmissionIsQueuedOnce has a caller send a packet of a queued request twice,
// which is stored once.
func TestRetransmissionIsQueuedOnce(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests + 1 {
		sendRequest(a, startTime, i)
	}
	last := 2 + spareRequests
	p := dataPacket(callerSequence+1, 10)
	p.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+last))
	out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte{byte(last)})
	require.Empty(t, out)
	require.Len(t, a.queue.requests[0].packets, 1)
}

// TestRequestIsAsOldAsItsFlow adds the age of the opening packet to that of the
// flow's first request.
func TestRequestIsAsOldAsItsFlow(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests {
		sendRequest(a, startTime, i)
	}
	syn := openingPacket(shop)
	syn.Age = 600 * time.Millisecond
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), syn, nil)
	_, _ = a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil, false)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), []byte("x"))
	require.Equal(t, startTime.Add(-600*time.Millisecond), a.queue.requests[0].arrived)
}

// TestEndBeforeAnswer has the end of a flow overtake the answer, as reordered packets
// do: it counts as no failure, and the answer still counts.
func TestEndBeforeAnswer(t *testing.T) {
	a := newAgent(true, snapshot(1))
	answers := 0
	a.OnAnswer = func(time.Duration) { answers++ }
	sendRequest(a, startTime, 0)
	end := upstreamPacket(jasminemoor.FlagAck|jasminemoor.FlagEnd, 0)
	end.Destination = netip.AddrPortFrom(callerAddr.Addr(), 2000)
	now := startTime.Add(time.Millisecond)
	_, _ = a.HandleUpstream(now, end, nil, false)
	require.Zero(t, a.failureRate.value(now))
	sendAnswer(a, now, 0)
	require.Equal(t, 1, answers)
	_, inFlight := a.Flows()
	require.Zero(t, inFlight)
}

// TestFailures checks that resets and answers that report a failure raise the failure
// rate, and that time and successes lower it.
func TestFailures(t *testing.T) {
	a := newAgent(true, snapshot(1))
	sendRequest(a, startTime, 0)
	reset := upstreamPacket(jasminemoor.FlagReset, 0)
	reset.Destination = netip.AddrPortFrom(callerAddr.Addr(), 2000)
	_, _ = a.HandleUpstream(startTime, reset, nil, false)
	require.InDelta(t, resultWeight, a.failureRate.value(startTime), 1e-9)
	sendRequest(a, startTime, 1)
	answer := upstreamPacket(jasminemoor.FlagAck, 50)
	answer.Destination = netip.AddrPortFrom(callerAddr.Addr(), 2001)
	out, _ := a.HandleUpstream(startTime, answer, nil, true)
	require.Greater(t, a.failureRate.value(startTime), failureReportThreshold)
	require.NotNil(t, find(out, ToPeer), "reported to the balancers at once")
	require.Equal(t, uint16(1000*a.failureRate.value(startTime)), find(out, ToPeer).Report.Failures)
	later := startTime.Add(failureHalfLife)
	require.InDelta(t, a.failureRate.value(startTime)/2, a.failureRate.value(later), 1e-9, "halves without results")
	sendRequest(a, later, 2)
	sendAnswer(a, later, 2)
	require.InDelta(t, resultWeight*(2-resultWeight)/2*(1-resultWeight), a.failureRate.value(later), 1e-9, "a success lowers it")
}

// TestFailingUpstreamGetsNoNewFlows prefers a busy upstream to a failing one.
func TestFailingUpstreamGetsNoNewFlows(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	b.HandleReport(startTime, agentAddr(1), &jmhop.Report{Failures: 900})
	b.HandleReport(startTime, agentAddr(2), &jmhop.Report{Waiting: 6})
	m, _ := b.Handle(startTime, openingPacket(shop))
	require.Equal(t, agentAddr(2), m.To)
	// If all fail alike, the load decides.
	b.HandleReport(startTime, agentAddr(2), &jmhop.Report{Waiting: 6, Failures: 900})
	p := openingPacket(shop)
	p.Source = netip.AddrPortFrom(callerAddr.Addr(), 3)
	m, _ = b.Handle(startTime, p)
	require.Equal(t, agentAddr(1), m.To)
}

// TestRetransmittedRequestStaysQueued has a caller retransmit a queued request through
// a balancer that does not know the flow, so that another agent asks for its holder.
func TestRetransmittedRequestStaysQueued(t *testing.T) {
	a := newAgent(true, snapshot(2))
	for i := range 2 + spareRequests + 1 {
		sendRequest(a, startTime, i)
	}
	queued := 2 + spareRequests
	repeated := dataPacket(callerSequence+1, 10)
	repeated.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+queued))
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
	out, reason := a.HandlePeer(startTime, agentAddr(2), ask, repeated, []byte{byte(queued)})
	require.Equal(t, ReasonHeldBack, reason)
	require.Equal(t, []Kind{ToPeer, ToPeer}, kinds(out), "only the asker and the balancer are informed of the holder")
	_, inFlight := a.Flows()
	require.Equal(t, 2+spareRequests, inFlight)
	out = sendAnswer(a, startTime, 0)
	require.Equal(t, []Kind{ToCaller, ToUpstream}, kinds(out), "sent to the upstream once")
}

// TestLastChance admits a late request before one in time only if its deadline is
// near, and the other one has slack or lastChanceEvery is reached.
func TestLastChance(t *testing.T) {
	const (
		answerTime = 50 * time.Millisecond
		slots      = 5
	)
	cases := map[string]struct {
		deadline, target time.Duration // of the late request, and of that in time
		isLateFirst      bool
	}{
		"its deadline is near":                     {lastChanceTime, 200 * time.Millisecond, true},
		"its deadline is not near":                 {lastChanceTime + answerTime + 1, 200 * time.Millisecond, false},
		"the other has too little slack":           {lastChanceTime, answerTime + slackSlots*answerTime/slots - 1, false},
		"the other has just enough slack":          {lastChanceTime, answerTime + slackSlots*answerTime/slots, true},
		"the other is late, with a later deadline": {lastChanceTime, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			late := &request{target: startTime.Add(-time.Second), deadline: startTime.Add(tc.deadline)}
			inTime := &request{target: startTime.Add(tc.target), deadline: startTime.Add(3 * time.Second)}
			q := &requestQueue{requests: []*request{inTime, late}}
			require.Equal(t, tc.isLateFirst, q.next(startTime, answerTime, slots) == late)
			q = &requestQueue{requests: []*request{inTime, late}, sinceLastChance: lastChanceEvery}
			isDeadlineNear := tc.deadline <= lastChanceTime
			require.Equal(t, isDeadlineNear, q.next(startTime, answerTime, slots) == late, "at lastChanceEvery, whatever the slack")
		})
	}
}

// TestOverloadDoesNotStarveRequests keeps so many requests queued that the upstream is
// busy for longer than their target. Each caller sends its next request with the
// answer. No request may starve until its caller gives up.
func TestOverloadDoesNotStarveRequests(t *testing.T) {
	const (
		slots   = 5
		callers = 20
		work    = 60 * time.Millisecond
		timeout = 4 * time.Second
		target  = 200 * time.Millisecond
	)
	now := startTime
	arrival := func() *request {
		return &request{arrived: now, target: now.Add(target), deadline: now.Add(timeout)}
	}
	var q requestQueue
	for range callers - slots {
		q.requests = append(q.requests, arrival())
	}
	for now.Sub(startTime) < time.Minute {
		now = now.Add(work / slots)
		r := q.next(now, work, slots)
		require.NotNil(t, r)
		q.requests = append(q.requests, arrival())
		for _, waiting := range q.requests {
			require.Less(t, now.Sub(waiting.arrived), timeout-work)
		}
	}
}

// TestQueueTimeIsReported checks that a queued request is reported with its time in
// the queue, both when it is admitted and when its caller has given up.
func TestQueueTimeIsReported(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests + 1 {
		sendRequest(a, startTime, i)
	}
	p := dataPacket(callerSequence+1, 10)
	p.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(2000+2+spareRequests))
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte{2 + spareRequests})
	require.Equal(t, ReasonHeldBack, reason)
	now := startTime.Add(time.Millisecond)
	out := sendAnswer(a, now, 0)
	require.Equal(t, time.Millisecond, find(out, ToUpstream).RequestAge)
	require.Empty(t, sendRequest(a, startTime, 30))
	out, _ = a.Tick(startTime.Add(defaultTimeout))
	dropped := find(out, Dropped)
	require.NotNil(t, dropped)
	require.Equal(t, defaultTimeout, dropped.RequestAge)
	require.Equal(t, []byte{30}, dropped.Packet)
	require.Equal(t, uint64(1), a.Counts[ReasonGivenUp])
}

// queuedFlow is the number, for sendRequest, of the flow whose request is queued.
const queuedFlow = 40

// queuedFlowPacket returns a packet of that flow.
func queuedFlowPacket(length int, flags jasminemoor.PacketFlags) *jasminemoor.Packet {
	p := dataPacket(callerSequence+1, length)
	p.Source, p.Flags = netip.AddrPortFrom(callerAddr.Addr(), 2000+queuedFlow), flags
	return p
}

// TestEndedFlowLeavesTheQueue has a caller end its flow while its request is queued,
// and retransmit both: the request is dropped, and takes up no slot of the upstream.
func TestEndedFlowLeavesTheQueue(t *testing.T) {
	const ackEnd = jasminemoor.FlagAck | jasminemoor.FlagEnd
	cases := map[string][]*jasminemoor.Packet{
		"the end, then both":       {queuedFlowPacket(0, ackEnd), queuedFlowPacket(10, ackEnd)},
		"both, if the end is lost": {queuedFlowPacket(10, ackEnd), queuedFlowPacket(10, ackEnd)},
	}
	for name, packets := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(1))
			for i := range 2 + spareRequests {
				sendRequest(a, startTime, i)
			}
			require.Empty(t, sendRequest(a, startTime, queuedFlow))
			out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), packets[0], []byte("end"))
			require.Equal(t, []Kind{Dropped}, kinds(out))
			require.Equal(t, ReasonGivenUp, reason)
			require.Equal(t, uint64(1), a.Counts[ReasonGivenUp])
			out, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), packets[1], []byte("both"))
			require.Equal(t, []Kind{ToUpstream}, kinds(out), "the upstream ends the flow")
			_, inFlight := a.Flows()
			require.Equal(t, 2+spareRequests, inFlight)
			require.Empty(t, sendRequest(a, startTime, 41))
			out = sendAnswer(a, startTime, 0)
			require.Equal(t, []byte{41}, find(out, ToUpstream).Packet)
		})
	}
}

// TestRetransmittedRequestKeepsItsAge has a request expire in the queue and its caller
// retransmit it: it goes after one that can meet its target, and is not dropped at
// once.
func TestRetransmittedRequestKeepsItsAge(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests {
		sendRequest(a, startTime, i)
	}
	require.Empty(t, sendRequest(a, startTime, queuedFlow))
	now := startTime.Add(defaultTimeout)
	out, _ := a.Tick(now)
	require.NotNil(t, find(out, Dropped))
	for i := range 2 + spareRequests {
		require.NotEmpty(t, sendRequest(a, now, 50+i))
	}
	out, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), queuedFlowPacket(10, jasminemoor.FlagAck), []byte{queuedFlow})
	require.Empty(t, out)
	require.Empty(t, sendRequest(a, now, 60))
	now = now.Add(time.Millisecond)
	out = sendAnswer(a, now, 50)
	require.Equal(t, []byte{60}, find(out, ToUpstream).Packet, "the newer one can meet its target")
	out = sendAnswer(a, now, 51)
	require.Equal(t, []byte{queuedFlow}, find(out, ToUpstream).Packet)
}

// TestEndWithoutAnswerFreesTheSlot has the upstream end a flow without an answer to
// its request. The end may overtake the answer, so the request is overdue only after
// answerAfterEnd.
func TestEndWithoutAnswerFreesTheSlot(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests {
		sendRequest(a, startTime, i)
	}
	require.Empty(t, sendRequest(a, startTime, queuedFlow))
	end := upstreamPacket(jasminemoor.FlagAck|jasminemoor.FlagEnd, 0)
	end.Destination = netip.AddrPortFrom(callerAddr.Addr(), 2000)
	out, _ := a.HandleUpstream(startTime, end, nil, false)
	require.Nil(t, find(out, ToUpstream))
	out, _ = a.Tick(startTime.Add(answerAfterEnd))
	require.Nil(t, find(out, ToUpstream))
	out, _ = a.Tick(startTime.Add(answerAfterEnd + time.Millisecond))
	require.Equal(t, []byte{queuedFlow}, find(out, ToUpstream).Packet)
}

// TestRepeatedAnswer has the upstream repeat the answer to a flow's first request while the
// second one is in flight: the caller had retransmitted the first. The second request still
// holds its place.
func TestRepeatedAnswer(t *testing.T) {
	a := newAgent(true, snapshot(1))
	openFlow(t, a)
	first, second := dataPacket(callerSequence+1, 10), dataPacket(callerSequence+11, 10)
	send := func(p *jasminemoor.Packet) {
		_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte("packet"))
	}
	answer := upstreamPacket(jasminemoor.FlagAck, 100)
	answer.Sequence++
	send(first)
	_, _ = a.HandleUpstream(startTime, answer, nil, false)
	send(first)
	send(second)
	_, _ = a.HandleUpstream(startTime, answer, nil, false)
	_, inFlight := a.Flows()
	require.Equal(t, 1, inFlight)
}

// TestQueuedRequestsSurviveLeaving has an agent leave while requests wait. Its upstream gets
// as many of them as it has slots, and those that come while it leaves.
func TestQueuedRequestsSurviveLeaving(t *testing.T) {
	a := newAgent(true, snapshot(1))
	n := 0
	for a.table.inFlight < a.maxInFlight() {
		require.NotNil(t, find(sendRequest(a, startTime, n), ToUpstream))
		n++
	}
	for range a.slots() + 1 {
		require.Nil(t, find(sendRequest(a, startTime, n), ToUpstream))
		n++
	}
	_ = a.Leave(startTime)
	out := a.AdmitBeforeLeaving(startTime)
	require.Len(t, out, a.slots())
	for i := range out {
		require.Equal(t, ToUpstream, out[i].Kind)
	}
	require.NotNil(t, find(sendRequest(a, startTime, n), ToUpstream))
}

// TestSlotsOfOwnEntry lists a newer entry of another service at the upstream's address. The slots
// are those of its own entry, so that requests on its open flows don't wait for those of the other.
func TestSlotsOfOwnEntry(t *testing.T) {
	a := newAgent(true, snapshot(2))
	require.Equal(t, 2, a.slots())
	a.SetSnapshot(snapshot(2, func(v *jmdirectory.View) {
		v.Unplaced = map[string][]*jmdirectory.Upstream{"shop": {v.Upstreams[upstreamAddr(1)]}}
		v.Upstreams[upstreamAddr(1)] = &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{
			Service: "desk", Address: upstreamAddr(1), Slots: 1,
		}}
	}))
	require.Equal(t, 2, a.slots())
}
