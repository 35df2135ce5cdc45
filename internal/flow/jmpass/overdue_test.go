package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// stalledUpstream is an upstream of two slots, with its agent, that does no work for a time
// and then all of it, in the order in which it has got the requests.
type stalledUpstream struct {
	t     *testing.T
	agent *Agent
	flows []*exchange
	held  []int // requests that it holds, by their flow
	// passedOver counts those that it holds as well and does not work on.
	passedOver int
	most       int
	answers    int
	// isRepeated is set if each caller sends its next request with the answer.
	isRepeated bool
}

func (u *stalledUpstream) take(out []Message) {
	for i := range out {
		if out[i].Kind == ToUpstream {
			u.held = append(u.held, int(out[i].Packet[0]))
		}
	}
	u.most = max(u.most, len(u.held)+u.passedOver)
}

// stallWork is how long two requests of a stalledUpstream take at a time.
const stallWork = 40 * time.Millisecond

// run advances the time in steps of stallWork until the end, and answers if it is not stalled.
// The upstream's port is probed when the agent asks for it.
func (u *stalledUpstream) run(from, to time.Time, isStalled bool, probe *ProbeResult) {
	for now := from; now.Before(to); now = now.Add(stallWork) {
		var answered []int
		if !isStalled {
			answered = append(answered, u.held[:min(2, len(u.held))]...)
			u.held = u.held[len(answered):]
		}
		for _, i := range answered {
			u.answers++
			u.take(u.flows[i].answer(now))
			if u.isRepeated {
				u.take(u.flows[i].askPacket(now, []byte{byte(i)}))
			}
		}
		out, shouldProbe := u.agent.Tick(now)
		u.take(out)
		if shouldProbe && probe != nil {
			u.take(u.agent.HandleProbe(now, *probe))
		}
	}
}

// TestStallKeepsPlaces has an upstream of two slots, with more requests than it may have at
// a time, stall and then answer. It never gets more than it may have, unless it has stalled
// for so long that its callers have left, or nothing shows that its process lives.
func TestStallKeepsPlaces(t *testing.T) {
	const callers = 12
	accepted, silent := ProbeAccepted, ProbeSilent
	cases := map[string]struct {
		stall     time.Duration
		probe     *ProbeResult
		wantMore  bool
		wantsRate bool // the stall counts as failures
	}{
		"for less than a request may take": {stall: 900 * time.Millisecond, probe: &accepted},
		"for 1.2 s":                        {stall: 1200 * time.Millisecond, probe: &accepted, wantsRate: true},
		"for 2.4 s":                        {stall: 2400 * time.Millisecond, probe: &accepted, wantsRate: true},
		"for longer than callers wait":     {stall: 5200 * time.Millisecond, probe: &accepted, wantMore: true, wantsRate: true},
		"its port does not answer":         {stall: 2400 * time.Millisecond, probe: &silent, wantMore: true, wantsRate: true},
		"its port is not probed":           {stall: 2400 * time.Millisecond, wantMore: true, wantsRate: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(1))
			a.snapshot.Routes[shop].Timeout = 10 * time.Second
			u := &stalledUpstream{t: t, agent: a}
			for i := range callers {
				u.flows = append(u.flows, newExchange(a, startTime, i))
			}
			for i, f := range u.flows {
				u.take(f.askPacket(startTime, []byte{byte(i)}))
			}
			now := startTime
			u.run(now, now.Add(tc.stall), true, tc.probe)
			now = now.Add(tc.stall)
			require.Equal(t, tc.wantsRate, a.failureRate.value(now) > 0)
			u.run(now, now.Add(time.Second), false, tc.probe)
			require.Equal(t, callers, u.answers)
			require.Equal(t, tc.wantMore, u.most > 2+spareRequests, "at most %d requests", u.most)
			_, inFlight := a.Flows()
			require.Zero(t, inFlight)
		})
	}
}

// TestAgentStallsToo has agent and upstream stall together. When they go on, the upstream
// gets no more requests before it has had the time to answer.
func TestAgentStallsToo(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests + 2 {
		sendRequest(a, startTime, i)
	}
	_, _ = a.Tick(startTime)
	now := startTime.Add(1200 * time.Millisecond)
	out, _ := a.Tick(now)
	require.Nil(t, find(out, ToUpstream))
	for end := now.Add(minRequestTimeout); now.Before(end); now = now.Add(40 * time.Millisecond) {
		out, _ = a.Tick(now)
		require.Nil(t, find(out, ToUpstream))
	}
	out, _ = a.Tick(now.Add(40 * time.Millisecond))
	require.NotNil(t, find(out, ToUpstream), "if they are lost")
}

// TestLostRequestAfterStall has an upstream lose a request and stall. The request gives up its
// place once the upstream has gone on for as long as a request may take.
func TestLostRequestAfterStall(t *testing.T) {
	const stall = 1200 * time.Millisecond
	a := newAgent(true, snapshot(1))
	accepted := ProbeAccepted
	u := &stalledUpstream{t: t, agent: a, isRepeated: true}
	for i := range 2 + spareRequests {
		u.flows = append(u.flows, newExchange(a, startTime, i))
		u.take(u.flows[i].askPacket(startTime, []byte{byte(i)}))
	}
	now := startTime.Add(2 * time.Second)
	u.run(startTime, now, false, &accepted)
	u.held = u.held[1:] // lost
	u.run(now, now.Add(stall), true, &accepted)
	now = now.Add(stall)
	u.run(now, now.Add(minRequestTimeout), false, &accepted)
	_, inFlight := a.Flows()
	require.Equal(t, 3, inFlight)
	now = now.Add(minRequestTimeout)
	u.run(now, now.Add(sweepInterval+stallWork), false, &accepted)
	_, inFlight = a.Flows()
	require.Equal(t, 2, inFlight)
}

// TestRequestPassedOver has an upstream of two slots answer all requests but one. It gets no
// other request in place of one that it has acknowledged, unless that is known to be lost or
// its caller has left.
func TestRequestPassedOver(t *testing.T) {
	const callers = 6
	cases := map[string]struct {
		acknowledged int // bytes of the request
		d            time.Duration
		after        func(u *stalledUpstream, now time.Time) // called after a while
		wantMore     bool
	}{
		"acknowledged":                     {acknowledged: 10, d: 2400 * time.Millisecond},
		"not acknowledged":                 {d: 2400 * time.Millisecond, wantMore: true},
		"acknowledged in part":             {acknowledged: 9, d: 2400 * time.Millisecond, wantMore: true},
		"for longer than its caller waits": {acknowledged: 10, d: minRequestTimeout + maxOverdue + sweepInterval + stallWork, wantMore: true},
		"another run is listed": {acknowledged: 10, d: 2400 * time.Millisecond, wantMore: true, after: func(u *stalledUpstream, _ time.Time) {
			u.agent.SetSnapshot(snapshot(1, run(7)))
		}},
		"another flow was lost": {acknowledged: 10, d: 2400 * time.Millisecond, wantMore: true, after: func(u *stalledUpstream, now time.Time) {
			lost := newExchange(u.agent, now, callers)
			_ = lost.askPacket(now, nil)
			p := dataPacket(callerSequence+1, 10)
			p.Source, p.Flags = lost.caller, p.Flags|jasminemoor.FlagReturned
			out, _ := u.agent.HandleUpstream(now, p, nil, false)
			u.take(out)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(1, run(5)))
			u := &stalledUpstream{t: t, agent: a, isRepeated: true}
			for i := range callers {
				u.flows = append(u.flows, newExchange(a, startTime, i))
				u.take(u.flows[i].askPacket(startTime, []byte{byte(i)}))
			}
			u.held, u.passedOver = u.held[1:], 1
			u.flows[0].acknowledge(startTime, tc.acknowledged)
			now := startTime.Add(200 * time.Millisecond)
			u.run(startTime, now, false, nil)
			if tc.after != nil {
				tc.after(u, now)
			}
			u.run(now, startTime.Add(tc.d), false, nil)
			require.Equal(t, tc.wantMore, u.most > 2+spareRequests, "at most %d requests", u.most)
			now = startTime.Add(tc.d)
			u.take(u.flows[0].answer(now))
			u.passedOver = 0
			_, inFlight := a.Flows()
			require.Equal(t, 2+spareRequests, inFlight)
		})
	}
}
