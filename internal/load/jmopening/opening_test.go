package jmopening_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmopening"
)

const patience = 2 * time.Second

var now = time.Unix(1_700_000_000, 0)

func report(age, wait time.Duration) jmopening.Report {
	return jmopening.Report{At: now.Add(-age), Wait: wait}
}

func TestIsHopeless(t *testing.T) {
	full := report(50*time.Millisecond, 3*time.Second)
	cases := map[string]struct {
		upstreams []jmopening.Report
		patience  time.Duration
		want      bool
	}{
		"all full":              {[]jmopening.Report{full, full}, patience, true},
		"one has room":          {[]jmopening.Report{full, report(50*time.Millisecond, time.Second)}, patience, false},
		"one report is old":     {[]jmopening.Report{full, report(time.Second, 9*time.Second)}, patience, false},
		"one was never heard":   {[]jmopening.Report{full, {}}, patience, false},
		"one does not know":     {[]jmopening.Report{full, report(0, 0)}, patience, false},
		"one takes no flows":    {[]jmopening.Report{full, {At: now, TakesNoFlows: true}}, patience, true},
		"drained since":         {[]jmopening.Report{report(300*time.Millisecond, 2200*time.Millisecond)}, patience, false},
		"from a later time":     {[]jmopening.Report{report(-time.Second, 9*time.Second)}, patience, false},
		"no upstream":           {nil, patience, false},
		"callers have no limit": {[]jmopening.Report{full}, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, jmopening.IsHopeless(now, tc.upstreams, tc.patience))
		})
	}
}

// TestNoRefusalWhileOneHasRoom draws reports of upstreams and their true waits, which may
// have drained since. No flow is refused that some upstream would answer in time.
func TestNoRefusalWhileOneHasRoom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for range 200_000 {
		upstreams := make([]jmopening.Report, 1+r.IntN(8))
		least := time.Hour
		for i := range upstreams {
			age := time.Duration(r.Int64N(int64(400 * time.Millisecond)))
			wait := time.Duration(r.Int64N(int64(6 * time.Second)))
			upstreams[i] = report(age, wait)
			drained := time.Duration(r.Int64N(int64(age) + 1))
			least = min(least, wait-drained)
		}
		if jmopening.IsHopeless(now, upstreams, patience) {
			refused++
			require.Greater(t, least, patience)
		}
	}
	require.NotZero(t, refused)
}

func TestWait(t *testing.T) {
	require.Equal(t, 20*time.Millisecond, jmopening.Wait(0, 2, 20*time.Millisecond))
	require.Equal(t, 50*time.Millisecond, jmopening.Wait(3, 2, 20*time.Millisecond))
	require.Equal(t, 80*time.Millisecond, jmopening.Wait(3, 0, 20*time.Millisecond))
}
