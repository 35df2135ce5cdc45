package jmcontrol

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

var startTime = time.Unix(1_700_000_000, 0)

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7100)
}

// settings returns a tree with one service of a number of upstreams.
func settings(t *testing.T, upstreams int) []jasminemoor.Subtree {
	t.Helper()
	text := func(value any) string {
		b, err := json.Marshal(value)
		require.NoError(t, err)
		return string(b)
	}
	secret := func(size int) string { return strings.Repeat("ab", size) }
	service := object{"Number": 1, "Address": "10.9.0.1:443", "ServerName": "shop.example"}
	var list []object
	for i := range upstreams {
		list = append(list, object{"Name": fmt.Sprintf("u%d", i+1), "Agent": agentAddr(i + 1), "Address": agentAddr(i + 101), "Weight": 1})
	}
	service["Upstreams"] = list
	return []jasminemoor.Subtree{
		{Path: jmtree.FleetPath, Revision: 1, Values: map[string]string{
			jmtree.NetworkName: `{"Prefixes": [{"Number": 1, "Prefix": "10.0.0.0/8"}]}`,
			jmtree.KeysName: text(object{
				"ConnectionID": []object{{"Number": 1, "Secret": secret(16), "Sealing": true}},
				"Datagram":     []string{secret(16)}, "Control": []string{secret(32)}, "Reset": secret(32),
			}),
			jmtree.BalancersName: `{}`,
		}},
		{Path: jmtree.TeamPrefix + "rangla", Revision: 2, Values: map[string]string{"shop": text(service)}},
	}
}

// object is an object of a settings document.
type object map[string]any

func newConfirming(t *testing.T, upstreams int) *Machine {
	t.Helper()
	m := &Machine{
		Identity: jasminemoor.Identity{Agent: agentAddr(1)}, Rand: rand.New(rand.NewPCG(1, 1)),
		Loads: &jmload.Reports{}, NeedsConfirmation: true,
	}
	m.HandleSyncReply(startTime, netip.MustParseAddrPort("10.1.0.1:7000"), &SyncReply{Subtrees: settings(t, upstreams)})
	require.NotNil(t, m.Config())
	return m
}

// TestSettingsOfOnePeerAreNotConfirmed checks which answers show that settings are recent.
func TestSettingsOfOnePeerAreNotConfirmed(t *testing.T) {
	newer := jasminemoor.Revisions{At: 3, Subtrees: map[string]uint64{"Fleet": 1, "Teams/rangla": 3}}
	same := jasminemoor.Revisions{At: 2, Subtrees: map[string]uint64{"Fleet": 1, "Teams/rangla": 2}}
	own, other := func(m *Machine) uint64 { return m.gossip.Digest() }, func(*Machine) uint64 { return 7 }
	fromPeers := func(digest func(*Machine) uint64, peers ...int) func(m *Machine) {
		return func(m *Machine) {
			for _, i := range peers {
				m.Handle(startTime, &Message{From: agentAddr(i), Digest: digest(m)})
			}
		}
	}
	cases := map[string]struct {
		upstreams      int
		isPlatformLost bool
		inform         func(m *Machine)
		want           bool
	}{
		"one peer that is no member":      {9, true, func(*Machine) {}, false},
		"platform lists the same":         {9, false, func(m *Machine) { m.ConfirmByPlatform(same) }, true},
		"platform lists newer ones":       {9, false, func(m *Machine) { m.ConfirmByPlatform(newer) }, false},
		"two members":                     {9, true, fromPeers(own, 2, 3), false},
		"one member three times":          {9, true, fromPeers(own, 2, 2, 2), false},
		"three members":                   {9, true, fromPeers(own, 2, 3, 4), true},
		"three members, platform answers": {9, false, fromPeers(own, 2, 3, 4), false},
		"three that are not members":      {9, true, fromPeers(own, 20, 30, 40), false},
		"three members with other ones":   {9, true, fromPeers(other, 2, 3, 4), false},
		"the only other member":           {2, true, fromPeers(own, 2), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newConfirming(t, tc.upstreams)
			if tc.isPlatformLost {
				m.RecordPlatformLoss()
			}
			require.True(t, m.ShouldRead(startTime))
			tc.inform(m)
			require.Equal(t, tc.want, m.IsConfirmed())
		})
	}
}

// TestNewerSettingsNeedConfirmation has newer settings arrive while two members have confirmed
// the present ones.
func TestNewerSettingsNeedConfirmation(t *testing.T) {
	m := newConfirming(t, 9)
	m.RecordPlatformLoss()
	for i := range 2 {
		m.Handle(startTime, &Message{From: agentAddr(i + 2), Digest: m.gossip.Digest()})
	}
	next := settings(t, 9)[1]
	next.Revision = 3
	m.Put([]jasminemoor.Subtree{next})
	m.Handle(startTime, &Message{From: agentAddr(4), Digest: m.gossip.Digest()})
	require.False(t, m.IsConfirmed())
	for i := range 2 {
		m.Handle(startTime, &Message{From: agentAddr(i + 2), Digest: m.gossip.Digest()})
	}
	require.True(t, m.IsConfirmed())
}
