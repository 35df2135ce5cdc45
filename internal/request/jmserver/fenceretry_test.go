package jmserver_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
)

// unreachablePeers are peers to which no link opens until a time.
type unreachablePeers struct {
	jasminemoor.Peers
	until time.Time
	asked int
}

func (p *unreachablePeers) Fence(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID, wait time.Duration) (jasminemoor.Fence, error) {
	p.asked++
	if time.Now().Before(p.until) {
		return jasminemoor.Fence{}, jasminemoor.ErrNotSent
	}
	return p.Peers.Fence(ctx, at, id, wait)
}

// TestFenceWaitsForLink sends a retry while no link to the agent of its earlier attempt
// opens. The outcome is unknown only if the link stays away for longer than the caller
// can wait.
func TestFenceWaitsForLink(t *testing.T) {
	cases := map[string]struct {
		away    time.Duration
		timeout time.Duration
		ran     bool // the earlier attempt has run
		want    jasminemoor.Outcome
	}{
		"back in time":               {6 * time.Second, 10 * time.Second, false, jasminemoor.OutcomeAccepted},
		"back in time, attempt ran":  {6 * time.Second, 10 * time.Second, true, jasminemoor.OutcomeAccepted},
		"away for too long":          {9 * time.Second, 10 * time.Second, false, jasminemoor.OutcomeUnknown},
		"caller can't wait":          {time.Second, time.Second, false, jasminemoor.OutcomeUnknown},
		"caller without a deadline":  {6 * time.Second, 0, false, jasminemoor.OutcomeAccepted},
		"no deadline, away for long": {time.Minute, 0, false, jasminemoor.OutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all := newFleet(2, roomy)
				if tc.ran {
					status, _, err := ask(all[1], newHeader(), "order")
					require.NoError(t, err)
					require.Equal(t, jasminemoor.OutcomeAccepted, status.Outcome)
				}
				links := &unreachablePeers{Peers: all[0].Server.Peers, until: time.Now().Add(tc.away)}
				all[0].Server.Peers = links
				header := newHeader(all[1].Identity())
				header.Timeout = tc.timeout
				start := time.Now()
				status, _, err := ask(all[0], header, "order")
				require.NoError(t, err)
				require.Equal(t, tc.want, status.Outcome, status.Reason)
				if tc.timeout > 0 {
					require.Less(t, time.Since(start), tc.timeout)
				}
				require.LessOrEqual(t, runsOf(all), 1)
				require.Less(t, links.asked, 200, "the fence is asked at a bounded rate")
			})
		})
	}
}

// runsOf returns how often the request of newHeader ran at all upstreams.
func runsOf(all []*jmfake.Agent) (n int) {
	for _, a := range all {
		n += a.Upstream.Total()
	}
	return n
}
