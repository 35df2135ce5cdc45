package jmpassnode_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// TestRestartedAgentGetsListOfFlows opens flows, and restarts an agent in an orderly way. The next
// one knows all flows of its upstream once a balancer has sent it the packet of one of them. After a
// kill it knows that one only.
func TestRestartedAgentGetsListOfFlows(t *testing.T) {
	for name, isOrderly := range map[string]bool{"orderly": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			const flows = 4
			at, held := 0, make(map[int][]*jmpackets.Flow) // by upstream
			for i := range 40 {
				f, err := s.open(shop)
				require.NoError(t, err)
				answer, err := s.do(f, fmt.Sprint("before-", i))
				require.NoError(t, err)
				var upstream int
				_, err = fmt.Sscanf(answer, "shop%d", &upstream)
				require.NoError(t, err)
				held[upstream] = append(held[upstream], f)
				if len(held[upstream]) > len(held[at]) {
					at = upstream
				}
			}
			open := held[at]
			require.GreaterOrEqual(t, len(open), flows)
			if isOrderly {
				s.agents[at].stop()
			} else {
				s.agents[at].kill()
			}
			next := s.startAgent(at, "shop", false)
			_, err := s.do(open[0], "after")
			require.NoError(t, err)
			known := func() int {
				n, _ := next.Flows()
				return n
			}
			if !isOrderly {
				require.Never(t, func() bool { return known() > 1 }, 500*time.Millisecond, 10*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return known() >= len(open) }, time.Second, 5*time.Millisecond)
			for i, f := range open {
				_, err := s.do(f, fmt.Sprint("then-", i))
				require.NoError(t, err)
			}
		})
	}
}
