package jmpassnode_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// TestLeavingAgentAnnouncesEnding has an agent leave after its upstream has ended, whose
// entry stays. Another upstream ends with its agent, and both start again. Its lost flow is
// reset, though an agent that might have held it is silent for good.
func TestLeavingAgentAnnouncesEnding(t *testing.T) {
	s := newSite(t)
	var f *jmpackets.Flow
	for name := ""; name != "shop1"; {
		var err error
		f, err = s.open(shop)
		require.NoError(t, err)
		answer, err := s.do(f, "who")
		require.NoError(t, err)
		name = strings.SplitN(answer, ":", 2)[0]
	}
	// An agent whose copy does not list its upstream yet says nothing of it.
	require.Eventually(t, func() bool {
		snapshot := s.agents[2].control().Snapshot()
		return snapshot != nil && snapshot.Upstreams[addr(2, 2, upstreamPort)] != nil
	}, 5*time.Second, 10*time.Millisecond)
	s.upstreams[2].Crash()
	s.agents[2].stop()

	s.agents[1].kill()
	s.upstreams[1].Crash()
	u := &jmpackets.Upstream{Address: addr(2, 1, upstreamPort), Outbound: addr(2, 1, outboundPort), Name: "shop1", ServiceTime: 5 * time.Millisecond}
	require.NoError(t, u.Start(context.Background()))
	t.Cleanup(u.Crash)
	s.startAgent(1, "shop", false)
	require.Eventually(t, s.agentsReadyBut2, 5*time.Second, 10*time.Millisecond)
	time.Sleep(2500 * time.Millisecond) // the first list of an agent that was restarted counts as whole
	_, err := s.do(f, "lost")
	require.ErrorIs(t, err, jmpackets.ErrReset)
}

func (s *site) agentsReadyBut2() bool {
	return isReady(addr(2, 1, readyPort)) && isReady(addr(2, 3, readyPort))
}
