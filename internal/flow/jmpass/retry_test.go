package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestRetriesOfCallers checks which new flows count as retries, and the age of their
// requests.
func TestRetriesOfCallers(t *testing.T) {
	caller, other := netip.MustParseAddr("10.9.0.1"), netip.MustParseAddr("10.9.0.2")
	age := 300 * time.Millisecond
	cases := map[string]struct {
		resets int
		caller netip.Addr
		after  time.Duration
		want   []time.Duration // ages for flows opened one after the other
	}{
		"at once":                  {1, caller, 0, []time.Duration{age, 0}},
		"after a pause":            {1, caller, retryWindow, []time.Duration{age + retryWindow, 0}},
		"too late for a retry":     {1, caller, retryWindow + 1, []time.Duration{0}},
		"another caller":           {1, other, 0, []time.Duration{0}},
		"two flows of one address": {2, caller, 0, []time.Duration{age, age, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r retries
			for range tc.resets {
				r.add(startTime, caller, age)
			}
			for _, want := range tc.want {
				require.Equal(t, want, r.claim(startTime.Add(tc.after), tc.caller))
			}
			r.expire(startTime.Add(retryWindow + 1))
			require.Empty(t, r.callers)
		})
	}
}

// TestRetriesAreBounded has more flows reset than are stored.
func TestRetriesAreBounded(t *testing.T) {
	var r retries
	for i := range 2 * maxRetryCallers {
		for range 2 * maxRetries {
			r.add(startTime, netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), time.Second)
		}
	}
	require.Len(t, r.callers, maxRetryCallers)
	for _, known := range r.callers {
		require.Len(t, known, maxRetries)
	}
}

// TestRetryGoesAfterRequestsInTime opens a flow with the age of a retry: its request
// is queued behind a newer one that can still meet its target.
func TestRetryGoesAfterRequestsInTime(t *testing.T) {
	a := newAgent(true, snapshot(1))
	for i := range 2 + spareRequests {
		sendRequest(a, startTime, i)
	}
	retried := openingPacket(shop)
	retried.Source = netip.AddrPortFrom(callerAddr.Addr(), 3000)
	h := forwardHeader(0)
	h.Age = retransmittedAge
	_, _ = a.HandlePeer(startTime, balancerAddr, h, retried, nil)
	answer := upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
	answer.Destination = retried.Source
	_, _ = a.HandleUpstream(startTime, answer, nil, false)
	request := dataPacket(callerSequence+1, 10)
	request.Source = retried.Source
	out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), request, []byte("retried"))
	require.Empty(t, out)
	require.Empty(t, sendRequest(a, startTime, 40), "a newer request is queued as well")
	out = sendAnswer(a, startTime.Add(time.Millisecond), 0)
	require.Equal(t, []byte{40}, find(out, ToUpstream).Packet, "the newer one can meet its target")
	out = sendAnswer(a, startTime.Add(time.Millisecond), 1)
	require.Equal(t, []byte("retried"), find(out, ToUpstream).Packet)
}

// TestResetIsAnnounced announces the reset of a flow with a request, and the request's
// age, to the balancers of one data centre. That of a flow without one is not
// announced.
func TestResetIsAnnounced(t *testing.T) {
	near, remote := netip.MustParseAddr("10.1.0.2"), netip.MustParseAddr("10.1.0.3")
	cases := map[string]struct {
		length int
		want   map[netip.Addr]time.Duration
	}{
		"with a request": {10, map[netip.Addr]time.Duration{balancerAddr: retransmittedAge, near: retransmittedAge}},
		"without":        {0, map[netip.Addr]time.Duration{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(false, snapshot(1, justStarted))
			for addr, code := range map[netip.Addr]uint8{near: 1, remote: 2} {
				syn := openingPacket(shop)
				syn.Source = netip.AddrPortFrom(addr, 9)
				_, _ = a.HandlePeer(startTime, addr, &jmhop.Header{Kind: jmhop.KindForward, Origin: addr, DataCentre: code}, syn, nil)
			}
			p := dataPacket(callerSequence+1, tc.length)
			_, reason := a.HandlePeer(startTime, balancerAddr, &jmhop.Header{Kind: jmhop.KindForward, Origin: balancerAddr, DataCentre: 1}, p, nil)
			require.Equal(t, ReasonProbed, reason)
			p.Flags |= jasminemoor.FlagReturned
			out, _ := a.HandleUpstream(startTime, p, nil, false)
			announced := make(map[netip.Addr]time.Duration)
			for i := range out {
				if out[i].Header.Kind == jmhop.KindFlowReset {
					announced[out[i].To] = out[i].Header.Age
				}
			}
			require.Equal(t, tc.want, announced)
			require.Equal(t, Reset, out[len(out)-1].Kind)
		})
	}
}

// TestBalancerSendsAgeOfRetry puts the age of the request into the header of the next
// flow of a caller whose flow was reset.
func TestBalancerSendsAgeOfRetry(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	b.HandleFlowReset(startTime, agentAddr(1), dataPacket(1, 0).Key(), retransmittedAge)
	b.HandleFlowReset(startTime, netip.MustParseAddr("10.77.0.1"), dataPacket(1, 0).Key(), time.Second)
	require.Equal(t, uint64(1), b.Counts[ReasonUnknownSender])
	next := openingPacket(shop)
	next.Source = netip.AddrPortFrom(callerAddr.Addr(), 4000)
	m, _ := b.Handle(startTime, next)
	require.Equal(t, retransmittedAge, m.Header.Age)
	next.Source = netip.AddrPortFrom(callerAddr.Addr(), 4001)
	m, _ = b.Handle(startTime, next)
	require.Zero(t, m.Header.Age)
}
