package jmtree_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const networkText = `{
	// The addresses of all agents.
	"Prefixes": [{"Number": 1, "Prefix": "10.0.0.0/8"}],
	"DataCentres": [{"Name": "lahore", "Region": "punjab"}],
}`

var keysText = fmt.Sprintf(`{
	"ConnectionID": [{"Number": 1, "Secret": %q, "Sealing": true}],
	"Datagram": [%q],
	"Control": [%q],
	"Reset": %q,
}`, hexOf(16), hexOf(16), hexOf(32), hexOf(32))

const balancersText = `{"Balancers": [{"Name": "b1", "DataCentre": "lahore", "Address": "10.0.1.1:7000"}]}`

func hexOf(size int) string { return strings.Repeat("ab", size) }

func fleet() jasminemoor.Subtree {
	return jasminemoor.Subtree{Path: jmtree.FleetPath, Revision: 1, Values: map[string]string{
		jmtree.NetworkName:   networkText,
		jmtree.KeysName:      keysText,
		jmtree.BalancersName: balancersText,
	}}
}

func team(name string, revision uint64, services ...string) jasminemoor.Subtree {
	s := jasminemoor.Subtree{Path: jmtree.TeamPrefix + name, Revision: revision, Values: make(map[string]string)}
	for i, text := range services {
		s.Values[fmt.Sprintf("service-%d", i+1)] = text
	}
	return s
}

// serviceText returns a service whose number, address, name and agent derive from n.
func serviceText(n int) string {
	return fmt.Sprintf(`{
	"Number": %d,
	"Address": "192.0.2.%d:443",
	"ServerName": "s%d.example",
	"Upstreams": [
		{"Name": "u1", "DataCentre": "lahore", "Agent": "10.0.2.%d:7100", "Address": "10.0.2.%d:80", "Weight": 1},
	],
}`, n, n, n, n, n)
}

func TestFaults(t *testing.T) {
	replace := func(old, replacement string) []jasminemoor.Subtree {
		text := serviceText(1)
		if !strings.Contains(text, old) {
			panic("the text has no " + old)
		}
		return []jasminemoor.Subtree{fleet(), team("rangla", 1, strings.Replace(text, old, replacement, 1))}
	}
	withFleet := func(name, text string) []jasminemoor.Subtree {
		f := fleet()
		f.Values[name] = text
		return []jasminemoor.Subtree{f}
	}
	const place = "Teams/rangla/service-1"
	cases := map[string]struct {
		tree   []jasminemoor.Subtree
		faults []string
	}{
		"no fault":              {[]jasminemoor.Subtree{fleet(), team("rangla", 1, serviceText(1), serviceText(2))}, nil},
		"no fleet":              {[]jasminemoor.Subtree{team("rangla", 1, serviceText(1))}, []string{"Fleet: subtree is missing"}},
		"syntax":                {replace(`"Number": 1,`, `"Number": 1`), []string{place + ":3: hujson: line 3, column 2: invalid character '\"' after object value (expecting ',' or '}')"}},
		"unknown field":         {replace(`"Number": 1,`, `"Number": 1, "Nmber": 2,`), []string{place + `:2 /Nmber: unknown field "Nmber"`}},
		"field twice":           {replace(`"Number": 1,`, `"Number": 1, "Number": 2,`), []string{place + `:1: field "Number" is given twice`}},
		"wrong type":            {replace(`"Number": 1,`, `"Number": "one",`), []string{place + ":2 /Number: a string can't be a jasminemoor.ServiceNumber"}},
		"number missing":        {replace(`"Number": 1,`, ``), []string{place + ":1 /Number: service number is missing"}},
		"bad address":           {replace(`192.0.2.1:443`, `192.0.2.1`), []string{place + `:3 /Address: not an ip:port`}},
		"unspecified":           {replace(`192.0.2.1:443`, `0.0.0.0:443`), []string{place + `:3 /Address: address "0.0.0.0:443" is unusable`}},
		"weight 0":              {replace(`"Weight": 1`, `"Weight": 0`), []string{place + ":6 /Upstreams/0/Weight: weight 0 is not between 1 and 1000"}},
		"negative slots":        {replace(`"Number": 1,`, `"Number": 1, "Limits": {"Slots": -1},`), []string{place + ":2 /Limits/Slots: value -1 is not between 0 and 10000"}},
		"duration":              {replace(`"Number": 1,`, `"Number": 1, "Limits": {"QueueWait": "2 seconds"},`), []string{`"2 seconds" is not a duration`}},
		"bad certificate":       {replace(`"Number": 1,`, `"Number": 1, "Certificate": {"Chain": "x", "Key": "y"},`), []string{place + ":2 /Certificate: certificate can't be used"}},
		"short secret":          {withFleet(jmtree.KeysName, strings.Replace(keysText, hexOf(16), hexOf(8), 1)), []string{"Fleet/Keys:2 /ConnectionID/0/Secret: secret has 8 bytes, not 16"}},
		"secret not hex":        {withFleet(jmtree.KeysName, strings.Replace(keysText, "abab", "xyxy", 1)), []string{"a secret is a string of hexadecimal digits"}},
		"no sealing key":        {withFleet(jmtree.KeysName, strings.Replace(keysText, "true", "false", 1)), []string{"no sealing key"}},
		"unknown document":      {withFleet("Kyes", "{}"), []string{"Fleet/Kyes: document is unknown"}},
		"prefix too wide":       {withFleet(jmtree.NetworkName, strings.Replace(networkText, "10.0.0.0/8", "2001:db8::/32", 1)), []string{"leaves more than 32 bits"}},
		"address claimed twice": {[]jasminemoor.Subtree{fleet(), team("a", 1, serviceText(1)), team("b", 1, strings.Replace(serviceText(2), "192.0.2.2", "192.0.2.1", 1))}, []string{"Teams/b/service-1: address 192.0.2.1:443 is claimed by a/service-1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			faults := jmtree.Check(tc.tree)
			require.Len(t, faults, len(tc.faults), "%v", faults)
			for i, fault := range faults {
				require.Contains(t, fault.Error(), tc.faults[i])
			}
		})
	}
}

func TestLastGoodStaysInForce(t *testing.T) {
	var tree jmtree.Tree
	require.Nil(t, tree.Config())
	require.True(t, tree.Put(fleet()))
	require.True(t, tree.Put(team("rangla", 2, serviceText(1))))
	require.True(t, tree.Put(team("halloran", 3, serviceText(2))))

	require.True(t, tree.Put(team("rangla", 4, `{"Number": 0}`)))
	c := tree.Config()
	require.Len(t, c.Services, 2, "the team's last good services stay in force")
	require.NotEmpty(t, c.Faults)
	require.Equal(t, uint64(2), c.Revisions["Teams/rangla"])

	require.True(t, tree.Put(team("halloran", 5, serviceText(3))))
	require.NotNil(t, tree.Config().Services[3], "another team's change comes into force")

	require.True(t, tree.Put(team("rangla", 6, serviceText(1), serviceText(4))))
	require.Empty(t, tree.Config().Faults)
	require.Len(t, tree.Config().Services, 3)
}

func TestRevisionsNeverGoBack(t *testing.T) {
	var tree jmtree.Tree
	tree.Put(fleet())
	require.True(t, tree.Put(team("rangla", 9, serviceText(9))))
	require.False(t, tree.Put(team("rangla", 9, serviceText(1))))
	require.False(t, tree.Put(team("rangla", 8, serviceText(1))))
	require.False(t, tree.Put(team("rangla", 0, serviceText(1))))
	require.NotNil(t, tree.Config().Services[9])
	require.Equal(t, jmtree.Revision{Newest: 9, Good: 9}, tree.Revisions()["Teams/rangla"])
}

// TestGoodAfterFaulty checks that a process which starts while the newest
// revision is faulty still gets the good one from its peers.
func TestGoodAfterFaulty(t *testing.T) {
	var old, joiner jmtree.Tree
	for _, s := range []jasminemoor.Subtree{fleet(), team("rangla", 2, serviceText(1)), team("rangla", 3, `{}`)} {
		old.Put(s)
	}
	joiner.Put(fleet())
	joiner.Put(team("rangla", 3, `{}`))
	require.Empty(t, joiner.Config().Services)

	for _, s := range old.Subtrees("Teams/rangla", joiner.Revisions()["Teams/rangla"]) {
		joiner.Put(s)
	}
	require.NotNil(t, joiner.Config().Services[1])
	require.Equal(t, old.Revisions(), joiner.Revisions())
	require.False(t, joiner.Put(team("rangla", 2, serviceText(1))))
}

func TestEmptySubtreeRemovesServices(t *testing.T) {
	var tree jmtree.Tree
	tree.Put(fleet())
	tree.Put(team("rangla", 2, serviceText(1)))
	require.True(t, tree.Put(team("rangla", 3)))
	require.Empty(t, tree.Config().Services)
}

func TestSecretsDoNotPrint(t *testing.T) {
	f, faults := jmtree.ParseFleet(fleet())
	require.Empty(t, faults)
	for _, text := range []string{fmt.Sprintf("%v", f), fmt.Sprintf("%+v", f), fmt.Sprintf("%#v", f.Keys)} {
		require.NotContains(t, text, "abab")
		require.NotContains(t, text, "171 171")
		require.NotContains(t, text, "0xab")
	}
}

// FuzzTeam checks that any text gives at most faults, and that services without
// faults have the fields that the rest of the code relies on.
func FuzzTeam(f *testing.F) {
	f.Add(serviceText(1))
	f.Add(`{"Number": 1, "Upstreams": [{}]}`)
	f.Add(`[`)
	f.Add(`{"Limits": {"QueueWait": "1s"}} // comment`)
	f.Fuzz(func(t *testing.T, text string) {
		services, faults := jmtree.ParseTeam(team("rangla", 1, text))
		if len(faults) > 0 {
			require.NotEmpty(t, faults[0].Cause)
			return
		}
		for _, s := range services {
			require.NotZero(t, s.Number)
			require.True(t, s.Address.IsValid())
			for _, u := range s.Upstreams {
				require.True(t, u.Agent.IsValid())
				require.NotZero(t, u.Weight)
			}
		}
	})
}

// FuzzFleet does the same as FuzzTeam for the fleet's subtree.
func FuzzFleet(f *testing.F) {
	f.Add(networkText, keysText, balancersText)
	f.Add(`{}`, `null`, `0`)
	f.Fuzz(func(t *testing.T, network, keys, balancers string) {
		s := fleet()
		s.Values = map[string]string{
			jmtree.NetworkName:   network,
			jmtree.KeysName:      keys,
			jmtree.BalancersName: balancers,
		}
		parsed, faults := jmtree.ParseFleet(s)
		if len(faults) > 0 {
			return
		}
		_, err := parsed.Codec()
		require.NoError(t, err)
		require.NotEmpty(t, parsed.DatagramKeys())
		require.NotEmpty(t, parsed.ControlKeys())
	})
}

// BenchmarkTeam parses and checks a team's subtree of five services with ten
// upstreams each, as every process does after a change.
func BenchmarkTeam(b *testing.B) {
	var services []string
	for n := range 5 {
		var upstreams strings.Builder
		for u := range 10 {
			fmt.Fprintf(&upstreams, "{\"Name\": \"u%d\", \"DataCentre\": \"lahore\", \"Agent\": \"10.%d.2.%d:7100\", \"Address\": \"10.%d.2.%d:80\", \"Weight\": 1},\n", u, n, u+1, n, u+1)
		}
		services = append(services, fmt.Sprintf("{\"Number\": %d, \"Address\": \"192.0.2.%d:443\", \"ServerName\": \"s%d.example\", \"Upstreams\": [%s]}", n+1, n+1, n+1, upstreams.String()))
	}
	s := team("rangla", 1, services...)
	for b.Loop() {
		if _, faults := jmtree.ParseTeam(s); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
