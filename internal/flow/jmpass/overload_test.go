package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
)

// TestOverloadIsReported has requests wait for longer than a second, and then answers them
// all. The agent reports the beginning of the overload, and at its end what became of the
// requests.
func TestOverloadIsReported(t *testing.T) {
	var reports []*jmoverload.Episode
	a := newAgent(true, snapshot(1))
	a.SetShares(true, []jasminemoor.ClientAccount{{Name: "one", Networks: []netip.Prefix{netip.PrefixFrom(callerAddr.Addr(), 24)}}})
	a.OnOverload = func(episode *jmoverload.Episode) { reports = append(reports, episode) }
	party := jmoverload.Party{Route: shop, Account: "one"}
	const waiting = 3
	for i := range 2 + spareRequests + waiting {
		sendRequest(a, startTime, i)
	}
	require.Equal(t, map[jmoverload.Party]Waiting{party: {Requests: waiting, Longest: time.Second}}, a.Waiting(startTime.Add(time.Second)))
	now := startTime
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			_, _ = a.Tick(now)
		}
	}
	// The answers are overdue after a second, which lets the next requests go.
	tick(minRequestTimeout + 500*time.Millisecond)
	require.Equal(t, []*jmoverload.Episode{nil}, reports)
	require.Empty(t, a.Waiting(now))
	tick(2 * time.Second)
	require.Len(t, reports, 2)
	require.Equal(t, waiting, reports[1].MostWaiting)
	require.Equal(t, map[jmoverload.Party]jmoverload.Tally{party: {jmoverload.Late: waiting}}, reports[1].Tallies)
	require.Equal(t, reports[1].Tallies, a.Outcomes())
	require.False(t, a.IsOverloaded())
}
