package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// queueOf returns a queue with requests of two callers of one route. The requests of the
// first one have the earlier targets.
func queueOf(isFair bool, accounts []jasminemoor.ClientAccount) *Agent {
	a := &Agent{}
	a.SetShares(isFair, accounts)
	for i := range 4 {
		for caller := range 2 {
			source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller), 1}), uint16(2000+i))
			target := startTime.Add(time.Duration(100+100*caller+i) * time.Millisecond)
			a.queue.push(&request{
				flow: jasminemoor.NewFlowKey(source, shop), arrived: startTime, target: target, deadline: startTime.Add(3 * time.Second),
			})
		}
	}
	return a
}

// admitted returns the callers of the requests in the order in which they are admitted.
func admitted(a *Agent) (callers []byte) {
	for len(a.queue.requests) > 0 {
		r := a.queue.next(startTime, 10*time.Millisecond, 2)
		callers = append(callers, r.flow.Caller().Addr().As4()[2])
	}
	return callers
}

// TestAdmissionByShares admits the requests of two callers by time, and by share where that
// is set.
func TestAdmissionByShares(t *testing.T) {
	threeToOne := []jasminemoor.ClientAccount{{Name: "first", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, Weight: 3}}
	cases := map[string]struct {
		isFair   bool
		accounts []jasminemoor.ClientAccount
		order    []byte
	}{
		"by time":      {order: []byte{0, 0, 0, 0, 1, 1, 1, 1}},
		"by share":     {isFair: true, order: []byte{0, 1, 0, 1, 0, 1, 0, 1}},
		"three to one": {isFair: true, accounts: threeToOne, order: []byte{0, 1, 0, 0, 0, 1, 1, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.order, admitted(queueOf(tc.isFair, tc.accounts)))
		})
	}
	t.Run("switched off meanwhile", func(t *testing.T) {
		a := queueOf(true, nil)
		a.SetShares(false, nil)
		require.Equal(t, []byte{0, 0, 0, 0, 1, 1, 1, 1}, admitted(a))
	})
	t.Run("switched on meanwhile", func(t *testing.T) {
		a := queueOf(false, nil)
		a.SetShares(true, nil)
		require.Equal(t, []byte{0, 1, 0, 1, 0, 1, 0, 1}, admitted(a))
	})
}

// TestAccountOverLimit refuses new flows of a client account that has as many requests
// waiting as it may, and accepts its next one once they have gone. Only the first copy of an
// opening packet is answered.
func TestAccountOverLimit(t *testing.T) {
	a := newAgent(true, snapshot(1))
	a.SetShares(true, []jasminemoor.ClientAccount{{Name: "one", Networks: []netip.Prefix{netip.PrefixFrom(callerAddr.Addr(), 24)}, MaxWaiting: 2}})
	for i := range 2 + spareRequests + 2 {
		sendRequest(a, startTime, i)
	}
	require.Len(t, a.queue.requests, 2)
	syn := openingPacket(shop)
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), syn, nil)
	require.Equal(t, ReasonOverLimit, reason)
	require.NotNil(t, find(out, Reset))
	syn.Age = 200 * time.Millisecond
	out, reason = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), syn, nil)
	require.Equal(t, ReasonOverLimit, reason)
	require.Nil(t, find(out, Reset))
	sendAnswer(a, startTime, 0)
	_, reason = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), syn, nil)
	require.Equal(t, ReasonHeld, reason)
}
