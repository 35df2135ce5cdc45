package jmpassnode_test

import (
	"fmt"
	"strings"
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
			var ofFirst []*jmpackets.Flow
			const flows, maxOpened = 4, 400
			for i := 0; i < 40 || len(ofFirst) < flows && i < maxOpened; i++ {
				f, err := s.open(shop)
				require.NoError(t, err)
				answer, err := s.do(f, fmt.Sprint("before-", i))
				require.NoError(t, err)
				if strings.HasPrefix(answer, "shop1") {
					ofFirst = append(ofFirst, f)
				}
			}
			require.GreaterOrEqual(t, len(ofFirst), flows)
			if isOrderly {
				s.agents[1].stop()
			} else {
				s.agents[1].kill()
			}
			next := s.startAgent(1, "shop", false)
			_, err := s.do(ofFirst[0], "after")
			require.NoError(t, err)
			known := func() int {
				n, _ := next.Flows()
				return n
			}
			if !isOrderly {
				require.Never(t, func() bool { return known() > 1 }, 500*time.Millisecond, 10*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return known() >= len(ofFirst) }, time.Second, 5*time.Millisecond)
			for i, f := range ofFirst {
				_, err := s.do(f, fmt.Sprint("then-", i))
				require.NoError(t, err)
			}
		})
	}
}
