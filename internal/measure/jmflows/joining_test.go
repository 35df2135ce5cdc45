package jmflows_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// joiningPhase sums up the windows of a result between two times. Late is the share of the
// requests that are late or fail, and Joined that of the upstreams that have joined.
func joiningPhase(r *jmflows.Result, from, until time.Duration) (worth, late, joined float64) {
	const windowLength = 2 * time.Second
	var sum jmflows.Window
	for _, w := range r.Windows[from/windowLength : until/windowLength] {
		sum.Asked += w.Asked
		sum.Late += w.Late + w.Failed
		sum.Earned += w.Earned
		sum.Owed += w.Owed
		sum.Runs += w.Runs
		sum.JoinedRuns += w.JoinedRuns
	}
	return sum.Earned / sum.Owed, float64(sum.Late) / float64(sum.Asked), float64(sum.JoinedRuns) / float64(sum.Runs)
}

// TestUpstreamsJoin adds upstreams to ones that have too much to do. Wherever flows are new,
// the added ones have their part after two seconds, also if they may be given only few flows
// while they are cold, and callers are served as on a quiet day. Feeds without an end stay.
func TestUpstreamsJoin(t *testing.T) {
	const (
		quietTarget = 0.95 // the users' target for quiet days
		joinsAt     = 10 * time.Second
		usedAfter   = 2 * time.Second
		endsAt      = 36 * time.Second
		minJoined   = 0.1 // of the requests; the added ones have 0.3 of the speed
	)
	cases := map[string]struct {
		feeds, others float64 // requests a second
		flowLasts     time.Duration
		coldRate      float64
		canMove       bool
	}{
		"new flows":          {400, 170, 0, 0, true},
		"new flows, limited": {400, 170, 0, 20, true},
		"feeds of 5 s":       {600, 1, 5 * time.Second, 0, true},
		"feeds of 20 s":      {600, 1, 20 * time.Second, 0, true},
		"feeds without end":  {600, 1, 0, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := loadScenario(t, "scale-out")
			s.ColdRate = tc.coldRate
			s.Classes[0].PerSecond, s.Classes[0].Callers = tc.feeds, int(tc.feeds)
			s.Classes[0].FlowLasts = jmtree.Duration(tc.flowLasts)
			s.Classes[1].PerSecond = tc.others
			for seed := range uint64(*flowSeeds) {
				r, err := jmflows.Run(s, jmflows.Product, seed+1)
				require.NoError(t, err, "seed %d", seed+1)
				_, lateBefore, _ := joiningPhase(r, 0, joinsAt)
				_, lateAtFirst, joinedAtFirst := joiningPhase(r, joinsAt, joinsAt+usedAfter)
				worth, late, joined := joiningPhase(r, joinsAt+usedAfter, endsAt)
				t.Logf("seed %d: late or failed %.3f before, %.3f in the first 2 s, %.3f after; joined %.2f and %.2f; worth after %.3f",
					seed+1, lateBefore, lateAtFirst, late, joinedAtFirst, joined, worth)
				if !tc.canMove {
					continue
				}
				require.Less(t, lateAtFirst, lateBefore, "seed %d", seed+1)
				require.GreaterOrEqual(t, joined, minJoined, "seed %d", seed+1)
				require.GreaterOrEqual(t, worth, quietTarget, "seed %d", seed+1)
			}
		})
	}
}

// TestParseRefusesJoining reads scenarios whose upstreams can't join.
func TestParseRefusesJoining(t *testing.T) {
	for _, joining := range []string{`{"Share": 1, "At": "1s"}`, `{"Share": 0.5}`, `{"Share": -1, "At": "1s"}`} {
		_, err := jmflows.Parse([]byte(`{"Name": "x", "Balancers": 1, "Upstreams": 2, "Slots": 1, "Lasts": "1s", "Joining": ` + joining + `,
			"Classes": [{"Name": "c", "PerSecond": 1, "Work": "1ms", "Target": "1s", "Deadline": "1s"}]}`))
		require.ErrorContains(t, err, "Joining")
	}
}
