package jmoverload_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
)

const step = 100 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// TestUpdate gives a detector the number of waiting requests at each step, and checks when
// an overload begins and ends.
func TestUpdate(t *testing.T) {
	repeat := func(waiting, steps int) (all []int) {
		for range steps {
			all = append(all, waiting)
		}
		return all
	}
	join := func(parts ...[]int) (all []int) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	cases := map[string]struct {
		waiting []int
		began   []int // steps
		ended   []int
	}{
		"nobody waits":                 {waiting: repeat(0, 50)},
		"for a moment":                 {waiting: join(repeat(3, 9), repeat(0, 30))},
		"lasts":                        {waiting: join(repeat(3, 30), repeat(0, 30)), began: []int{10}, ended: []int{39}},
		"with short gaps":              {waiting: join(repeat(3, 6), repeat(0, 5), repeat(2, 20), repeat(0, 20)), began: []int{11}, ended: []int{40}},
		"twice":                        {waiting: join(repeat(3, 15), repeat(0, 15), repeat(3, 15), repeat(0, 15)), began: []int{10, 40}, ended: []int{24, 54}},
		"moments with long gaps apart": {waiting: join(repeat(3, 6), repeat(0, 12), repeat(3, 6), repeat(0, 12))},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var d jmoverload.Detector
			var began, ended []int
			for i, waiting := range tc.waiting {
				change, episode := d.Update(start.Add(time.Duration(i)*step), waiting)
				switch change {
				case jmoverload.Began:
					began = append(began, i)
				case jmoverload.Ended:
					ended = append(ended, i)
					require.Equal(t, 3, episode.MostWaiting)
				}
				require.Equal(t, change == jmoverload.Ended, episode != nil)
				require.Equal(t, len(began) > len(ended), d.IsOverload())
			}
			require.Equal(t, tc.began, began)
			require.Equal(t, tc.ended, ended)
		})
	}
}

// TestEpisode counts the outcomes of one overload apart from those before it.
func TestEpisode(t *testing.T) {
	forecasts := jmoverload.Party{Route: netip.MustParseAddrPort("198.18.0.1:8443"), Account: "gold"}
	var d jmoverload.Detector
	d.Record(forecasts, jmoverload.InTime)
	now := start
	update := func(waiting, steps int) (episode *jmoverload.Episode) {
		for range steps {
			now = now.Add(step)
			if _, e := d.Update(now, waiting); e != nil {
				episode = e
			}
		}
		return episode
	}
	require.Nil(t, update(5, 20))
	d.Record(forecasts, jmoverload.Late)
	d.Record(jmoverload.Party{}, jmoverload.Refused)
	d.Record(forecasts, jmoverload.GivenUp)
	episode := update(0, 20)
	require.NotNil(t, episode)
	require.Equal(t, 1900*time.Millisecond, episode.Lasted)
	require.Equal(t, map[jmoverload.Party]jmoverload.Tally{
		forecasts: {jmoverload.Late: 1, jmoverload.GivenUp: 1},
		{}:        {jmoverload.Refused: 1},
	}, episode.Tallies)
	require.Equal(t, jmoverload.Tally{jmoverload.InTime: 1, jmoverload.Late: 1, jmoverload.GivenUp: 1}, d.Totals()[forecasts])
}

// TestPartiesAreBounded counts many parties. The last ones count together.
func TestPartiesAreBounded(t *testing.T) {
	var d jmoverload.Detector
	for i := range 5000 {
		d.Record(jmoverload.Party{Route: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(i))}, jmoverload.Late)
	}
	require.Len(t, d.Totals(), 1025)
	require.Equal(t, uint64(5000-1024), d.Totals()[jmoverload.Party{}][jmoverload.Late])
}
