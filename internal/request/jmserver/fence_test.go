package jmserver_test

import (
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	maxStatus = 4 << 10
	linkDelay = 10 * time.Millisecond
)

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7100)
}

// newFleet starts n agents, each with an upstream of its own.
func newFleet(n int, limits jmgate.Limits) (fleet *jmfake.Fleet, agents []*jmfake.Agent) {
	fleet = &jmfake.Fleet{Limits: limits, MaxDelay: linkDelay, Seed: 1}
	for i := range n {
		agents = append(agents, fleet.Add(addressOf(i+1), &jmfake.Upstream{ServiceTime: 50 * time.Millisecond}))
	}
	return fleet, agents
}

var roomy = jmgate.Limits{Slots: 5, Streams: 100, Queue: 5, QueueWait: time.Second}

// ask sends a whole request to an agent and returns the status and the answer.
func ask(a *jmfake.Agent, header jasminemoor.RequestHeader, body string) (status jasminemoor.Status, answer string, err error) {
	near, far := jmfake.NewPipe()
	go a.Serve(header, far, nil)
	go func() {
		if _, err := io.WriteString(near, body); err == nil {
			_ = near.CloseWrite()
		}
	}()
	if err = jmframe.Read(near, &status, maxStatus); err != nil {
		return status, "", err
	}
	text, err := io.ReadAll(near)
	return status, string(text), err
}

// newHeader returns the header of a non-idempotent request with the given
// earlier attempts.
func newHeader(attempts ...jasminemoor.Identity) jasminemoor.RequestHeader {
	return jasminemoor.RequestHeader{
		ID:       jasminemoor.RequestID{1},
		Kind:     jasminemoor.KindRequest,
		Timeout:  10 * time.Second,
		Attempts: attempts,
	}
}

// TestFenceCost compares two ways to fence earlier attempts while one link is
// cut: asking only the declared agent, and asking every peer. It checks the
// number of messages, the outcome, and for the declared agent the waiting time.
func TestFenceCost(t *testing.T) {
	const agents = 10
	measure := func(t *testing.T, declare func(all []*jmfake.Agent) []jasminemoor.Identity) (messages uint64, wait time.Duration, outcome jasminemoor.Outcome) {
		fleet, all := newFleet(agents, roomy)
		fleet.SetCut(addressOf(1), addressOf(agents), true)
		start := time.Now()
		status, _, err := ask(all[0], newHeader(declare(all)...), "order")
		require.NoError(t, err)
		return fleet.Messages.Load(), time.Since(start), status.Outcome
	}
	synctest.Test(t, func(t *testing.T) {
		messages, wait, outcome := measure(t, func(all []*jmfake.Agent) []jasminemoor.Identity {
			return []jasminemoor.Identity{all[1].Identity()}
		})
		t.Logf("declared: %d messages, %s, %s", messages, wait, outcome)
		require.Equal(t, jasminemoor.OutcomeAccepted, outcome)
		require.Equal(t, uint64(1), messages)
		require.Less(t, wait, time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		messages, wait, outcome := measure(t, func(all []*jmfake.Agent) (ids []jasminemoor.Identity) {
			for _, a := range all[1:] {
				ids = append(ids, a.Identity())
			}
			return ids
		})
		t.Logf("all peers: %d messages, %s, %s", messages, wait, outcome)
		require.Equal(t, jasminemoor.OutcomeUnknown, outcome, "the agent behind the cut link can't be fenced, so the request must not run")
		require.Equal(t, uint64(agents-1), messages)
	})
}
