package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
)

// TestUpstreamReplacedBeforeItsEntry replaces the upstream beside a running agent, which sees that
// the former one has ended, by one that may be of another service. It gets no new flow before the
// settings or the directory name its service.
func TestUpstreamReplacedBeforeItsEntry(t *testing.T) {
	snapshots := map[string]Snapshot{
		"former entry still listed": snapshot(2),
		"former entry removed":      snapshot(2, removed(1)),
		"no entry": snapshot(2, func(v *jmdirectory.View) {
			delete(v.Upstreams, upstreamAddr(1))
			delete(v.Agents, agentAddr(1))
		}),
	}
	signs := map[string]func(a *Agent, now time.Time){
		"port refuses, then accepts": func(a *Agent, now time.Time) {
			a.HandleProbe(now.Add(-time.Second), ProbeRefused)
			a.HandleProbe(now, ProbeAccepted)
		},
		"port refuses, then a packet comes": func(a *Agent, now time.Time) {
			a.HandleProbe(now.Add(-time.Second), ProbeRefused)
			a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil, false)
		},
		"connection ends, then the port accepts": func(a *Agent, now time.Time) {
			a.HandleWatch(now.Add(-time.Second), true)
			a.HandleWatch(now.Add(-time.Second), false)
			require.False(t, a.NeedsSettings(), "they may change until a process listens")
			a.HandleSettings("shop", now.Add(-time.Millisecond))
			require.True(t, a.IsPortUnknown())
			a.HandleProbe(now, ProbeAccepted)
		},
		"connection ends, then another is held": func(a *Agent, now time.Time) {
			a.HandleWatch(now.Add(-time.Second), true)
			a.HandleWatch(now.Add(-time.Second), false)
			a.HandleSettings("shop", now.Add(-time.Millisecond))
			a.HandleWatch(now, true)
		},
		"packet of an open flow is returned": func(a *Agent, _ time.Time) {
			openFlow(t, a)
			p := dataPacket(callerSequence+1, 10)
			a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, nil)
			p.Flags |= jasminemoor.FlagReturned
			a.HandleUpstream(startTime.Add(time.Second), p, nil, false)
		},
	}
	knowledge := map[string]struct {
		learn    func(a *Agent, now time.Time, s Snapshot)
		getsFlow bool
	}{
		"nothing":                     {func(*Agent, time.Time, Snapshot) {}, false},
		"settings name the same one":  {func(a *Agent, now time.Time, _ Snapshot) { a.HandleSettings("shop", now.Add(1)) }, true},
		"settings name another one":   {func(a *Agent, now time.Time, _ Snapshot) { a.HandleSettings("desk", now.Add(1)) }, false},
		"settings were read before":   {func(a *Agent, _ time.Time, _ Snapshot) { a.HandleSettings("shop", startTime) }, false},
		"directory lists the next":    {func(a *Agent, _ time.Time, s Snapshot) { listNext(a, s, "shop") }, true},
		"directory lists another one": {func(a *Agent, _ time.Time, s Snapshot) { listNext(a, s, "desk") }, false},
	}
	for listing, s := range snapshots {
		for sign, show := range signs {
			for known, tc := range knowledge {
				t.Run(listing+", "+sign+", "+known, func(t *testing.T) {
					a := newAgent(false, s)
					a.CanReadSettings = true
					now := startTime.Add(2 * time.Second)
					show(a, now)
					require.True(t, a.NeedsSettings())
					tc.learn(a, now, s)
					out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), openingFrom(7), []byte("opening"))
					require.Equal(t, tc.getsFlow, find(out, ToUpstream) != nil, reason)
				})
			}
		}
	}
}

// listNext has the agent's copy list another run at its upstream's address.
func listNext(a *Agent, s Snapshot, service string) {
	next := snapshot(2)
	next.Upstreams[upstreamAddr(1)].ID, next.Upstreams[upstreamAddr(1)].Service = "i-next", service
	next.Revision = s.Revision + 1
	a.SetSnapshot(next)
}

// TestSameUpstreamIsNotDoubted lets a service's upstream restart beside an agent whose settings
// can't change.
func TestSameUpstreamIsNotDoubted(t *testing.T) {
	a := newAgent(false, snapshot(2))
	a.HandleProbe(startTime, ProbeRefused)
	a.HandleProbe(startTime.Add(time.Second), ProbeAccepted)
	require.False(t, a.NeedsSettings())
}

// TestEntryLapsesWhileLeaving sends a new flow to an agent whose upstream was leaving when its
// entry lapsed, as the upstream does not reach the platform.
func TestEntryLapsesWhileLeaving(t *testing.T) {
	a := newAgent(false, snapshot(2, leaving(1), removed(1), func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(1)].ID = "i-1" }))
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Nil(t, find(out, ToUpstream))
	require.Equal(t, ReasonLeaving, reason)
	a.HandleProbe(startTime, ProbeRefused)
	a.HandleProbe(startTime.Add(time.Second), ProbeAccepted)
	out, _ = a.HandlePeer(startTime.Add(time.Second), balancerAddr, forwardHeader(0), openingFrom(3), nil)
	require.NotNil(t, find(out, ToUpstream), "the upstream that was leaving has ended")
}
