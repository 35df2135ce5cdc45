package jmpassnode_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// startSlowLab adds an upstream of the service "lab" at newDesk, with one slot and slow
// answers, and returns its agent.
func (s *site) startSlowLab() *jmpassnode.Agent {
	const lab = 7
	s.publish(2, map[netip.AddrPort]string{shop: "shop", desk: "desk", newDesk: "lab"})
	u := &jmpackets.Upstream{Address: addr(2, lab, upstreamPort), Outbound: addr(2, lab, outboundPort), Name: "lab", ServiceTime: 1500 * time.Millisecond}
	require.NoError(s.t, u.Start(context.Background()))
	s.t.Cleanup(u.Crash)
	s.store.Put("servers/lab", map[string]any{
		"service": "lab", "address": u.Address.String(), "zone": "here", "version": "v1", "max_concurrency": 1, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": 1,
	})
	settings := s.settings(2, lab, true)
	settings.Service = "lab"
	a := &jmpassnode.Agent{
		Settings: settings, Codec: jmadapter.Codec{}, Directory: s.directory(settings.Address), Log: s.log,
		Decisions: &jmdecision.Log{Log: s.log},
	}
	s.start(a.Run, a.Leave, a.Drained())
	return a
}

// TestLimitsChangeWhileRequestsWait sets limits while requests wait. New flows of the
// account are refused from then on, and accepted again under a higher limit.
func TestLimitsChangeWhileRequestsWait(t *testing.T) {
	s := newSite(t)
	a := s.startSlowLab()
	const waiting = 6 // the upstream gets the first two
	var flows []*jmpackets.Flow
	require.Eventually(t, func() bool {
		if f, err := s.open(newDesk); err == nil {
			flows = append(flows, f)
		}
		return len(flows) == 2+waiting
	}, 5*time.Second, 10*time.Millisecond)
	for i, f := range flows {
		go func() { _, _ = s.do(f, fmt.Sprint("slow-", i)) }()
	}
	load := func() jmpassnode.PartyLoad {
		all, _ := a.Load(time.Now())
		for _, l := range all {
			if l.Waiting > 0 {
				l.LongestMs = 0
				return l
			}
		}
		return jmpassnode.PartyLoad{}
	}
	require.Eventually(t, func() bool { return load() == jmpassnode.PartyLoad{Route: "r-lab", Waiting: waiting} }, 2*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // an overload is counted from the agent's next tick
	guests := jasminemoor.ClientAccount{Name: "guests", Networks: []netip.Prefix{netip.PrefixFrom(addr(3, 1, 0).Addr(), 24)}, MaxWaiting: waiting}
	a.SetShares(&jmlocal.Shares{Accounts: []jasminemoor.ClientAccount{guests}})
	_, err := s.open(newDesk)
	require.ErrorIs(t, err, jmpackets.ErrReset)
	require.Equal(t, jmpassnode.PartyLoad{Route: "r-lab", Account: "guests", Waiting: waiting, Refused: 1}, load())
	guests.MaxWaiting = waiting + 1
	a.SetShares(&jmlocal.Shares{Accounts: []jasminemoor.ClientAccount{guests}})
	require.Equal(t, waiting+1, a.Shares().Accounts[0].MaxWaiting)
	_, err = s.open(newDesk)
	require.NoError(t, err)

	// linesOf returns the log lines with a text.
	linesOf := func(text string) (lines []logrus.Fields) {
		for _, entry := range s.hook.AllEntries() {
			if entry.Message == text {
				lines = append(lines, entry.Data)
			}
		}
		return lines
	}
	refusals := linesOf("flow: client account has as many requests waiting as it may")
	require.NotEmpty(t, refusals)
	require.Equal(t, "guests", refusals[0]["Account"])
	require.Equal(t, waiting, refusals[0]["MaxWaiting"])
	require.Equal(t, "r-lab", refusals[0]["Route"])
	require.Equal(t, "reset", refusals[0]["Outcome"])

	require.Eventually(t, func() bool { return len(linesOf("upstream: overload ended")) == 1 }, 6*time.Second, 10*time.Millisecond)
	began := linesOf("upstream: overload began")
	require.Len(t, began, 1)
	require.Positive(t, began[0]["Waiting"])
	require.Positive(t, began[0]["InFlight"])
	parties, _ := began[0]["Parties"].([]jmpassnode.PartyLoad)
	require.Len(t, parties, 1)
	require.Equal(t, "guests", parties[0].Account)
	require.Equal(t, began[0]["Waiting"], parties[0].Waiting)
	require.GreaterOrEqual(t, parties[0].LongestMs, int64(1000))
	ended := linesOf("upstream: overload ended")[0]
	require.Equal(t, waiting, ended["MostWaiting"])
	require.Equal(t, uint64(1), ended["Refused"])
}
