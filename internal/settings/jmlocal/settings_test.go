package jmlocal_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const agentText = `// An agent.
{
	"Name": "side-1", "Address": "10.0.0.2", "DataCentre": "a", "FirstPort": 7720, "LastPort": 7735,
	"Seeds": ["10.0.0.1:8166"], "Packets": "10.0.0.2:8172", "Outbound": "10.0.0.2:8162",
	"Ready": "10.0.0.2:8167", "Upstream": "10.0.0.2:8165", "Service": "shop",
	"Shares": {"Accounts": [{"Name": "gold", "Networks": ["100.64.0.0/24"], "Weight": 3, "MaxWaiting": 20}, {"Name": "silver", "Networks": ["100.64.1.0/24"]}]},
	"MaxFlowAge": "45s", "ColdOverrun": 1.5, "ColdSlack": 5, "Platform": {"Address": "10.9.0.1:8169"}, "Unknown": [1],
}`

func TestParse(t *testing.T) {
	s, err := jmlocal.Parse([]byte(agentText), jmlocal.RoleAgent)
	require.NoError(t, err)
	require.Equal(t, "side-1", s.Name)
	require.Equal(t, "10.9.0.1:8169", s.Platform.Address.String())
	require.Len(t, s.Seeds, 1)
	require.Equal(t, jmtree.Duration(45*time.Second), s.MaxFlowAge)
	require.Equal(t, []jasminemoor.ClientAccount{
		{Name: "gold", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, Weight: 3, MaxWaiting: 20},
		{Name: "silver", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.1.0/24")}},
	}, s.Shares.Accounts)
	require.InDelta(t, 1.5, s.ColdOverrun, 0)
	require.InDelta(t, 5, s.ColdSlack, 0)
	s, err = jmlocal.Parse([]byte(strings.Replace(agentText, `"ColdOverrun": 1.5, "ColdSlack": 5, `, "", 1)), jmlocal.RoleAgent)
	require.NoError(t, err)
	require.InDelta(t, 1, s.ColdOverrun, 0)
	require.InDelta(t, 0, s.ColdSlack, 0)
}

func TestParseErrorNamesField(t *testing.T) {
	cases := map[string]struct{ old, replacement, field string }{
		"no address":      {`"Address": "10.0.0.2", `, "", "Address"},
		"no data centre":  {`"DataCentre": "a", `, "", "DataCentre"},
		"ports reversed":  {`7735`, `7`, "FirstPort"},
		"no packets":      {`"Packets": "10.0.0.2:8172", `, "", "Packets"},
		"packets, port 0": {`10.0.0.2:8172`, `10.0.0.2:0`, "Packets"},
		"no outbound":     {`"Outbound": "10.0.0.2:8162",`, "", "Outbound"},
		"no upstream":     {`"Upstream": "10.0.0.2:8165", `, "", "Upstream"},
		"no service":      {`"Service": "shop",`, "", "Service"},
		"no platform":     {`"Address": "10.9.0.1:8169"`, "", "Platform.Address"},
		"cold overrun":    {`1.5`, `-1`, "ColdOverrun"},
		"cold slack":      {`"ColdSlack": 5`, `"ColdSlack": -1`, "ColdSlack"},
		"flow age":        {`"45s"`, `"-1s"`, "MaxFlowAge"},
		"account's name":  {`"gold"`, `""`, "Shares.Accounts[0].Name"},
		"a name twice":    {`"gold"`, `"silver"`, "Shares.Accounts[1].Name"},
		"no networks":     {`, "Networks": ["100.64.1.0/24"]`, "", "Shares.Accounts[1].Networks"},
		"weight":          {`"Weight": 3`, `"Weight": -1`, "Shares.Accounts[0].Weight"},
		"max waiting":     {`"MaxWaiting": 20`, `"MaxWaiting": -1`, "Shares.Accounts[0].MaxWaiting"},
		"another type":    {`"DataCentre": "a"`, `"DataCentre": 5`, "DataCentre"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(agentText, tc.old, tc.replacement, 1)
			require.NotEqual(t, agentText, text)
			_, err := jmlocal.Parse([]byte(text), jmlocal.RoleAgent)
			require.ErrorContains(t, err, tc.field)
		})
	}
}

func TestFieldsNeedingRestart(t *testing.T) {
	old, err := jmlocal.Parse([]byte(agentText), jmlocal.RoleAgent)
	require.NoError(t, err)
	next := *old
	next.Service, next.Seeds = "desk", nil
	require.Empty(t, old.FieldsNeedingRestart(&next))
	next.Upstream = netip.MustParseAddrPort("10.0.0.2:8166")
	require.Equal(t, []string{"Upstream"}, old.FieldsNeedingRestart(&next))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(agentText))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := jmlocal.Parse(text, jmlocal.RoleAgent); err == nil {
			require.True(t, s.Address.IsValid())
		}
	})
}
