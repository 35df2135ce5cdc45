package jmprocess_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
)

var flowCounts = flag.String("flow-counts", "50", "comma-separated numbers of open flows to measure an agent with")

const (
	clockTicksPerSecond = 100 // unit of the processor times in /proc/PID/stat
	concurrentOpens     = 20
	idleTime            = 5 * time.Second
)

// usage is the memory of a process and the processor time it has used.
type usage struct {
	resident  int // bytes
	processor time.Duration
}

// usageOf reads the usage of a process from /proc.
func usageOf(t *testing.T, pid int) (u usage) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	pages, err := strconv.Atoi(fields[21])
	require.NoError(t, err)
	u.processor = time.Duration(user+system) * time.Second / clockTicksPerSecond
	u.resident = pages * os.Getpagesize()
	return u
}

// TestFlowCost measures the memory and processor time that open feeds cost an agent
// and a balancer. It measures up to 1500 feeds when run with go test
// ./internal/standin/jmprocess -run FlowCost -v -args -flow-counts 0,500,1000,1500.
func TestFlowCost(t *testing.T) {
	fleet := startFleet(t, 24, jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1}})
	service := fleet.Layout.Services[0]
	agent, balancer := fleet.Process("agent-shop-floor-1").Pid(), fleet.Process("b1").Pid()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers []*client.Caller
	defer func() {
		for _, c := range callers {
			_ = c.Close()
		}
	}()
	for _, text := range strings.Split(*flowCounts, ",") {
		count, err := strconv.Atoi(text)
		require.NoError(t, err)
		start, agentBefore := time.Now(), usageOf(t, agent)
		opened := count - len(callers)
		var mu sync.Mutex
		var wg sync.WaitGroup
		slots := make(chan struct{}, concurrentOpens)
		for range opened {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				c := fleet.NewCaller(service)
				feed, err := c.OpenFeed(ctx)
				if err == nil {
					_, err = fmt.Fprint(feed, "FEED 10s\n")
				}
				mu.Lock()
				defer mu.Unlock()
				callers = append(callers, c)
				if err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		opening, agentOpened := time.Since(start), usageOf(t, agent)
		balancerBefore := usageOf(t, balancer)
		time.Sleep(idleTime)
		agentAfter, balancerAfter := usageOf(t, agent), usageOf(t, balancer)
		t.Logf("%d flows: agent %.1f MB, %.2f%% of a core when idle; balancer %.1f MB, %.2f%%; %d opened in %s, each with %s of the agent's processor time",
			count, float64(agentAfter.resident)/1e6, idlePercent(agentOpened, agentAfter),
			float64(balancerAfter.resident)/1e6, idlePercent(balancerBefore, balancerAfter),
			opened, opening.Round(time.Millisecond), perFlow(agentOpened.processor-agentBefore.processor, opened))
	}
}

// idlePercent returns the share of a core used during idleTime, in percent.
func idlePercent(before, after usage) float64 {
	return (after.processor - before.processor).Seconds() / idleTime.Seconds() * 100
}

// perFlow returns the time for each of count flows, or 0 if there are none.
func perFlow(d time.Duration, count int) time.Duration {
	if count == 0 {
		return 0
	}
	return d / time.Duration(count)
}
