// Package jmload measures an agent's own load and keeps the recent reports of
// its peers.
package jmload

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// PerMille is the load of an agent whose requests equal its capacity.
const PerMille = 1000

const (
	// MaxReportAge is the age beyond which a peer's report is stale.
	MaxReportAge = 3 * time.Second
	// SlowStart is the time over which a new upstream's capacity grows to its full
	// value.
	SlowStart = 10 * time.Second

	minSlowStartFactor = 0.1   // capacity factor at the beginning of the slow start
	minFactor          = 0.1   // least capacity factor of the speed, and of the successes
	minSamples         = 20    // answers before the latency is compared with the baseline
	sampleWeight       = 0.1   // weight of the newest sample in an EWMA
	baselineRecovery   = 1.002 // growth of the baseline for each slower sample
	slowFactor         = 2.0   // ratio of latency to baseline up to which the speed is full
)

// Meter estimates the capacity of one upstream from what the agent itself observes:
// the latency of answers, and the rate of failures. The upstream's own health and
// load endpoints are not used, as they lag or mislead. A Meter is safe for
// concurrent use; Start is set before use.
type Meter struct {
	// Start is when the upstream began to accept work. The zero value means that there
	// is no slow start.
	Start time.Time

	mu       sync.Mutex
	baseline float64 // seconds to the first byte at full speed
	latency  float64 // EWMA of the seconds to the first byte
	failures float64 // EWMA of the share of failed attempts
	samples  int
}

// RecordAnswer records the time from sending a request to the first byte of its answer.
func (m *Meter) RecordAnswer(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := after.Seconds()
	m.failures -= m.failures * sampleWeight
	m.samples++
	if m.samples == 1 {
		m.baseline, m.latency = seconds, seconds
		return
	}
	m.latency += (seconds - m.latency) * sampleWeight
	// A fast answer lowers the baseline at once, a slow one raises it only slowly.
	if seconds < m.baseline {
		m.baseline = seconds
	} else {
		m.baseline = math.Min(m.baseline*baselineRecovery, m.latency)
	}
}

// RecordFailure records that the upstream could not be reached or did not complete
// an answer.
func (m *Meter) RecordFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures += (1 - m.failures) * sampleWeight
}

// Factor returns the share of its nominal capacity that the upstream has now,
// above 0 and at most 1. It is the product of the factors of the slow start, the
// measured speed and the share of successes.
func (m *Meter) Factor(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowStart(now) * m.speed() * math.Max(1-m.failures, minFactor)
}

func (m *Meter) slowStart(now time.Time) float64 {
	if m.Start.IsZero() {
		return 1
	}
	share := float64(now.Sub(m.Start)) / float64(SlowStart)
	return math.Min(math.Max(share, minSlowStartFactor), 1)
}

func (m *Meter) speed() float64 {
	if m.samples < minSamples || m.latency <= m.baseline*slowFactor {
		return 1
	}
	return math.Max(m.baseline*slowFactor/m.latency, minFactor)
}

// Of returns a load in per mille: running and queued requests over capacity, which
// is slots times factor. Factor is Meter.Factor times the upstream's weight relative
// to the largest one. Without capacity, Of returns math.MaxUint32.
func Of(requests, slots int, factor float64) uint32 {
	if slots <= 0 || factor <= 0 {
		return math.MaxUint32
	}
	return perMille(float64(requests) / (float64(slots) * factor))
}

// Density returns open flows over the capacity factor, as in Of, times 1,000. If the
// factor is 0, Density returns math.MaxUint32.
func Density(flows int, factor float64) uint32 {
	if factor <= 0 {
		return math.MaxUint32
	}
	return perMille(float64(flows) / factor)
}

func perMille(share float64) uint32 {
	return uint32(math.Min(share*PerMille, math.MaxUint32))
}

// smoothingTime is the time constant of a Smoother's EWMA.
const smoothingTime = 5 * time.Second

// Smoother is an exponentially weighted moving average (EWMA) of a load over time.
// The zero value has the mean 0. It is not safe for concurrent use.
type Smoother struct {
	mean float64
}

// Add adds a load that lasted for the given time.
func (s *Smoother) Add(load uint32, lasted time.Duration) {
	s.mean += (float64(load) - s.mean) * (1 - math.Exp(-lasted.Seconds()/smoothingTime.Seconds()))
}

// Mean returns the current mean, in the unit of the loads.
func (s *Smoother) Mean() uint32 { return uint32(s.mean) }

// Reports is a table of the newest load report of each peer. The zero value is
// empty. It is safe for concurrent use.
type Reports struct {
	mu      sync.RWMutex
	byAgent map[netip.AddrPort]report
}

type report struct {
	jasminemoor.LoadReport
	at time.Time
}

// Put stores a report that is newer than the stored one.
func (t *Reports) Put(r jasminemoor.LoadReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAgent == nil {
		t.byAgent = make(map[netip.AddrPort]report)
	}
	stored := t.byAgent[r.Agent]
	if r.Incarnation < stored.Incarnation {
		return
	}
	if r.Incarnation == stored.Incarnation && r.Sequence <= stored.Sequence {
		return
	}
	t.byAgent[r.Agent] = report{LoadReport: r, at: now}
}

// Recent returns a peer's report unless it is missing or stale.
func (t *Reports) Recent(agent netip.AddrPort, now time.Time) (r jasminemoor.LoadReport, found bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	stored, found := t.byAgent[agent]
	if !found || now.Sub(stored.at) > MaxReportAge {
		return r, false
	}
	return stored.LoadReport, true
}

// Retain removes the reports of all peers for which keep returns false.
func (t *Reports) Retain(keep func(netip.AddrPort) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent := range t.byAgent {
		if !keep(agent) {
			delete(t.byAgent, agent)
		}
	}
}
