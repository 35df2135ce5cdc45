package jmload_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
)

var (
	start = time.Unix(1000, 0)
	agent = netip.MustParseAddrPort("10.0.0.1:7100")
)

func TestSlowStart(t *testing.T) {
	m := &jmload.Meter{Start: start}
	require.InDelta(t, 0.1, m.Factor(start), 0.001)
	require.InDelta(t, 0.5, m.Factor(start.Add(jmload.SlowStart/2)), 0.001)
	require.InDelta(t, 1, m.Factor(start.Add(time.Hour)), 0.001)
}

// TestSlowUpstream guards against full load on an upstream whose answers take ten
// times as long, while its own endpoints still report it as healthy.
func TestSlowUpstream(t *testing.T) {
	var m jmload.Meter
	for range 50 {
		m.RecordAnswer(20 * time.Millisecond)
	}
	require.InDelta(t, 1, m.Factor(start), 0.001)
	for range 50 {
		m.RecordAnswer(200 * time.Millisecond)
	}
	require.Less(t, m.Factor(start), 0.35)
	for range 50 {
		m.RecordAnswer(20 * time.Millisecond)
	}
	require.InDelta(t, 1, m.Factor(start), 0.001, "the factor recovers")
}

func TestFailingUpstream(t *testing.T) {
	var m jmload.Meter
	for range 20 {
		m.RecordFailure()
	}
	require.Less(t, m.Factor(start), 0.2)
	for range 50 {
		m.RecordAnswer(time.Millisecond)
	}
	require.Greater(t, m.Factor(start), 0.9)
}

func TestOf(t *testing.T) {
	require.EqualValues(t, 0, jmload.Of(0, 5, 1))
	require.EqualValues(t, 1000, jmload.Of(5, 5, 1))
	require.EqualValues(t, 4000, jmload.Of(5, 5, 0.25))
	require.EqualValues(t, math.MaxUint32, jmload.Of(1, 0, 1))
	require.EqualValues(t, math.MaxUint32, jmload.Density(1, 0))
	require.EqualValues(t, 40_000, jmload.Density(10, 0.25))
}

func TestSmoother(t *testing.T) {
	var s jmload.Smoother
	for range 600 {
		s.Add(1000, 100*time.Millisecond)
	}
	require.InDelta(t, 1000, s.Mean(), 2)
	s.Add(0, 100*time.Millisecond)
	require.Greater(t, s.Mean(), uint32(900), "a moment without load hardly lowers the mean")
}

func TestReports(t *testing.T) {
	var reports jmload.Reports
	report := func(incarnation jasminemoor.Incarnation, sequence uint64, mean uint32) jasminemoor.LoadReport {
		return jasminemoor.LoadReport{Agent: agent, Incarnation: incarnation, Sequence: sequence, Load: jasminemoor.Load{Mean: mean}}
	}
	_, found := reports.Recent(agent, start)
	require.False(t, found)
	reports.Put(report(5, 2, 100), start)
	reports.Put(report(5, 1, 200), start)
	reports.Put(report(4, 9, 300), start)
	r, found := reports.Recent(agent, start)
	require.True(t, found)
	require.EqualValues(t, 100, r.Load.Mean, "older reports are ignored")
	reports.Put(report(6, 1, 400), start)
	r, _ = reports.Recent(agent, start)
	require.EqualValues(t, 400, r.Load.Mean, "a new incarnation begins its own sequence")
	_, found = reports.Recent(agent, start.Add(time.Minute))
	require.False(t, found, "a stale report is not returned")
	reports.Retain(func(netip.AddrPort) bool { return false })
	_, found = reports.Recent(agent, start)
	require.False(t, found)
}
