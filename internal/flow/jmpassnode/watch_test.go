package jmpassnode_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestQuietRestartOfUpstream has upstreams end and start again without time down while they get
// no packet, and then opens flows. The directory lists the former runs, which are warm.
func TestQuietRestartOfUpstream(t *testing.T) {
	const (
		coldRate = 2
		flows    = 30
	)
	s := newSite(t)
	s.publishLimit(2, map[netip.AddrPort]string{shop: "shop", desk: "desk"}, coldRate)
	isHeld := func() bool {
		return s.upstreams[1].Held() == 1 && s.upstreams[2].Held() == 1 && s.upstreams[3].Held() == 1
	}
	require.Eventually(t, isHeld, 3*time.Second, 10*time.Millisecond)
	for i := range flows {
		_, err := s.serve(shop, fmt.Sprint("before-", i))
		require.NoError(t, err, "warm upstreams have no limit")
	}
	time.Sleep(1500 * time.Millisecond)
	restarted := time.Now()
	for i := 1; i <= 3; i++ {
		s.upstreams[i].Crash()
		require.NoError(t, s.upstreams[i].Start(context.Background()))
	}
	var wg sync.WaitGroup
	for i := range flows {
		wg.Go(func() { _, _ = s.serve(shop, fmt.Sprint("after-", i)) })
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	opened := 0
	for i := 1; i <= 3; i++ {
		inSecond := 0
		for _, at := range s.upstreams[i].Openings() {
			if after := at.Sub(restarted); after > 0 && after <= time.Second {
				inSecond++
			}
		}
		require.LessOrEqual(t, inSecond, coldRate, "upstream %d", i)
		opened += inSecond
	}
	require.Positive(t, opened)
	require.Eventually(t, isHeld, 3*time.Second, 10*time.Millisecond)
}

// TestUpstreamClosesIdleConnections has upstreams close the connections of their agents, which
// replace them in time once they know. The limit for cold upstreams is not in force then.
func TestUpstreamClosesIdleConnections(t *testing.T) {
	s := newSite(t)
	for i := 1; i <= 3; i++ {
		s.upstreams[i].CloseIdle(2500 * time.Millisecond)
	}
	s.publishLimit(2, map[netip.AddrPort]string{shop: "shop", desk: "desk"}, 1)
	// The first connection ends after 2.5 s, and 4 s later the directory has shown the run.
	time.Sleep(9 * time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		_, err := s.serve(shop, fmt.Sprint("request-", time.Now().UnixNano()))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}
