package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

func TestRetriesOfCallers(t *testing.T) {
	caller, other := netip.MustParseAddr("10.9.0.1"), netip.MustParseAddr("10.9.0.2")
	age := 300 * time.Millisecond
	cases := map[string]struct {
		resets int
		caller netip.Addr
		after  time.Duration
		want   []time.Duration // of flows opened one after the other
	}{
		"at once":                  {1, caller, 0, []time.Duration{age, 0}},
		"after a pause":            {1, caller, retryTime, []time.Duration{age + retryTime, 0}},
		"too late for a retry":     {1, caller, retryTime + 1, []time.Duration{0}},
		"another caller":           {1, other, 0, []time.Duration{0}},
		"two flows of one address": {2, caller, 0, []time.Duration{age, age, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r retries
			for range tc.resets {
				r.add(begun, caller, age)
			}
			for _, want := range tc.want {
				require.Equal(t, want, r.take(begun.Add(tc.after), tc.caller))
			}
			r.forget(begun.Add(retryTime + 1))
			require.Empty(t, r.callers)
		})
	}
}

// TestRetriesAreBounded has more flows reset than are remembered.
func TestRetriesAreBounded(t *testing.T) {
	var r retries
	for i := range 2 * maxRetriers {
		for range 2 * maxRetries {
			r.add(begun, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), time.Second)
		}
	}
	require.Len(t, r.callers, maxRetriers)
	for _, known := range r.callers {
		require.Len(t, known, maxRetries)
	}
}

// TestRetryGoesAfterThoseInTime follows a request whose flow was lost: the agent
// tells the balancers, and the new flow's request waits behind one in time.
func TestRetryGoesAfterThoseInTime(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests {
		flowOf(a, begun, i)
	}
	retried := opening(shop)
	retried.Source = netip.AddrPortFrom(callers.Addr(), 3000)
	h := forwardHeader(0)
	h.Age = repeatedAge
	_, _ = a.HandlePeer(begun, front, h, retried, nil)
	answer := fromUpstream(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	answer.Destination = retried.Source
	_, _ = a.HandleUpstream(begun, answer, nil, false)
	request := data(callerSequence+1, 10)
	request.Source = retried.Source
	out, _ := a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), request, []byte("retried"))
	require.Empty(t, out)
	require.Empty(t, flowOf(a, begun, 40), "a newer request waits as well")
	out = answerTo(a, begun.Add(time.Millisecond), 0)
	require.Equal(t, []byte{40}, find(out, ToUpstream).Packet, "the newer one can be in time")
	out = answerTo(a, begun.Add(time.Millisecond), 1)
	require.Equal(t, []byte("retried"), find(out, ToUpstream).Packet)
}

// TestGoneIsTold tells the balancers of one data centre of a reset, with the age
// of the request, and none of a flow without one.
func TestGoneIsTold(t *testing.T) {
	near, remote := netip.MustParseAddr("10.1.0.2"), netip.MustParseAddr("10.1.0.3")
	cases := map[string]struct {
		length int
		want   map[netip.Addr]time.Duration
	}{
		"with a request": {10, map[netip.Addr]time.Duration{front: repeatedAge, near: repeatedAge}},
		"without":        {0, map[netip.Addr]time.Duration{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(false, snapshot(1))
			for addr, code := range map[netip.Addr]uint8{near: 1, remote: 2} {
				syn := opening(shop)
				syn.Source = netip.AddrPortFrom(addr, 9)
				_, _ = a.HandlePeer(begun, addr, &jmhop.Header{Kind: jmhop.KindForward, Origin: addr, DataCentre: code}, syn, nil)
			}
			p := data(callerSequence+1, tc.length)
			_, reason := a.HandlePeer(begun, front, &jmhop.Header{Kind: jmhop.KindForward, Origin: front, DataCentre: 1}, p, nil)
			require.Equal(t, ReasonTested, reason)
			p.Flags |= jasminemoor.FlagReturned
			out, _ := a.HandleUpstream(begun, p, nil, false)
			told := make(map[netip.Addr]time.Duration)
			for i := range out {
				if out[i].Header.Kind == jmhop.KindGone {
					told[out[i].To] = out[i].Header.Age
				}
			}
			require.Equal(t, tc.want, told)
			require.Equal(t, Reset, out[len(out)-1].Kind)
		})
	}
}

// TestBalancerPassesTheAgeOn marks the next flow of a caller whose flow was reset.
func TestBalancerPassesTheAgeOn(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	b.HandleGone(begun, agentAddr(1), data(1, 0).Key(), repeatedAge)
	b.HandleGone(begun, netip.MustParseAddr("10.77.0.1"), data(1, 0).Key(), time.Second)
	require.Equal(t, uint64(1), b.Counts[ReasonStranger])
	next := opening(shop)
	next.Source = netip.AddrPortFrom(callers.Addr(), 4000)
	m, _ := b.Handle(begun, next)
	require.Equal(t, repeatedAge, m.Header.Age)
	next.Source = netip.AddrPortFrom(callers.Addr(), 4001)
	m, _ = b.Handle(begun, next)
	require.Zero(t, m.Header.Age)
}
