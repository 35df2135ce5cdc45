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

// PerMille is a load of exactly the capacity.
const PerMille = 1000

const (
	// MaxReportAge is how long a peer's report counts.
	MaxReportAge = 3 * time.Second
	// SlowStart is how long a new upstream takes to reach its full capacity.
	SlowStart = 10 * time.Second

	minSlowStart     = 0.1
	minSpeed         = 0.1
	baselineSamples  = 20
	latencyShare     = 0.1   // of the newest sample in the mean
	baselineRecovery = 1.002 // growth of the baseline for each slower sample
	slowFactor       = 2.0   // times the baseline that still count as full speed
)

// Meter measures the capacity of one upstream from what the agent itself sees:
// how long answers take, and how often the upstream fails. The upstream's own
// health and load endpoints lag or mislead, so they play no part. It is safe
// for concurrent use; Start is set before use.
type Meter struct {
	// Start is when the upstream began to take work.
	Start time.Time

	mu       sync.Mutex
	baseline float64 // seconds to the first byte at full speed
	latency  float64 // mean seconds to the first byte
	failures float64 // mean share of failed attempts
	samples  int
}

// Answered records the time from giving a request to the answer's first byte.
func (m *Meter) Answered(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := after.Seconds()
	m.failures -= m.failures * latencyShare
	m.samples++
	if m.samples == 1 {
		m.baseline, m.latency = seconds, seconds
		return
	}
	m.latency += (seconds - m.latency) * latencyShare
	// The baseline follows fast answers at once and slow ones only slowly.
	if seconds < m.baseline {
		m.baseline = seconds
	} else {
		m.baseline = math.Min(m.baseline*baselineRecovery, m.latency)
	}
}

// Failed records an upstream that refused or broke a connection.
func (m *Meter) Failed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures += (1 - m.failures) * latencyShare
}

// Factor returns the share of its nominal capacity that the upstream has now,
// above 0 and at most 1: slow start times measured speed times success.
func (m *Meter) Factor(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowStart(now) * m.speed() * math.Max(1-m.failures, minSpeed)
}

func (m *Meter) slowStart(now time.Time) float64 {
	if m.Start.IsZero() {
		return 1
	}
	share := float64(now.Sub(m.Start)) / float64(SlowStart)
	return math.Min(math.Max(share, minSlowStart), 1)
}

func (m *Meter) speed() float64 {
	if m.samples < baselineSamples || m.latency <= m.baseline*slowFactor {
		return 1
	}
	return math.Max(m.baseline*slowFactor/m.latency, minSpeed)
}

// Of returns a load in per mille: requests in hand over capacity. Factor is
// the share of the largest upstream's capacity.
func Of(requests, slots int, factor float64) uint32 {
	if slots <= 0 || factor <= 0 {
		return math.MaxUint32
	}
	return perMille(float64(requests) / (float64(slots) * factor))
}

// Density returns open flows over capacity, times 1,000.
func Density(flows int, factor float64) uint32 {
	if factor <= 0 {
		return math.MaxUint32
	}
	return perMille(float64(flows) / factor)
}

func perMille(share float64) uint32 {
	return uint32(math.Min(share*PerMille, math.MaxUint32))
}

// smoothTime is the time constant of a Smoother.
const smoothTime = 5 * time.Second

// Smoother is an exponential mean of a load over time. The zero value has the
// mean 0. It is not safe for concurrent use.
type Smoother struct {
	mean float64
}

// Add adds a load that lasted for a time.
func (s *Smoother) Add(load uint32, lasted time.Duration) {
	s.mean += (float64(load) - s.mean) * (1 - math.Exp(-lasted.Seconds()/smoothTime.Seconds()))
}

// Mean returns the mean.
func (s *Smoother) Mean() uint32 { return uint32(s.mean) }

// Board keeps the newest report of each peer. The zero value is empty; it is
// safe for concurrent use.
type Board struct {
	mu      sync.RWMutex
	reports map[netip.AddrPort]report
}

type report struct {
	jasminemoor.LoadReport
	at time.Time
}

// Put keeps a report unless it is older than the known one.
func (b *Board) Put(r jasminemoor.LoadReport, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports == nil {
		b.reports = make(map[netip.AddrPort]report)
	}
	known := b.reports[r.Agent]
	if r.Incarnation < known.Incarnation {
		return
	}
	if r.Incarnation == known.Incarnation && r.Sequence <= known.Sequence {
		return
	}
	b.reports[r.Agent] = report{LoadReport: r, at: now}
}

// Recent returns a peer's report if it is recent enough to act on.
func (b *Board) Recent(agent netip.AddrPort, now time.Time) (r jasminemoor.LoadReport, found bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, found := b.reports[agent]
	if !found || now.Sub(known.at) > MaxReportAge {
		return r, false
	}
	return known.LoadReport, true
}

// Retain forgets the peers that keep says no to.
func (b *Board) Retain(keep func(netip.AddrPort) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for agent := range b.reports {
		if !keep(agent) {
			delete(b.reports, agent)
		}
	}
}
