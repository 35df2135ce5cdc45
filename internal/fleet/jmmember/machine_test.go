package jmmember

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start  = time.Unix(1000, 0)
	self   = netip.MustParseAddrPort("10.0.0.1:1")
	peerA  = netip.MustParseAddrPort("10.0.0.2:1")
	peerB  = netip.MustParseAddrPort("10.0.0.3:1")
	remote = netip.MustParseAddrPort("10.9.0.1:1")
)

func newMachine() *Machine {
	m := &Machine{
		Self:        Member{Address: self, DataCentre: "here"},
		Incarnation: 100,
		Rand:        rand.New(rand.NewPCG(1, 1)),
	}
	m.SetMembers([]Member{
		{Address: self, DataCentre: "here"},
		{Address: peerA, DataCentre: "here"},
		{Address: peerB, DataCentre: "here"},
		{Address: remote, DataCentre: "there"},
	})
	return m
}

func TestOverrides(t *testing.T) {
	cases := map[string]struct {
		known, received Update
		overrides       bool
	}{
		"same":                             {Update{Incarnation: 5}, Update{Incarnation: 5}, false},
		"suspicion of the same version":    {Update{Incarnation: 5}, Update{Incarnation: 5, Liveness: Suspect}, true},
		"death after suspicion":            {Update{Incarnation: 5, Liveness: Suspect}, Update{Incarnation: 5, Liveness: Dead}, true},
		"suspicion after death":            {Update{Incarnation: 5, Liveness: Dead}, Update{Incarnation: 5, Liveness: Suspect}, false},
		"refutation":                       {Update{Incarnation: 5, Liveness: Dead}, Update{Incarnation: 5, Version: 1}, true},
		"old refutation":                   {Update{Incarnation: 5, Version: 1, Liveness: Suspect}, Update{Incarnation: 5, Version: 1}, false},
		"restart":                          {Update{Incarnation: 5, Version: 9, Liveness: Dead}, Update{Incarnation: 6}, true},
		"update of an earlier incarnation": {Update{Incarnation: 6}, Update{Incarnation: 5, Version: 9, Liveness: Dead}, false},
		"suspicion without an incarnation": {Update{Incarnation: 5}, Update{Liveness: Suspect}, true},
		"suspicion after a death without an incarnation":   {Update{Liveness: Dead}, Update{Incarnation: 5, Liveness: Suspect}, false},
		"refutation of a suspicion without an incarnation": {Update{Liveness: Suspect}, Update{Incarnation: 5}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.overrides, tc.received.overrides(&tc.known))
		})
	}
}

// tickWithoutAnswers runs a machine whose peers never answer.
func tickWithoutAnswers(m *Machine, from, to time.Duration) (sent []Packet) {
	for d := from; d < to; d += 100 * time.Millisecond {
		sent = append(sent, m.Tick(start.Add(d))...)
	}
	return sent
}

func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	m := newMachine()
	sent := tickWithoutAnswers(m, 0, 1200*time.Millisecond)
	require.Equal(t, TypePing, sent[0].Message.Type)
	target := sent[0].To
	helpers := 0
	for _, p := range sent {
		if p.Message.Type == TypePingRequest {
			require.Equal(t, target, p.Message.Target)
			require.NotEqual(t, target, p.To)
			helpers++
		}
	}
	require.Positive(t, helpers)
	require.Equal(t, Suspect, m.States()[target].Liveness)
	tickWithoutAnswers(m, 1200*time.Millisecond, 6*time.Second)
	require.Equal(t, Dead, m.States()[target].Liveness)
}

func TestAnswerThroughHelper(t *testing.T) {
	requester, helper := newMachine(), newMachine()
	helper.Self.Address = peerB
	ping := requester.Tick(start)[0]
	out := helper.Handle(start, self, &Message{Type: TypePingRequest, Sequence: ping.Message.Sequence, Target: remote})
	require.Len(t, out, 1)
	require.Equal(t, remote, out[0].To)
	out = helper.Handle(start, remote, &Message{Type: TypeAck, Sequence: out[0].Message.Sequence})
	require.Len(t, out, 1)
	require.Equal(t, self, out[0].To)
	require.Equal(t, ping.Message.Sequence, out[0].Message.Sequence)
	requester.Handle(start, peerB, &out[0].Message)
	tickWithoutAnswers(requester, 100*time.Millisecond, 1200*time.Millisecond)
	require.Equal(t, Alive, requester.States()[ping.To].Liveness)
}

func TestRefutesSuspicion(t *testing.T) {
	m := newMachine()
	m.Handle(start, peerA, &Message{Type: TypePing, Updates: []Update{{Member: self, Incarnation: 100, Liveness: Suspect}}})
	require.Equal(t, uint32(1), m.own.Version)
	m.Leave()
	leaving := m.ownUpdate()
	require.True(t, leaving.IsLeaving)
	m.Handle(start, peerA, &Message{Type: TypePing, Updates: []Update{{Member: self, Incarnation: 100, Version: 1}}})
	require.Equal(t, leaving, m.ownUpdate(), "an old update of this process changes nothing")
}

func TestPauseSuspectsNobody(t *testing.T) {
	m := newMachine()
	m.Tick(start)
	m.Tick(start.Add(30 * time.Second))
	require.True(t, m.IsStale())
	for addr, s := range m.States() {
		require.Equal(t, Alive, s.Liveness, addr)
	}
	m.Handle(start.Add(30*time.Second), peerA, &Message{Type: TypeAck})
	require.False(t, m.IsStale())
}

func TestNeverStaleWithoutPeers(t *testing.T) {
	m := newMachine()
	m.SetMembers([]Member{m.Self})
	m.Tick(start)
	require.Empty(t, m.Tick(start.Add(time.Minute)))
	require.False(t, m.IsStale())
}

func TestMessagesAreBounded(t *testing.T) {
	m := newMachine()
	var members []Member
	for i := range 1000 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
		members = append(members, Member{Address: addr, DataCentre: "here"})
	}
	m.SetMembers(members)
	for _, each := range members[1:] {
		m.apply(Update{Member: each.Address, Incarnation: 1, Liveness: Suspect}, start)
	}
	for _, p := range tickWithoutAnswers(m, 0, 2*time.Second) {
		require.LessOrEqual(t, len(p.Message.Updates), maxUpdates)
	}
}

// TestFirstUpdatesAreNotGossiped guards against a starting fleet that spends minutes
// on updates which only say that members are alive.
func TestFirstUpdatesAreNotGossiped(t *testing.T) {
	m := newMachine()
	m.apply(Update{Member: peerA, Incarnation: 7}, start)
	require.Empty(t, m.rumors.rumors)
	m.apply(Update{Member: peerA, Incarnation: 8}, start)
	require.Len(t, m.rumors.rumors, 1, "a restart is gossiped")
}

func TestPickReachesOtherDataCentres(t *testing.T) {
	m := newMachine()
	require.Contains(t, m.Pick(3), remote)
}

func TestUnknownMembersAreIgnored(t *testing.T) {
	m := newMachine()
	stranger := netip.MustParseAddrPort("10.0.0.99:1")
	m.Handle(start, peerA, &Message{Type: TypePing, Updates: []Update{{Member: stranger, Incarnation: 1, Liveness: Dead}}})
	require.Len(t, m.States(), 3)
	require.Empty(t, m.Handle(start, peerA, &Message{Type: TypePingRequest, Target: stranger}))
}
