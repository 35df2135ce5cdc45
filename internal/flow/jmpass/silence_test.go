package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestSilentUpstreamIsNoHolder has an agent that was restarted give packets of flows that
// it doesn't know to an upstream that has crashed. The flows live at other upstreams, and
// must neither be announced as held nor reset.
func TestSilentUpstreamIsNoHolder(t *testing.T) {
	p := dataPacket(callerSequence, 10)
	cases := map[string]struct {
		from   netip.Addr
		header *jmhop.Header
	}{
		"a balancer sends the packet":  {balancerAddr, forwardHeader(0)},
		"an agent asks for the holder": {agentAddr(2), &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(false, snapshot(3))
			_, _ = a.Tick(startTime)
			_ = a.HandleProbe(startTime, ProbeAccepted)
			out, reason := a.HandlePeer(startTime, tc.from, tc.header, p, []byte("packet"))
			require.Equal(t, ReasonProbed, reason)
			require.NotNil(t, find(out, ToUpstream))
			crashed := startTime.Add(upstreamTimeout + probeInterval)
			for now := startTime; now.Before(crashed); now = now.Add(25 * time.Millisecond) {
				out, _ = a.Tick(now)
				requireNotClaimed(t, out)
			}
			out = a.HandleProbe(crashed, ProbeRefused)
			requireNotClaimed(t, out)
			require.Nil(t, find(out, Reset))
			out, reason = a.HandlePeer(crashed, tc.from, tc.header, p, []byte("packet"))
			requireNotClaimed(t, out)
			require.Nil(t, find(out, Reset))
			if tc.header.Kind == jmhop.KindAsk {
				require.Equal(t, ReasonNotHeld, reason)
				require.Equal(t, jmhop.KindAbsent, find(out, ToPeer).Header.Kind)
			} else {
				require.Equal(t, ReasonSearched, reason)
			}
		})
	}
}

// requireNotClaimed checks that no message says that the agent holds a flow.
func requireNotClaimed(t *testing.T, out []Message) {
	t.Helper()
	for i := range out {
		require.NotEqual(t, jmhop.KindHolder, out[i].Header.Kind)
	}
}

// TestSilentUpstreamKeepsSearchesGoing has an upstream neither refuse nor answer the packet
// of an unknown flow: the packets that follow go there and to the agents that may hold it.
func TestSilentUpstreamKeepsSearchesGoing(t *testing.T) {
	a := newAgent(false, snapshot(3))
	p := dataPacket(callerSequence, 10)
	out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	require.Equal(t, []Kind{ToUpstream}, kinds(out))
	out, _ = a.HandlePeer(startTime.Add(200*time.Millisecond), balancerAddr, forwardHeader(0), p, []byte("packet"))
	require.NotNil(t, find(out, ToUpstream))
	require.ElementsMatch(t, []netip.Addr{agentAddr(2), agentAddr(3)}, askedAgents(out))
	for i := range 2 {
		require.Nil(t, find(a.HandleAbsent(startTime.Add(210*time.Millisecond), agentAddr(i+2), absentHeader, p.Key()), Reset))
	}
}

func askedAgents(out []Message) (asked []netip.Addr) {
	for i := range out {
		if out[i].Header.Kind == jmhop.KindAsk {
			asked = append(asked, out[i].To)
		}
	}
	return asked
}

// TestLateAnswerProvesHolder has the upstream of a restarted agent answer the packet of a
// flow after a second of silence. The asker's packets reach it meanwhile, its answer is the
// proof, and the upstream's crash resets the flow then.
func TestLateAnswerProvesHolder(t *testing.T) {
	a := newAgent(false, snapshot(3))
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
	p := dataPacket(callerSequence, 10)
	delivered := 0
	now := startTime
	for ; now.Sub(startTime) < time.Second; now = now.Add(100 * time.Millisecond) {
		out, reason := a.HandlePeer(now, agentAddr(2), ask, p, []byte("packet"))
		require.Equal(t, ReasonProbed, reason)
		if find(out, ToUpstream) != nil {
			delivered++
		}
		out, _ = a.Tick(now)
		requireNotClaimed(t, out)
	}
	require.Greater(t, delivered, 1)
	out, _ := a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
	var informed []netip.Addr
	for i := range out {
		if out[i].Header.Kind == jmhop.KindHolder {
			informed = append(informed, out[i].To)
		}
	}
	require.ElementsMatch(t, []netip.Addr{balancerAddr, agentAddr(2)}, informed)
	require.NotNil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
}

// TestProofEndsOwnSearch has the own upstream answer the packet of a flow whose search began
// before the agent had a view. The other agents are not asked any more.
func TestProofEndsOwnSearch(t *testing.T) {
	a := newAgent(false, Snapshot{})
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
	a.SetSnapshot(snapshot(3))
	now := startTime.Add(askInterval)
	out, _ := a.Tick(now)
	require.NotNil(t, find(out, ToUpstream))
	_, _ = a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
	for ; now.Sub(startTime) < searchTimeout; now = now.Add(25 * time.Millisecond) {
		out, _ = a.Tick(now)
		require.Empty(t, askedAgents(out))
	}
}

// TestAnswerEndsSearchWithoutView has the own upstream send a packet of a flow for which the
// agent searches and has no view yet. The upstream gets the packet that the search kept, and
// the other agents are not asked later.
func TestAnswerEndsSearchWithoutView(t *testing.T) {
	a := newAgent(false, Snapshot{})
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
	require.Equal(t, ReasonSearched, reason)
	out, _ := a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
	require.ElementsMatch(t, []Kind{ToPeer, ToUpstream, ToCaller}, kinds(out))
	require.Equal(t, []byte("packet"), find(out, ToUpstream).Packet)
	require.Equal(t, jmhop.KindHolder, find(out, ToPeer).Header.Kind)
	require.Equal(t, balancerAddr, find(out, ToPeer).To)
	a.SetSnapshot(snapshot(3))
	for now := startTime; now.Sub(startTime) < searchTimeout; now = now.Add(25 * time.Millisecond) {
		out, _ = a.Tick(now)
		require.Empty(t, askedAgents(out))
	}
}

// TestOpenReplyIsNoProof has the upstream of a restarted agent reply to a copy of a flow's
// opening packet while a probe waits. The caller may have opened the flow elsewhere.
func TestOpenReplyIsNoProof(t *testing.T) {
	a := newAgent(false, snapshot(3))
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
	require.Equal(t, ReasonProbed, reason)
	out, _ := a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil, false)
	require.Equal(t, []Kind{ToCaller}, kinds(out))
}

// TestUnansweredProbesAreBounded bounds what an agent keeps of flows that its upstream neither
// refuses nor answers for.
func TestUnansweredProbesAreBounded(t *testing.T) {
	a := newAgent(false, snapshot(1))
	p := dataPacket(callerSequence, 0)
	now := startTime
	for i := range maxFlowProbes + 100 {
		p.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1025)
		out, _ := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
		require.NotNil(t, find(out, ToUpstream))
	}
	require.Len(t, a.flowProbes, maxFlowProbes)
	_, _ = a.Tick(now.Add(flowProbeTTL))
	require.Empty(t, a.flowProbes)
	require.Empty(t, a.table.flows)
}
