package jmpass

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// knownSince has the past of the routes known for a time.
func knownSince(d time.Duration) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.RoutesKnownSince = startTime.Add(-d) }
}

// leftDesk has the shop's route have left the desk's service a time ago.
func leftDesk(d time.Duration) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		v.Routes[shop].Former = []jmdirectory.FormerService{{Service: "desk", LeftAt: startTime.Add(-d)}}
	}
}

// TestHolderBeforeKnownPast covers whether the agent of the desk's service, which the
// shop's route does not have now, is asked for a flow of it.
func TestHolderBeforeKnownPast(t *testing.T) {
	const age = defaultMaxFlowAge + maxCopyLag
	startedAgo := func(d time.Duration) func(v *jmdirectory.View) {
		return func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(9)].StartedAfter = startTime.Add(-d) }
	}
	type changes []func(v *jmdirectory.View)
	cases := map[string]struct {
		changes changes
		want    bool
	}{
		"past known for longer than flows live":     {changes{knownSince(age)}, false},
		"past known for less":                       {changes{knownSince(age - 1)}, true},
		"just loaded":                               {changes{knownSince(0)}, true},
		"left a moment ago":                         {changes{knownSince(age), leftDesk(0)}, true},
		"left as long ago as flows live":            {changes{knownSince(age), leftDesk(age)}, true},
		"left before":                               {changes{knownSince(age), leftDesk(age + 1)}, false},
		"past not known, upstream started since":    {changes{knownSince(20 * time.Second), startedAgo(20*time.Second - maxCopyLag)}, false},
		"past not known, upstream started before":   {changes{knownSince(20 * time.Second), startedAgo(20*time.Second - maxCopyLag + 1)}, true},
		"left a moment ago, upstream started since": {changes{knownSince(20 * time.Second), leftDesk(0), startedAgo(time.Second)}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(false, snapshot(3, tc.changes...))
			agents := a.possibleHolders(startTime, dataPacket(0, 0).Key())
			require.Subset(t, agents, []any{agentAddr(2), agentAddr(3)})
			require.Equal(t, tc.want, len(agents) == 3 && agents[2] == agentAddr(9), "asked last")
		})
	}
}

// TestAskedAgentOfOtherService asks an agent that has just started for a flow of a route
// that its service does not have. Its upstream is probed unless the route is known not to
// have had the service; then the answer is that the flow is not held.
func TestAskedAgentOfOtherService(t *testing.T) {
	cases := map[string]struct {
		known time.Duration
		asOf  time.Duration
		want  Reason
	}{
		"past not known":         {0, 0, ReasonProbed},
		"past known":             {time.Hour, 0, ReasonNotHeld},
		"past known, copy stale": {time.Hour, time.Minute, ReasonUpstreamDown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := snapshot(2, knownSince(tc.known))
			s.AsOf = startTime.Add(-tc.asOf)
			a := newAgent(false, s)
			p := dataPacket(callerSequence, 10)
			p.Destination = desk
			h := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
			out, reason := a.HandlePeer(startTime, agentAddr(9), h, p, []byte("packet"))
			require.Equal(t, tc.want, reason)
			require.Equal(t, tc.want == ReasonProbed, find(out, ToUpstream) != nil)
			answer := find(out, ToPeer)
			require.Equal(t, tc.want == ReasonNotHeld, answer != nil && answer.Header.Kind == jmhop.KindAbsent)
		})
	}
}

// TestManyServicesBeforeKnownPast has more services than a search asks. It proves nothing
// until the past of the routes is known.
func TestManyServicesBeforeKnownPast(t *testing.T) {
	for _, count := range []int{2, maxSearchedServices, maxSearchedServices + 1} {
		s := snapshot(2)
		for i := len(s.Services); i < count; i++ {
			name := fmt.Sprint("service-", i)
			s.Services[name] = &jmdirectory.Service{Name: name}
		}
		key := dataPacket(0, 0).Key()
		a := newAgent(true, s)
		require.True(t, a.isListComplete(startTime, key))
		s.RoutesKnownSince = startTime
		require.Equal(t, count <= maxSearchedServices, a.isListComplete(startTime, key))
		require.True(t, a.isListComplete(startTime.Add(defaultMaxFlowAge+maxCopyLag), key))
	}
}

// TestPossibleHoldersOfTwoServicesAreFew counts the agents that a search asks after all
// power was off, where there are two services.
func TestPossibleHoldersOfTwoServicesAreFew(t *testing.T) {
	const limit = 2 * candidateCount
	s := manyUpstreams(200)
	s.Services["desk"] = &jmdirectory.Service{Name: "desk"}
	all := s.Services["shop"].Upstreams
	s.Services["shop"].Upstreams, s.Services["desk"].Upstreams = all[:100], all[100:]
	for _, u := range all {
		u.ListedSince, u.StartedAfter = startTime.Add(-20*time.Second), startTime.Add(-6*time.Second)
	}
	s.RoutesKnownSince = startTime
	asked := newAgent(true, s).possibleHolders(startTime, dataPacket(0, 0).Key())
	require.Greater(t, len(asked), candidateCount)
	require.LessOrEqual(t, len(asked), limit)
}
