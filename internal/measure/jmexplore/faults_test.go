package jmexplore

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestPlantedFaultsAreFound has the explorer, and where given random walks, find a fault in
// agents. The steps that it prints reproduce the fault, and real agents pass them.
func TestPlantedFaultsAreFound(t *testing.T) {
	cases := map[string]struct {
		fleet     string
		prefix    string // steps after those of the fleet
		wrap      func(a *jmpass.Agent) jmflows.Agent
		violation string
		steps     string // at most as many are found
		walks     int
	}{
		"silence is proof": {
			fleet: "open", prefix: "restart 3; copy 3; pass 500", wrap: newSilenceAgent,
			violation: "10.2.0.2 reset flow", steps: "kill 3; send 0 1; settle; wait 225", walks: 3000,
		},
		"a list that others have superseded is proof": {
			fleet: "behind", wrap: func(a *jmpass.Agent) jmflows.Agent { return &outdatedAgent{Agent: a} },
			violation: "10.2.0.2 reset flow", steps: "send 0 1; settle", walks: 100,
		},
		"an agent without a copy takes flows": {
			fleet: "reused", wrap: func(a *jmpass.Agent) jmflows.Agent { return &eagerAgent{Agent: a} },
			violation: "ROUTE", steps: "send 0 0; reuse 1 1; settle", walks: 1000,
		},
		"a lost flow is not reset": {
			fleet: "open", wrap: func(a *jmpass.Agent) jmflows.Agent { return &muteAgent{Agent: a} },
			violation: "neither reset nor served", steps: "kill 2", walks: 100,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := *fleet(tc.fleet)
			f.Prefix = append(slices.Clone(f.Prefix), mustParse(t, tc.prefix)...)
			f.wrapAgent = tc.wrap
			e := Explorer{Fleet: &f, MaxDepth: 5, MaxStates: 100_000}
			r := e.Explore()
			require.NotNil(t, r.Found)
			t.Log(r.States, "states:", FormatSteps(r.Found.Steps), r.Found.Violation)
			require.Contains(t, r.Found.Violation, tc.violation)
			require.LessOrEqual(t, len(r.Found.Steps), len(mustParse(t, tc.steps)))
			requireOnlyWrapped(t, &f, r.Found.Steps, tc.violation)
			requireOnlyWrapped(t, &f, mustParse(t, tc.steps), tc.violation)

			f.Prefix = fleet(tc.fleet).Prefix
			e.MaxDepth = 30
			r = e.Walk(1, tc.walks)
			require.NotNil(t, r.Found)
			t.Log(r.Replays, "walks:", FormatSteps(r.Found.Steps), r.Found.Violation)
			requireOnlyWrapped(t, &f, r.Found.Steps, "")
		})
	}
}

// requireOnlyWrapped checks that steps violate a property with the fleet's wrapped agents and
// with no others.
func requireOnlyWrapped(t *testing.T, f *Fleet, steps []Step, violation string) {
	t.Helper()
	found, _ := Replay(f, steps)
	require.NotEmpty(t, found)
	require.Contains(t, found, violation)
	sound := *f
	sound.wrapAgent = nil
	found, trace := Replay(&sound, steps)
	require.Empty(t, found, trace)
}

// silenceAgent takes a packet that the upstream has not returned for 40 ms as proof that the
// upstream holds its flow.
type silenceAgent struct {
	*jmpass.Agent
	probed map[jasminemoor.FlowKey]silentProbe
	held   map[jasminemoor.FlowKey]uint32
}

type silentProbe struct {
	at     time.Time
	origin netip.Addr
	ack    uint32
}

func newSilenceAgent(a *jmpass.Agent) jmflows.Agent {
	return &silenceAgent{a, make(map[jasminemoor.FlowKey]silentProbe), make(map[jasminemoor.FlowKey]uint32)}
}

func (a *silenceAgent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason) {
	out, reason := a.Agent.HandlePeer(now, from, h, p, packet)
	if reason == jmpass.ReasonProbed {
		a.probed[p.Key()] = silentProbe{now, h.Origin, p.Acknowledged}
	}
	return out, reason
}

func (a *silenceAgent) HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) ([]jmpass.Message, jmpass.Reason) {
	delete(a.probed, p.Key())
	return a.Agent.HandleUpstream(now, p, packet, isFailure)
}

func (a *silenceAgent) Tick(now time.Time) ([]jmpass.Message, bool) {
	out, shouldProbe := a.Agent.Tick(now)
	for key, probe := range a.probed {
		if now.Sub(probe.at) >= 40*time.Millisecond {
			delete(a.probed, key)
			a.held[key] = probe.ack
			out = append(out, jmpass.Message{Kind: jmpass.ToPeer, Flow: key, To: probe.origin, Header: jmhop.Header{Kind: jmhop.KindHolder, Origin: a.Self}})
		}
	}
	return out, shouldProbe
}

func (a *silenceAgent) HandleProbe(now time.Time, result jmpass.ProbeResult) []jmpass.Message {
	out := a.Agent.HandleProbe(now, result)
	for key, ack := range a.held {
		if result == jmpass.ProbeRefused {
			out = append(out, jmpass.Message{Kind: jmpass.Reset, Flow: key, Sequence: ack})
			delete(a.held, key)
		}
	}
	return out
}

// outdatedAgent does not see that others have a newer copy of the directory.
type outdatedAgent struct{ *jmpass.Agent }

func (a *outdatedAgent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason) {
	blind := *h
	blind.Revision = 0
	return a.Agent.HandlePeer(now, from, &blind, p, packet)
}

func (a *outdatedAgent) HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []jmpass.Message {
	blind := *h
	blind.Revision = 0
	return a.Agent.HandleAbsent(now, from, &blind, key)
}

// eagerAgent gives its upstream each opening packet while it has no copy of the directory, as
// in the incident of the reused address.
type eagerAgent struct {
	*jmpass.Agent
	hasCopy bool
}

func (a *eagerAgent) SetSnapshot(s jmpass.Snapshot) {
	a.hasCopy = true
	a.Agent.SetSnapshot(s)
}

func (a *eagerAgent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason) {
	if !a.hasCopy && p.Flags.Has(jasminemoor.FlagOpen) {
		return []jmpass.Message{{Kind: jmpass.ToUpstream, Flow: p.Key()}}, jmpass.ReasonHeld
	}
	return a.Agent.HandlePeer(now, from, h, p, packet)
}

// muteAgent resets no flow.
type muteAgent struct{ *jmpass.Agent }

func withoutResets(out []jmpass.Message) []jmpass.Message {
	return slices.DeleteFunc(out, func(m jmpass.Message) bool { return m.Kind == jmpass.Reset })
}

func (a *muteAgent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason) {
	out, reason := a.Agent.HandlePeer(now, from, h, p, packet)
	return withoutResets(out), reason
}

func (a *muteAgent) HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) ([]jmpass.Message, jmpass.Reason) {
	out, reason := a.Agent.HandleUpstream(now, p, packet, isFailure)
	return withoutResets(out), reason
}

func (a *muteAgent) HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []jmpass.Message {
	return withoutResets(a.Agent.HandleAbsent(now, from, h, key))
}

func (a *muteAgent) HandleProbe(now time.Time, result jmpass.ProbeResult) []jmpass.Message {
	return withoutResets(a.Agent.HandleProbe(now, result))
}

func (a *muteAgent) Tick(now time.Time) ([]jmpass.Message, bool) {
	out, shouldProbe := a.Agent.Tick(now)
	return withoutResets(out), shouldProbe
}
