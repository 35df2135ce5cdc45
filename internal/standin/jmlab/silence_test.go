package jmlab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
)

// TestSilentPort silences every caller's port for good, while new ports work.
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
	require.Greater(t, after-before, 100, "feeds go on over new ports")
	l.finish()
}

// TestForgottenMappings has the fabric forget every caller, as a NAT that restarts.
func TestForgottenMappings(t *testing.T) {
	lab := startLab(t, 15)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 2)
	time.Sleep(500 * time.Millisecond)
	lab.Fabrics[0].ForgetMappings()
	time.Sleep(3 * time.Second)
	l.finish()
}

// TestBadFabric loses, doubles and reorders datagrams.
func TestBadFabric(t *testing.T) {
	lab := startLab(t, 16)
	lab.SetFabrics(jmfabric.Settings{LossShare: 0.05, CopyShare: 0.05, MaxDelay: 10 * time.Millisecond})
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 4)
	time.Sleep(3 * time.Second)
	l.finish()
}

// TestSilentAgentPath drops everything between one balancer's port and all
// agents for good: the balancer gets through from another port.
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
