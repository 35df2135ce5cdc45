package jmreturn_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmreturn"
)

// A whole second, so that the periods of the schedule are those of the tests.
var start = time.Unix(1_700_000_000, 0)

func TestPlacesFollowTheDrain(t *testing.T) {
	const rate = 50 / 0.9 // of which nine tenths are given
	cases := map[string]struct {
		waiting int
		rate    float64
		want    []time.Duration
	}{
		"nothing is known":       {100, 0, []time.Duration{jmreturn.MinWait, jmreturn.MinWait}},
		"none wait":              {0, rate, []time.Duration{50 * time.Millisecond, 70 * time.Millisecond, 90 * time.Millisecond}},
		"after those that wait":  {9, rate, []time.Duration{200 * time.Millisecond, 220 * time.Millisecond}},
		"slots serve many":       {9, 1000 / 0.9, []time.Duration{50 * time.Millisecond, 51 * time.Millisecond}},
		"more than fit are told": {1000, rate, []time.Duration{3455 * time.Millisecond, 4410 * time.Millisecond, 2865 * time.Millisecond}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s jmreturn.Schedule
			for _, want := range tc.want {
				require.InDelta(t, want.Seconds(), s.Next(start, tc.waiting, tc.rate, 0).Seconds(), 1e-6)
			}
		})
	}
}

func TestPlacesExpire(t *testing.T) {
	var s jmreturn.Schedule
	for range 100 {
		s.Next(start, 0, 50, 0)
	}
	require.Greater(t, s.Next(start, 0, 50, 0), 2*time.Second)
	require.Equal(t, jmreturn.MinWait, s.Next(start.Add(3*time.Second), 0, 50, 0))
}

// TestImpatientTakeNoPlace has most callers give up before they could be served. They keep
// no place from the others.
func TestImpatientTakeNoPlace(t *testing.T) {
	const rate = 50 / 0.9
	var s jmreturn.Schedule
	told := 0
	for range 1000 {
		if s.Next(start, 0, rate, time.Second) < time.Second {
			told++
		}
	}
	require.Equal(t, 48, told)
	require.InDelta(t, 1.01, s.Next(start, 0, rate, 0).Seconds(), 1e-6)
}

func TestBaseLoadLeavesFewerPlaces(t *testing.T) {
	const rate = 50 / 0.9
	var s jmreturn.Schedule
	for at := time.Duration(0); at < 5*time.Second; at += 40 * time.Millisecond {
		s.Arrive(start.Add(at)) // 25 a second
	}
	now := start.Add(5 * time.Second)
	first := s.Next(now, 0, rate, 0)
	require.InDelta(t, 0.04, (s.Next(now, 0, rate, 0) - first).Seconds(), 1e-6, "half of the slots are free")

	for range 10_000 {
		s.Arrive(now) // a burst
	}
	now = now.Add(time.Second)
	first = s.Next(now, 0, rate, 0)
	require.InDelta(t, 0.04, (s.Next(now, 0, rate, 0) - first).Seconds(), 1e-6, "a burst is not the load that goes on")
}

// station is a queue with slots, a bounded number of requests that wait, and callers that
// come back when they are told to.
type station struct {
	arrivals times
	rand     *rand.Rand
	slots    []time.Time   // when each is free
	hold     time.Duration // mean time of a request in its slot
	room     int           // for requests that wait
	refusals []int         // of each caller
	// told returns when a refused caller comes back.
	told func(now time.Time, waiting int, rate float64) time.Duration
	// onArrival is called for each arrival.
	onArrival func(now time.Time)
}

type arrival struct {
	at     time.Time
	caller int
}

type times []arrival

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(arrival)) }
func (t *times) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (s *station) add(at time.Time) {
	heap.Push(&s.arrivals, arrival{at, len(s.refusals)})
	s.refusals = append(s.refusals, 0)
}

// run serves the arrivals, those that come back included.
func (s *station) run(until time.Time) {
	var begins []time.Time // of those that wait
	for len(s.arrivals) > 0 {
		a := heap.Pop(&s.arrivals).(arrival)
		if a.at.After(until) {
			return
		}
		s.onArrival(a.at)
		begins = slices.DeleteFunc(begins, func(b time.Time) bool { return !b.After(a.at) })
		if len(begins) >= s.room {
			s.refusals[a.caller]++
			wait := s.told(a.at, len(begins), float64(len(s.slots))/s.hold.Seconds())
			heap.Push(&s.arrivals, arrival{a.at.Add(wait), a.caller})
			continue
		}
		slot := 0
		for i := range s.slots {
			if s.slots[i].Before(s.slots[slot]) {
				slot = i
			}
		}
		begin := a.at
		if s.slots[slot].After(begin) {
			begin = s.slots[slot]
			begins = append(begins, begin)
		}
		s.slots[slot] = begin.Add(time.Duration(float64(s.hold) * (0.5 + s.rand.Float64())))
	}
}

// TestNoneIsRefusedTwice has many callers come at once at an upstream that serves 50 a
// second, beside a load that goes on. While all together can be served within MaxWait,
// those that were refused find room when they come back. Told the time in which the
// present queue drains, the same for all, most are refused again and again.
func TestNoneIsRefusedTwice(t *testing.T) {
	const (
		rate  = 50.0
		hold  = 100 * time.Millisecond
		slots = rate * float64(hold) / float64(time.Second)
		seeds = 20
	)
	cases := map[string]struct {
		burst    int
		load     float64 // share of the rate
		isRandom bool    // the load is a Poisson process, and otherwise even
	}{
		"no other load":    {burst: 100},
		"even load":        {burst: 100, load: 0.3},
		"even high load":   {burst: 60, load: 0.6},
		"random load":      {burst: 100, load: 0.3, isRandom: true},
		"random high load": {burst: 60, load: 0.6, isRandom: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			run := func(seed uint64, places *jmreturn.Schedule, told func(time.Time, int, float64) time.Duration) (refused, twice int) {
				s := &station{
					rand: rand.New(rand.NewPCG(seed, 1)), slots: make([]time.Time, int(slots)), hold: hold, room: 10,
					told: told, onArrival: places.Arrive,
				}
				for at := time.Duration(0); tc.load > 0 && at < 20*time.Second; {
					gap := 1 / (rate * tc.load)
					if tc.isRandom {
						gap *= s.rand.ExpFloat64()
					}
					at += time.Duration(gap * float64(time.Second))
					s.add(start.Add(at))
				}
				for range tc.burst {
					s.add(start.Add(6 * time.Second))
				}
				s.run(start.Add(time.Minute))
				for _, n := range s.refusals {
					refused += min(n, 1)
					twice += min(n/2, 1)
				}
				return refused, twice
			}
			refused, twice, refusedAtOnce, twiceAtOnce := 0, 0, 0, 0
			for seed := range uint64(seeds) {
				var places jmreturn.Schedule
				n, again := run(seed, &places, func(now time.Time, waiting int, rate float64) time.Duration {
					return places.Next(now, waiting, rate, 0)
				})
				refused, twice = refused+n, twice+again
				n, again = run(seed, &jmreturn.Schedule{}, func(_ time.Time, waiting int, rate float64) time.Duration {
					return max(jmreturn.MinWait, time.Duration(float64(waiting+1)/rate*float64(time.Second)))
				})
				refusedAtOnce, twiceAtOnce = refusedAtOnce+n, twiceAtOnce+again
			}
			t.Logf("refused %d, twice %d; with one time for all %d, twice %d", refused, twice, refusedAtOnce, twiceAtOnce)
			require.Greater(t, refused, seeds*tc.burst/2)
			require.Greater(t, twiceAtOnce, refusedAtOnce/2)
			if tc.isRandom {
				require.Less(t, twice, refused/50) // arrivals may come in clusters
				return
			}
			require.Zero(t, twice)
		})
	}
}

// TestReturnsAtTheRateOfTheSlots has callers be refused and checks that no more of them
// are told to come within any second than the slots serve.
func TestReturnsAtTheRateOfTheSlots(t *testing.T) {
	const rate = 200.0
	var s jmreturn.Schedule
	r := rand.New(rand.NewPCG(1, 1))
	var places []time.Time
	now := start
	for range 600 {
		now = now.Add(time.Duration(r.Int64N(int64(2 * time.Millisecond))))
		places = append(places, now.Add(s.Next(now, r.IntN(20), rate, 0)))
	}
	slices.SortFunc(places, time.Time.Compare)
	for i := int(rate) + 1; i < len(places); i++ {
		require.GreaterOrEqual(t, places[i].Sub(places[i-int(rate)-1]), time.Second)
	}
}
