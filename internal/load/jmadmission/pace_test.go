package jmadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmadmission"
)

// TestPaceNeverAboveLimit opens at random times. The process is restarted at random and
// knows nothing then, its clock stands still at times, and it is paused between an
// admission and the packet that follows. No second has more packets than the limit.
func TestPaceNeverAboveLimit(t *testing.T) {
	most := 0.0 // largest share of a limit that was used
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		fresh := jmadmission.Pace{Rate: 0.5 + 40*rng.Float64(), Burst: 1 + float64(rng.IntN(10))}
		limit := int(fresh.Burst + fresh.Rate)
		p, clock, now := fresh, startTime, startTime
		var sent []time.Time
		for range 5000 {
			step := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			isPaused := false
			switch rng.IntN(200) {
			case 0:
				p = fresh
			case 1: // a suspension, which the process's clock does not count
				now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
			case 2:
				isPaused = true
			case 3:
				p.Charge(clock)
			}
			clock, now = clock.Add(step), now.Add(step)
			isAdmitted := p.Allow(clock)
			if isPaused {
				pause := time.Duration(rng.Int64N(int64(time.Second)))
				clock, now = clock.Add(pause), now.Add(pause)
			}
			if isAdmitted {
				sent = append(sent, now)
			}
		}
		for first, end := 0, 0; first < len(sent); first++ {
			for end < len(sent) && sent[end].Sub(sent[first]) <= time.Second {
				end++
			}
			// A packet may follow its admission by up to a tenth of a second.
			require.LessOrEqual(t, end-first, int(fresh.Burst+fresh.Rate*1.1), "seed %d", seed)
			most = max(most, float64(end-first)/float64(limit))
		}
	}
	require.Greater(t, most, 0.9)
}

func TestPace(t *testing.T) {
	var unlimited jmadmission.Pace
	for range 100 {
		require.True(t, unlimited.Allow(startTime))
	}
	p := jmadmission.Pace{Rate: 10, Burst: 2}
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, p.Allow(at(0)), "empty at first")
	require.False(t, p.Allow(at(99)))
	require.True(t, p.Allow(at(101)))
	require.False(t, p.Allow(at(102)))
	for ms := 110; ms < 1000; ms += 10 {
		p.Advance(at(ms))
	}
	require.True(t, p.Allow(at(1000)), "a burst")
	require.True(t, p.Allow(at(1000)))
	require.False(t, p.Allow(at(1000)))
	require.True(t, p.Allow(at(2000)), "a pause of the process")
	require.False(t, p.Allow(at(2000)))
	for range 50 {
		p.Charge(at(2000))
	}
	p.Advance(at(2100))
	p.Remit()
	require.False(t, p.Allow(at(2199)))
	require.True(t, p.Allow(at(2201)))

	none := jmadmission.Pace{Rate: 0.5}
	for ms := 0; ms < 10_000; ms += 50 {
		require.False(t, none.Allow(at(ms)), "no burst")
	}
}
