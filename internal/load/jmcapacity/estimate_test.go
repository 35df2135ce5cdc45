package jmcapacity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmcapacity"
)

var startTime = time.Unix(1_700_000_000, 0)

// record gives an estimate n samples, one each interval, and returns the time after them.
func record(e *jmcapacity.Estimate[string], now time.Time, key string, n int, draw func() time.Duration) time.Time {
	for range n {
		now = now.Add(10 * time.Millisecond)
		e.Record(now, key, draw())
	}
	return now
}

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// TestTailIsKeptApart draws work of which 3% takes seven times as long. The usual time is
// that of the rest, and the mean has the tail. Several slow requests in a row raise the usual
// time for a moment by less than half.
func TestTailIsKeptApart(t *testing.T) {
	const usual, tail, share = 26 * time.Millisecond, 7 * 26 * time.Millisecond, 0.03
	rng := rand.New(rand.NewPCG(1, 1))
	var e jmcapacity.Estimate[string]
	var usualSum, meanSum, tailSum float64
	now, rounds := startTime, 0
	for range 200 {
		now = record(&e, now, "status", 100, func() time.Duration {
			if rng.Float64() < share {
				return tail
			}
			return usual
		})
		require.InDelta(t, usual.Seconds(), e.Usual(now).Seconds(), 0.5*usual.Seconds())
		usualSum, meanSum, tailSum = usualSum+e.Usual(now).Seconds(), meanSum+e.Mean(now).Seconds(), tailSum+e.TailShare()
		rounds++
	}
	mean := usual.Seconds() + share*(tail-usual).Seconds()
	require.InDelta(t, usual.Seconds(), usualSum/float64(rounds), 0.1*usual.Seconds())
	require.InDelta(t, mean, meanSum/float64(rounds), 0.1*mean)
	require.InDelta(t, share, tailSum/float64(rounds), 0.01)
}

// TestChangeOfSpeed has an upstream turn five times slower, and then fast again.
func TestChangeOfSpeed(t *testing.T) {
	const fast, slow = 40 * time.Millisecond, 200 * time.Millisecond
	var e jmcapacity.Estimate[string]
	now := record(&e, startTime, "status", 50, always(fast))
	require.Equal(t, fast, e.Usual(now))
	now = record(&e, now, "status", 25, always(slow))
	require.Greater(t, e.Usual(now), slow*6/10)
	now = record(&e, now, "status", 100, always(fast))
	require.InDelta(t, fast.Seconds(), e.Usual(now).Seconds(), 0.01)
}

// TestUnknown asks an estimate that knows nothing, or no longer does. Its first sample
// afterwards replaces what it knew.
func TestUnknown(t *testing.T) {
	var e jmcapacity.Estimate[string]
	load := jmcapacity.Load{InFlight: 3, Slots: 2}
	require.Zero(t, e.Usual(startTime))
	require.Zero(t, e.Wait(startTime, time.Millisecond, load))
	now := record(&e, startTime, "status", 50, always(time.Second))
	e.Record(now, "status", 0) // no time is no sample
	require.Equal(t, time.Second, e.Mean(now.Add(jmcapacity.Memory)))
	later := now.Add(jmcapacity.Memory + 1)
	require.Zero(t, e.Usual(later))
	require.Zero(t, e.UsualOf(later, "status"))
	require.Zero(t, e.Mean(later))
	require.Zero(t, e.Rate(later, load))
	e.Record(later, "status", 20*time.Millisecond)
	require.Equal(t, 20*time.Millisecond, e.Usual(later))
}

// TestWorkOfKeys has the work of two keys take different times. A key with few samples
// counts as any other.
func TestWorkOfKeys(t *testing.T) {
	var e jmcapacity.Estimate[string]
	now := record(&e, startTime, "pull", 100, always(4*time.Millisecond))
	now = record(&e, now, "confirm", 100, always(32*time.Millisecond))
	e.Record(now, "new", time.Second)
	require.Equal(t, 4*time.Millisecond, e.UsualOf(now, "pull"))
	require.Equal(t, 32*time.Millisecond, e.UsualOf(now, "confirm"))
	require.Equal(t, e.Usual(now), e.UsualOf(now, "new"))
	require.Equal(t, e.Usual(now), e.UsualOf(now, "never seen"))
}

func TestWait(t *testing.T) {
	const work = 40 * time.Millisecond
	var e jmcapacity.Estimate[string]
	now := record(&e, startTime, "status", 100, always(work))
	cases := map[string]struct {
		load jmcapacity.Load
		want time.Duration
	}{
		"idle":                         {jmcapacity.Load{Slots: 2}, work},
		"requests in flight":           {jmcapacity.Load{InFlight: 2, Slots: 2}, 2 * work},
		"more slots":                   {jmcapacity.Load{InFlight: 2, Slots: 4}, work + work/2},
		"queued requests":              {jmcapacity.Load{InFlight: 3, Queued: 5, Slots: 2}, 5 * work},
		"feeds, of 1 request at once":  {jmcapacity.Load{FeedRate: 25, Slots: 2}, work + work/2},
		"one slot held by the tail":    {jmcapacity.Load{InFlight: 2, Overdue: 1, Slots: 2}, work + work*3/4},
		"both slots held by the tail":  {jmcapacity.Load{InFlight: 3, Overdue: 2, Slots: 2}, work + work*3/2},
		"no slots listed":              {jmcapacity.Load{InFlight: 1}, 0},
		"more overdue than in flight":  {jmcapacity.Load{InFlight: 1, Overdue: 2, Slots: 2}, work},
		"more overdue than it has got": {jmcapacity.Load{InFlight: 4, Overdue: 4, Slots: 2}, work},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, tc.want.Seconds(), e.Wait(now, work, tc.load).Seconds(), 1e-6)
		})
	}
}

// TestDemand has 50 long flows ask a request a second, and then stop.
func TestDemand(t *testing.T) {
	var d jmcapacity.Demand
	require.Zero(t, d.PerSecond(startTime))
	now := startTime
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		d.Add(now)
	}
	require.InDelta(t, 50, d.PerSecond(now), 1)
	require.Less(t, d.PerSecond(now.Add(10*time.Second)), 0.5)
}

// TestKeysAreBounded records samples of more keys than are kept. None is lost.
func TestKeysAreBounded(t *testing.T) {
	var e jmcapacity.Estimate[int]
	now := startTime
	for i := range 10_000 {
		e.Record(now, i, time.Millisecond)
	}
	require.Equal(t, time.Millisecond, e.Usual(now))
	require.Zero(t, testing.AllocsPerRun(100, func() { e.Record(now, 1_000_000, time.Millisecond) }))
}

// placement is the cost by which upstreams are chosen in TestPlacementByExpectedTime.
type placement func(u *simulated, now time.Time) float64

// simulated is an upstream with a queue, which serves in the order of arrival.
type simulated struct {
	speed    float64
	free     []time.Time // when each slot is free
	running  []job
	estimate jmcapacity.Estimate[string]
}

type job struct{ begins, ends time.Time }

// TestPlacementByExpectedTime places requests with a tail at upstreams of three speeds with
// two slots each, while the load rises and falls, by the expected time and by the number of
// requests in a slot. The expected time serves more of them within 200 ms.
func TestPlacementByExpectedTime(t *testing.T) {
	byCount := func(u *simulated, _ time.Time) float64 { return float64(len(u.running)) }
	byTime := func(u *simulated, now time.Time) float64 {
		l := jmcapacity.Load{InFlight: len(u.running), Slots: len(u.free)}
		for _, j := range u.running {
			if now.Sub(j.begins) > jmcapacity.TailFactor*u.estimate.Usual(now) {
				l.Overdue++
			}
		}
		return u.estimate.Wait(now, u.estimate.Usual(now), l).Seconds()
	}
	counted, p99Counted := simulate(byCount)
	expected, p99Expected := simulate(byTime)
	t.Logf("by count: %.4f in time, p99 %s; by expected time: %.4f, %s", counted, p99Counted, expected, p99Expected)
	require.Greater(t, expected, counted+0.003)
	require.Less(t, p99Expected, p99Counted)
}
