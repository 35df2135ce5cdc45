package jmpassnode

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
)

// TestAddLimit checks that the line of a refusal names its route, account and limit.
func TestAddLimit(t *testing.T) {
	floor := netip.MustParseAddrPort("198.18.0.1:8443")
	a := &Agent{}
	a.control = &Control{}
	a.control.snapshot.Store(&jmpass.Snapshot{View: &jmdirectory.View{Routes: map[netip.AddrPort]*jmdirectory.Route{
		floor: {Route: jasminemoor.Route{Name: "floor", Address: floor, Timeout: 3 * time.Second}},
	}}})
	a.SetShares(&jmlocal.Shares{Accounts: []jasminemoor.ClientAccount{
		{Name: "guests", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, MaxWaiting: 4},
	}})
	guest, stranger := netip.MustParseAddrPort("100.64.0.6:1031"), netip.MustParseAddrPort("100.64.1.6:1031")
	gone := netip.MustParseAddrPort("198.18.0.9:8443")
	cases := map[string]struct {
		reason        jmpass.Reason
		caller, route netip.AddrPort
		fields        logrus.Fields
	}{
		"over the limit":    {jmpass.ReasonOverLimit, guest, floor, logrus.Fields{"Route": "floor", "Account": "guests", "MaxWaiting": 4}},
		"in vain":           {jmpass.ReasonInVain, guest, floor, logrus.Fields{"Route": "floor", "Account": "guests", "TimeoutMs": int64(3000)}},
		"of no account":     {jmpass.ReasonInVain, stranger, floor, logrus.Fields{"Route": "floor", "TimeoutMs": int64(3000)}},
		"given up":          {jmpass.ReasonGivenUp, stranger, floor, logrus.Fields{"Route": "floor", "TimeoutMs": int64(3000)}},
		"route is gone":     {jmpass.ReasonGivenUp, guest, gone, logrus.Fields{"Route": gone.String(), "Account": "guests"}},
		"no limit concerns": {jmpass.ReasonHeld, guest, floor, logrus.Fields{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fields := logrus.Fields{}
			a.addLimit(fields, tc.reason, jasminemoor.NewFlowKey(tc.caller, tc.route))
			require.Equal(t, tc.fields, fields)
		})
	}
}
