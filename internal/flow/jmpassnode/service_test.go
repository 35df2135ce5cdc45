package jmpassnode_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// TestUpstreamReplacedUnderAgent replaces an upstream beside an agent that keeps running, while
// callers open flows. The next upstream at the address is listed by the directory only after the
// test. If it is of another service, as the settings say from then on, no request may run there.
func TestUpstreamReplacedUnderAgent(t *testing.T) {
	const at = 3
	cases := map[string]struct {
		down time.Duration
		age  time.Duration // of the former upstream
		next string        // service that the settings name, empty if they have a fault
		// isQuiet is set if no flow is opened while no upstream listens.
		isQuiet bool
		runs    bool // whether requests of the shop run at the next upstream
	}{
		"of another service, at once":                          {age: time.Hour, next: "desk"},
		"of another service, settings change before any probe": {down: 100 * time.Millisecond, age: time.Hour, next: "desk", isQuiet: true},
		"of another service, without flows meanwhile":          {down: time.Second, age: time.Hour, next: "desk", isQuiet: true},
		"of the same service, at once":                         {age: time.Hour, next: "shop", runs: true},
		"of another service":                                   {down: time.Second, age: time.Hour, next: "desk"},
		"of another service, former one just started":          {down: time.Second, age: 5 * time.Second, next: "desk"},
		"of the same service, former one just started":         {down: time.Second, age: 5 * time.Second, next: "shop", runs: true},
		"settings have a fault":                                {down: time.Second, age: 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.store.Put(fmt.Sprintf("servers/i-%d", at), map[string]any{
				"service": "shop", "address": addr(2, at, upstreamPort).String(), "zone": "here", "version": "v1", "max_concurrency": 5, "state": "ready",
				"cold_left_ms": 0, "seq": 1, "born": time.Now().Add(-tc.age).UnixMilli(),
			})
			require.Eventually(t, func() bool {
				return s.eachControl(func(p *process) bool { return p.control().Snapshot().Upstreams[addr(2, at, upstreamPort)].Born > 1 })
			}, configBound, 10*time.Millisecond)
			var wg sync.WaitGroup
			deadline := time.Now().Add(tc.down + 5*time.Second)
			for caller := range 8 {
				wg.Go(func() {
					if tc.isQuiet {
						time.Sleep(tc.down + 50*time.Millisecond)
					}
					for i := 0; time.Now().Before(deadline); i++ {
						_, _ = s.serve(shop, fmt.Sprintf("shop-%d-%d", caller, i))
					}
				})
			}
			s.upstreams[at].Crash()
			time.Sleep(tc.down)
			s.setService(at, tc.next)
			next := &jmpackets.Upstream{Address: addr(2, at, upstreamPort), Outbound: addr(2, at, outboundPort), Name: "next", ServiceTime: 5 * time.Millisecond}
			require.NoError(t, next.Start(t.Context()))
			t.Cleanup(next.Crash)
			wg.Wait()
			count := 0
			for id := range next.Runs() {
				if strings.HasPrefix(id, "shop-") {
					count++
				}
			}
			require.Equal(t, tc.runs, count > 0, "%d requests of the shop ran at the next upstream", count)
		})
	}
}
