package jmoperator_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/operate/jmoperator"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// TestPassStatusOfIdleProcesses asks processes that do not run yet.
func TestPassStatusOfIdleProcesses(t *testing.T) {
	settings := &jmlocal.Settings{Name: "side-1", DataCentre: "a", Service: "shop"}
	b := jmoperator.PassBalancerStatus(&jmpassnode.Balancer{Settings: settings})
	require.Equal(t, map[string]uint64{"no_view": 0, "no_route": 0, "no_upstream": 0, "over_limit": 0, "in_vain": 0}, b.Refusals)
	var out strings.Builder
	require.NoError(t, b.Print(&out))
	require.Contains(t, out.String(), "passthrough balancer side-1 in a\ndirectory: not known yet\n0 flows\n")
	a := jmoperator.PassAgentStatus(&jmpassnode.Agent{Settings: settings})
	require.Equal(t, "shop", a.Pass.Service)
}

func TestPrintPassStatus(t *testing.T) {
	s := &jmoperator.Status{
		Role: "passthrough agent", DataCentre: "a", Flows: 12, Running: 3, Waiting: 5,
		Refusals: map[string]uint64{"over_limit": 7, "in_vain": 0},
		Pass: &jmoperator.PassStatus{
			Name: "side-1", Service: "shop", Version: 76, Revision: 93, AgeMs: 120, IsOverload: true, IsShared: true,
			Accounts: []jasminemoor.ClientAccount{{Name: "guests", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, MaxWaiting: 4}},
			Load: []jmpassnode.PartyLoad{
				{Route: "floor", Account: "guests", Waiting: 4, LongestMs: 820, InTime: 90, Late: 6, GivenUp: 2, Refused: 7},
				{Route: "floor", Waiting: 1, LongestMs: 15},
			},
		},
	}
	var out strings.Builder
	require.NoError(t, s.Print(&out))
	require.Equal(t, `passthrough agent side-1 in a, service shop
directory: version 76, revision 93, 120 ms old
12 flows, 3 requests in flight, 5 waiting
overload: requests have waited without a gap for more than a second
refusals, in_vain: 0
refusals, over_limit: 7
account  weight  limit  networks
guests   1       4      100.64.0.0/24
route  account  waiting  longest  in time  late  given up  refused
floor  guests   4        820 ms   90       6     2         7
floor  -        1        15 ms    0        0     0         0
`, out.String())
}
