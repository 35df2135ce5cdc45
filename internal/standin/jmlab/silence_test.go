package jmlab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
)

// TestSilentPort drops all packets of the callers' current ports from then on: feeds
// and bookings go on over new ports.
func TestSilentPort(t *testing.T) {
	lab := startLab(t, 14)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 2)
	time.Sleep(500 * time.Millisecond)
	lab.Fabrics[0].SilenceCallers()
	time.Sleep(7 * time.Second)
	l.mu.Lock()
	before := l.ticks
	l.mu.Unlock()
	time.Sleep(time.Second)
	l.mu.Lock()
	after := l.ticks
	l.mu.Unlock()
	require.Greater(t, after-before, 100, "feeds deliver ticks over new ports")
	l.finish()
}

// TestForgottenMappings has the fabric drop its address mappings, as a NAT does that
// restarts.
func TestForgottenMappings(t *testing.T) {
	lab := startLab(t, 15)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 2)
	time.Sleep(500 * time.Millisecond)
	lab.Fabrics[0].ForgetMappings()
	time.Sleep(3 * time.Second)
	l.finish()
}

// TestBadFabric runs under a fabric that loses, duplicates and reorders datagrams.
func TestBadFabric(t *testing.T) {
	lab := startLab(t, 16)
	lab.SetFabrics(jmfabric.Settings{LossShare: 0.05, CopyShare: 0.05, MaxDelay: 10 * time.Millisecond})
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 4)
	time.Sleep(3 * time.Second)
	l.finish()
}

// TestSilentAgentPath drops all packets between one balancer's fleet port and the
// agents from then on: the balancer reaches the agents from its spare port.
func TestSilentAgentPath(t *testing.T) {
	lab := startLab(t, 18)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 3)
	time.Sleep(500 * time.Millisecond)
	b := lab.Balancers["b1"]
	lab.SilencePort(b.Identity.Agent)
	require.Eventually(t, func() bool { return b.Counters.SparePort.Load() > 100 }, 10*time.Second, 50*time.Millisecond)
	time.Sleep(time.Second)
	l.finish()
}
