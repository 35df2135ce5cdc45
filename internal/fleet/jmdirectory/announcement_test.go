package jmdirectory

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestFirstCopyIsAnnounced has a process get its first copy from the platform: it announces
// it once to agents and seeds, unless it learns that another process has a copy.
func TestFirstCopyIsAnnounced(t *testing.T) {
	seed, agent, other := balancerAddr(1), agentAddr(1), agentAddr(2)
	beacon := &Message{Beacon: &Beacon{Reader: other, Number: 1, Revision: 4, Since: 4}}
	cases := map[string]struct {
		learn func(m *Machine, now time.Time)
		want  bool
	}{
		"hears nothing":          {func(*Machine, time.Time) {}, true},
		"a peer has no copy":     {func(m *Machine, now time.Time) { m.HandlePullReply(now, &PullRequest{Since: 4}, &PullReply{Age: -1}) }, true},
		"a peer does not answer": {func(m *Machine, now time.Time) { m.HandlePullReply(now, &PullRequest{Since: 4}, nil) }, true},
		"a peer has a copy": {func(m *Machine, now time.Time) {
			m.HandlePullReply(now, &PullRequest{Since: 4}, &PullReply{Revision: 4})
		}, false},
		"hears a beacon": {func(m *Machine, now time.Time) { m.Handle(now, agent, beacon) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := &Machine{Self: balancerAddr(2), Seeds: []netip.Addr{seed, balancerAddr(2)}, Rand: rand.New(rand.NewPCG(1, 1))}
			r, _ := m.NextRead(startTime)
			m.HandleRead(startTime, r, &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{upstreamEntry(1, 3), upstreamEntry(2, 4)}}, nil)
			tc.learn(m, startTime)
			sent := make(map[netip.Addr]int)
			for now := startTime; now.Sub(startTime) < time.Second; now = now.Add(50 * time.Millisecond) {
				for _, s := range m.Tick(now).Sends {
					if b := s.Message.Beacon; b != nil {
						require.Equal(t, now.Sub(startTime), b.Age)
						sent[s.To]++
					}
				}
			}
			if tc.want {
				require.Equal(t, map[netip.Addr]int{seed: 1, agent: 1, other: 1}, sent)
			} else {
				require.Empty(t, sent)
			}
		})
	}
}
