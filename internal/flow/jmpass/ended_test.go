package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// unlisted has the view lack the entry of the agent's own upstream.
func unlisted(v *jmdirectory.View) {
	delete(v.Upstreams, upstreamAddr(1))
	delete(v.Agents, agentAddr(1))
}

// displaced has another entry displace that of an upstream, which the view then lists as unplaced.
func displaced(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		former := v.Upstreams[upstreamAddr(i)]
		next := *former
		next.ID, next.Service, next.State = "i-next", "desk", jasminemoor.UpstreamReady
		v.Upstreams[upstreamAddr(i)] = &next
		v.Unplaced = map[string][]*jmdirectory.Upstream{former.Service: {former}}
	}
}

// snapshotAt returns a snapshot that was complete at a time.
func snapshotAt(asOf time.Time, change ...func(v *jmdirectory.View)) Snapshot {
	s := snapshot(3, change...)
	s.AsOf = asOf
	return s
}

// TestUpstreamServesWithClosedPort closes the port of an upstream that still serves its flows:
// none is reset, no other process is told that it is not held, and no new one goes there.
func TestUpstreamServesWithClosedPort(t *testing.T) {
	removedNow := func(v *jmdirectory.View) {
		u := v.Upstreams[upstreamAddr(1)]
		u.IsRemoved, u.RemovedAt = true, startTime
	}
	for name, s := range map[string]Snapshot{
		"leaving": snapshot(3, leaving(1)),
		"leaving, and another entry has its address":            snapshot(3, leaving(1), displaced(1)),
		"leaving, and its entry lapses during an outage":        snapshot(3, leaving(1), removedNow),
		"listed as ready by an old copy":                        snapshotAt(startTime.Add(drainMargin - defaultDrainTime)),
		"listed as ready by a copy that may lack newer entries": snapshot(3, func(v *jmdirectory.View) { v.CompleteAt = startTime.Add(time.Minute) }),
		"not listed yet": snapshot(3, unlisted),
		"no copy":        {},
	} {
		for _, isFirstStart := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				a := newAgent(isFirstStart, snapshot(3))
				openFlow(t, a)
				a.SetSnapshot(s)
				p := dataPacket(callerSequence+1, 10)
				now := startTime
				for range 8 {
					out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), p, nil)
					require.Equal(t, ReasonHeld, reason)
					require.NotNil(t, find(out, ToUpstream))
					now = now.Add(upstreamTimeout + time.Millisecond)
					out, shouldProbe := a.Tick(now)
					requireEndUntold(t, out)
					require.True(t, shouldProbe)
					requireEndUntold(t, a.HandleProbe(now, ProbeRefused))
					out, _ = a.Tick(now.Add(time.Millisecond))
					requireEndUntold(t, out)
					requireNotTaken(t, a, now)
					if !isFirstStart {
						ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
						out, _ = a.HandlePeer(now, agentAddr(2), ask, otherPacket(), []byte("packet"))
						requireEndUntold(t, out)
					}
					now = now.Add(probeInterval)
					out, _ = a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagAck, 0), nil, false)
					require.NotNil(t, find(out, ToCaller))
				}
				_, hasEnded := a.UpstreamEnd()
				require.False(t, hasEnded)
			})
		}
	}
}

// requireEndUntold checks that no flow is reset, and no process told that one is not held.
func requireEndUntold(t *testing.T, out []Message) {
	t.Helper()
	for i := range out {
		require.NotEqual(t, Reset, out[i].Kind)
		require.NotEqual(t, jmhop.KindAbsent, out[i].Header.Kind)
	}
}

// requireNotTaken checks that the upstream gets no new flow.
func requireNotTaken(t *testing.T, a *Agent, now time.Time) {
	t.Helper()
	out, _ := a.HandlePeer(now, balancerAddr, forwardHeader(0), openingFrom(7), []byte("opening"))
	require.Nil(t, find(out, ToUpstream))
}

// TestEndOfUpstreamIsProven has the port of an upstream refuse connections that has ended, and
// expects its flow to be reset as soon as that is known.
func TestEndOfUpstreamIsProven(t *testing.T) {
	const closed = 12 * time.Second // since the agent's start, when the port is found closed
	closedAt := startTime.Add(closed)
	removedAt := func(at time.Time) func(v *jmdirectory.View) {
		return func(v *jmdirectory.View) {
			v.Upstreams[upstreamAddr(1)].IsRemoved, v.Upstreams[upstreamAddr(1)].RemovedAt = true, at
		}
	}
	for name, tc := range map[string]struct {
		change   []func(v *jmdirectory.View)
		isOld    bool          // the copy of the directory
		within   time.Duration // after the port was found closed
		isProbed bool          // whether packets were sent meanwhile
		proof    EndProof
	}{
		"crash":                            {proof: EndNotAnnounced},
		"crash, and the entry has lapsed":  {change: []func(v *jmdirectory.View){removedAt(closedAt)}, proof: EndNotAnnounced},
		"leaving, and the entry removed":   {change: []func(v *jmdirectory.View){leaving(1), removedAt(closedAt)}, proof: EndRemoved},
		"leaving, and found ended":         {change: []func(v *jmdirectory.View){leaving(1), ended(1)}, proof: EndRemoved},
		"no entry for longer than a lapse": {change: []func(v *jmdirectory.View){unlisted}, proof: EndUnlisted},
		"leaving, packets unanswered":      {change: []func(v *jmdirectory.View){leaving(1)}, within: minRequestTimeout, isProbed: true, proof: EndUnresponsive},
		"old copy, packets unanswered":     {isOld: true, within: minRequestTimeout, isProbed: true, proof: EndUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(3))
			proof := EndUnproven
			a.OnEnd = func(p EndProof, _, _ time.Duration) { proof = p }
			openFlow(t, a)
			now := startTime
			for ; now.Before(closedAt); now = now.Add(25 * time.Millisecond) {
				a.SetSnapshot(snapshotAt(now))
				_, _ = a.Tick(now)
			}
			asOf := now
			if tc.isOld {
				asOf = now.Add(-maxViewAge)
			}
			a.SetSnapshot(snapshotAt(asOf, tc.change...))
			_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
			out := a.HandleProbe(now, ProbeRefused)
			for end := now.Add(tc.within); now.Before(end); now = now.Add(25 * time.Millisecond) {
				require.Nil(t, find(out, Reset))
				_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
				out, _ = a.Tick(now)
			}
			if tc.within > 0 {
				out, _ = a.Tick(now)
			}
			require.NotNil(t, find(out, Reset))
			require.Equal(t, tc.proof, proof)
		})
	}
}

// TestLapseIsNoEnd removes the entry of a leaving upstream after an outage of the store, in which
// entries of running upstreams lapse: it counts as ended only if it does not return.
func TestLapseIsNoEnd(t *testing.T) {
	a := newAgent(true, snapshot(3))
	openFlow(t, a)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	now := startTime.Add(maxViewAge)
	_, _ = a.Tick(now)
	lapsed := func(v *jmdirectory.View) {
		leaving(1)(v)
		v.Upstreams[upstreamAddr(1)].IsRemoved, v.Upstreams[upstreamAddr(1)].RemovedAt = true, startTime.Add(maxViewAge)
	}
	for ; now.Sub(startTime.Add(maxViewAge)) < lapseGrace; now = now.Add(probeInterval) {
		a.SetSnapshot(snapshotAt(now, lapsed))
		_, _ = a.Tick(now)
		require.Nil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
	}
	_, _ = a.Tick(now)
	require.NotNil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
}

// TestStalledAgentProvesNoEnd stalls an agent, so that it has not read what its upstream sent.
func TestStalledAgentProvesNoEnd(t *testing.T) {
	a := newAgent(true, snapshot(3))
	openFlow(t, a)
	a.SetSnapshot(snapshot(3, leaving(1)))
	_, _ = a.Tick(startTime)
	for range minUnanswered {
		_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	}
	_ = a.HandleProbe(startTime, ProbeRefused)
	out, _ := a.Tick(startTime.Add(10 * time.Second))
	require.Nil(t, find(out, Reset))
}

// TestStalledAgentHasOldCopy stalls an agent while its upstream begins to leave. A beacon that has
// waited for the agent makes its copy seem recent, and the port is closed by then.
func TestStalledAgentHasOldCopy(t *testing.T) {
	for name, isTicked := range map[string]bool{"the probe ends first": false, "a tick comes first": true} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(3))
			openFlow(t, a)
			_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
			_, _ = a.Tick(startTime)
			now := startTime.Add(4 * time.Second)
			a.SetSnapshot(snapshotAt(now))
			if isTicked {
				_, _ = a.Tick(now)
			}
			require.Nil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
			a.SetSnapshot(snapshotAt(now, leaving(1)))
			for range 5 {
				now = now.Add(probeInterval)
				_, _ = a.Tick(now)
				a.SetSnapshot(snapshotAt(now, leaving(1)))
				require.Nil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
			}
		})
	}
	a := newAgent(true, snapshot(3))
	openFlow(t, a)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	_, _ = a.Tick(startTime)
	now := startTime.Add(4 * time.Second)
	for end := now.Add(settleTime); now.Before(end); now = now.Add(25 * time.Millisecond) {
		a.SetSnapshot(snapshotAt(now))
		_, _ = a.Tick(now)
		require.Nil(t, find(a.HandleProbe(now, ProbeRefused), Reset))
	}
	_, _ = a.Tick(now)
	require.NotNil(t, find(a.HandleProbe(now, ProbeRefused), Reset), "it has crashed")
}

// TestSilenceIsNoEndWhereRefusalsAreReported has an upstream that is leaving read no packets for long
// while it works. Where the kernel says that no process takes a packet, only that counts.
func TestSilenceIsNoEndWhereRefusalsAreReported(t *testing.T) {
	a := newAgent(true, snapshot(3))
	a.ReportsRefusals = true
	openFlow(t, a)
	a.SetSnapshot(snapshot(3, leaving(1)))
	now := startTime
	for ; now.Sub(startTime) < 3*minRequestTimeout; now = now.Add(25 * time.Millisecond) {
		_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
		requireEndUntold(t, a.HandleProbe(now, ProbeRefused))
		out, _ := a.Tick(now)
		requireEndUntold(t, out)
	}
	require.NotNil(t, find(a.HandleRefusedPacket(now), Reset))
}
