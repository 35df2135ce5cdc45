package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

func TestOrderOfRequests(t *testing.T) {
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	inTime := &request{target: at(200), deadline: at(3000), priority: 2}
	inTimeSoon := &request{target: at(100), deadline: at(3000), priority: 2}
	urgent := &request{target: at(200), deadline: at(3000), priority: 1}
	late := &request{target: at(-1), deadline: at(2000), priority: 1}
	latest := &request{target: at(-1), deadline: at(1000), priority: 1}
	left := &request{target: at(50), deadline: at(3000), isLeft: true}
	cases := map[string]struct{ first, second *request }{
		"in time before late":          {inTime, late},
		"urgent before others":         {urgent, inTimeSoon},
		"the sooner target first":      {inTimeSoon, inTime},
		"of the late, the one to end":  {latest, late},
		"callers that have left, last": {latest, left},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.True(t, goesBefore(tc.first, tc.second, at(50)))
			require.False(t, goesBefore(tc.second, tc.first, at(50)))
		})
	}
}

// flowOf opens the i-th flow at an agent and sends a request on it.
func flowOf(a *Agent, now time.Time, i int) (out []Message) {
	source := netip.AddrPortFrom(callers.Addr(), uint16(2000+i))
	syn := opening(shop)
	syn.Source = source
	_, _ = a.HandlePeer(now, front, forwardHeader(0), syn, nil)
	answer := fromUpstream(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	answer.Destination = source
	_, _ = a.HandleUpstream(now, answer, nil)
	p := data(callerSequence+1, 10)
	p.Source = source
	out, _ = a.HandlePeer(now, front, forwardHeader(jmhop.FlagKnown), p, []byte{byte(i)})
	return out
}

func answerTo(a *Agent, now time.Time, i int) (out []Message) {
	answer := fromUpstream(jasminemoor.FlagAck, 100)
	answer.Destination = netip.AddrPortFrom(callers.Addr(), uint16(2000+i))
	out, _ = a.HandleUpstream(now, answer, nil)
	return out
}

// TestRequestsWait gives an upstream of two slots four requests, holds the
// others, and gives it the next with each answer.
func TestRequestsWait(t *testing.T) {
	a := newAgent(1, true, snapshot(1))
	for i := range 6 {
		out := flowOf(a, begun, i)
		if i < 2+spareRequests {
			require.Equal(t, []Kind{ToUpstream}, kinds(out), i)
		} else {
			require.Empty(t, out, i)
		}
	}
	_, waiting := a.Flows()
	require.Equal(t, 2+spareRequests, waiting)
	out := answerTo(a, begun, 0)
	require.Equal(t, []Kind{ToCaller, ToUpstream}, kinds(out))
	require.Equal(t, []byte{4}, out[1].Packet)
}

// TestLostRequestsDontFillTheGate lets others through when an answer never comes.
func TestLostRequestsDontFillTheGate(t *testing.T) {
	cases := map[string]func(a *Agent, source netip.AddrPort) time.Time{
		"no answer for long": func(*Agent, netip.AddrPort) time.Time { return begun.Add(waitLimit + sweepInterval) },
		"the caller left": func(a *Agent, source netip.AddrPort) time.Time {
			p := data(callerSequence+11, 0)
			p.Source, p.Flags = source, jasminemoor.FlagAck|jasminemoor.FlagEnd
			_, _ = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), p, nil)
			return begun.Add(time.Millisecond)
		},
		"the upstream ended the flow": func(a *Agent, source netip.AddrPort) time.Time {
			p := fromUpstream(jasminemoor.FlagAck|jasminemoor.FlagEnd, 0)
			p.Destination = source
			_, _ = a.HandleUpstream(begun, p, nil)
			return begun.Add(time.Millisecond)
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(1, true, snapshot(1))
			for i := range 2 + spareRequests {
				flowOf(a, begun, i)
			}
			now := begun
			for i := range 2 + spareRequests {
				now = lose(a, netip.AddrPortFrom(callers.Addr(), uint16(2000+i)))
			}
			_, _ = a.Tick(now)
			require.Equal(t, []Kind{ToUpstream}, kinds(flowOf(a, now, 50)))
			_, waiting := a.Flows()
			require.LessOrEqual(t, waiting, 1)
		})
	}
}

// TestRepeatedPacketIsHeldOnce holds a packet once that its caller sends twice.
func TestRepeatedPacketIsHeldOnce(t *testing.T) {
	a := newAgent(1, true, snapshot(1))
	for i := range 2 + spareRequests + 1 {
		flowOf(a, begun, i)
	}
	last := 2 + spareRequests
	p := data(callerSequence+1, 10)
	p.Source = netip.AddrPortFrom(callers.Addr(), uint16(2000+last))
	out, _ := a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), p, []byte{byte(last)})
	require.Empty(t, out)
	require.Len(t, a.gate.held[0].packets, 1)
}

// TestRequestIsAsOldAsItsFlow counts the time that an opening packet took.
func TestRequestIsAsOldAsItsFlow(t *testing.T) {
	a := newAgent(1, true, snapshot(1))
	for i := range 2 + spareRequests {
		flowOf(a, begun, i)
	}
	syn := opening(shop)
	syn.Age = 600 * time.Millisecond
	_, _ = a.HandlePeer(begun, front, forwardHeader(0), syn, nil)
	_, _ = a.HandleUpstream(begun, fromUpstream(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil)
	_, _ = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), data(callerSequence+1, 10), []byte("x"))
	require.Equal(t, begun.Add(-600*time.Millisecond), a.gate.held[0].arrived)
}
