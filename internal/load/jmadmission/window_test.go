package jmadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmadmission"
)

var startTime = time.Unix(1_700_000_000, 0)

// TestWindowNeverAboveLimit opens at random times, in bursts and at a steady rate, and
// counts the admissions of each second that begins with one.
func TestWindowNeverAboveLimit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := jmadmission.Window{Limit: 1 + rng.IntN(60)}
		now, refused := startTime, 0
		var admitted []time.Time
		for range 5000 {
			switch rng.IntN(400) {
			case 0:
				now = now.Add(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
			case 1, 2:
				now = now.Add(time.Second)
			default:
				now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			}
			room := w.Room(now)
			if w.Allow(now) {
				require.Positive(t, room)
				admitted = append(admitted, now)
				continue
			}
			require.Zero(t, room)
			refused++
		}
		require.Positive(t, refused)
		for first, end := 0, 0; first < len(admitted); first++ {
			for end < len(admitted) && admitted[end].Sub(admitted[first]) <= time.Second {
				end++
			}
			require.LessOrEqual(t, end-first, w.Limit, "seed %d", seed)
		}
	}
}

func TestWindow(t *testing.T) {
	type step struct {
		at     time.Duration
		admits bool
	}
	const ms = time.Millisecond
	cases := map[string]struct {
		window jmadmission.Window
		steps  []step
	}{
		"no limit":   {jmadmission.Window{}, []step{{0, true}, {0, true}, {0, true}}},
		"one second": {jmadmission.Window{Limit: 1}, []step{{0, true}, {0, false}, {1000 * ms, false}, {1001 * ms, true}}},
		"slides": {jmadmission.Window{Limit: 2, Span: 150 * ms}, []step{
			{0, true}, {80 * ms, true}, {150 * ms, false}, {151 * ms, true}, {230 * ms, false}, {231 * ms, true},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := tc.window
			for _, s := range tc.steps {
				require.Equal(t, s.admits, w.Allow(startTime.Add(s.at)), s.at)
			}
		})
	}
}

// TestWindowLimitChanges lowers the limit of a window, which counts what it has admitted
// and recorded before.
func TestWindowLimitChanges(t *testing.T) {
	w := jmadmission.Window{Limit: 100}
	for range 10_000 {
		w.Record(startTime)
	}
	require.Equal(t, 100, w.Count(startTime))
	w.Limit = 5
	require.False(t, w.Allow(startTime.Add(time.Millisecond)))
	require.Zero(t, w.Room(startTime.Add(time.Millisecond)))
}
