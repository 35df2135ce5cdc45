package jmdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSubscriberWithoutCopyIsOfferedOne subscribes to a process while no beacons are sent, as the
// platform is away. A subscriber that has no copy is told that there is one, at a bounded rate.
func TestSubscriberWithoutCopyIsOfferedOne(t *testing.T) {
	cases := map[string]struct{ isLoaded, hasCopy, want bool }{
		"no copy":                      {isLoaded: true, want: true},
		"has a copy":                   {isLoaded: true, hasCopy: true},
		"this process has no copy":     {},
		"neither needs nor has a copy": {hasCopy: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := &Machine{Self: balancerAddr(1)}
			if tc.isLoaded {
				m.HandlePullReply(startTime, &PullRequest{}, &PullReply{Revision: 4, IsWhole: true})
			}
			subscribe := &Message{IsSubscribe: true, HasCopy: tc.hasCopy}
			for second := range 2 {
				now, offers := startTime.Add(time.Duration(second)*time.Second), 0
				for i := range 3 * maxOffers {
					for _, s := range m.Handle(now, agentAddr(i), subscribe).Sends {
						require.Equal(t, agentAddr(i), s.To)
						offers++
					}
				}
				if tc.want {
					require.Equal(t, maxOffers, offers)
				} else {
					require.Zero(t, offers)
				}
			}
		})
	}
}
