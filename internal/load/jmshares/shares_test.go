package jmshares_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmshares"
)

// demand is a competitor that always has requests waiting, or offers one at an interval.
type demand struct {
	jmshares.Competitor
	work  time.Duration
	every time.Duration // between two requests; 0 if some always wait
}

// serve divides the time of an upstream of one slot, and returns the work that each
// competitor received.
func serve(s *jmshares.Shares, demands []demand, length time.Duration) (received []time.Duration) {
	type waiting struct {
		demand int
		claim  jmshares.Claim
	}
	received = make([]time.Duration, len(demands))
	next := make([]time.Duration, len(demands))
	var queue []waiting
	for now := time.Duration(0); now < length; {
		for i, d := range demands {
			if d.every == 0 {
				next[i] = now // one is always there
			}
			hasOne := false
			for _, w := range queue {
				hasOne = hasOne || w.demand == i
			}
			for now >= next[i] && (d.every > 0 || !hasOne) {
				queue = append(queue, waiting{i, s.Join(d.Competitor)})
				next[i] += max(d.every, 1)
				hasOne = true
			}
		}
		if len(queue) == 0 {
			now += time.Millisecond
			continue
		}
		first := 0
		for i := range queue {
			if queue[i].claim.Compare(&queue[first].claim) < 0 {
				first = i
			}
		}
		chosen := queue[first]
		queue = append(queue[:first], queue[first+1:]...)
		work := demands[chosen.demand].work
		s.Serve(chosen.claim, work)
		received[chosen.demand] += work
		now += work
	}
	return received
}

var (
	forecasts    = netip.MustParseAddrPort("198.18.0.1:8443")
	observations = netip.MustParseAddrPort("198.18.0.1:8080")
	callerOne    = netip.MustParseAddr("100.64.0.1")
	callerTwo    = netip.MustParseAddr("100.64.1.1")
	callerThree  = netip.MustParseAddr("100.64.2.1")
)

func competitor(route netip.AddrPort, caller netip.Addr) jmshares.Competitor {
	return jmshares.Competitor{Priority: 2, Route: route, Caller: caller}
}

// TestShares divides 10 s of an upstream's work, in patterns of load that last.
func TestShares(t *testing.T) {
	const length = 10 * time.Second
	accounts := []jasminemoor.ClientAccount{
		{Name: "gold", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, Weight: 3},
		{Name: "silver", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.1.0/24")}},
	}
	cases := map[string]struct {
		accounts []jasminemoor.ClientAccount
		demands  []demand
		shares   []float64 // of the work
	}{
		"two routes ask for all": {
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 15 * time.Millisecond},
				{Competitor: competitor(observations, callerOne), work: 20 * time.Millisecond},
			},
			shares: []float64{0.5, 0.5},
		},
		"by work, not by count": {
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 5 * time.Millisecond},
				{Competitor: competitor(observations, callerOne), work: 50 * time.Millisecond},
			},
			shares: []float64{0.5, 0.5},
		},
		"an unused share is lent": {
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 10 * time.Millisecond},
				{Competitor: competitor(observations, callerOne), work: 10 * time.Millisecond, every: 50 * time.Millisecond},
			},
			shares: []float64{0.8, 0.2},
		},
		"one caller of a route asks for all": {
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 10 * time.Millisecond},
				{Competitor: competitor(forecasts, callerTwo), work: 10 * time.Millisecond, every: 40 * time.Millisecond},
				{Competitor: competitor(forecasts, callerThree), work: 10 * time.Millisecond, every: 40 * time.Millisecond},
			},
			shares: []float64{0.5, 0.25, 0.25},
		},
		"many callers of one route don't cost another route": {
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 10 * time.Millisecond},
				{Competitor: competitor(forecasts, callerTwo), work: 10 * time.Millisecond},
				{Competitor: competitor(observations, callerThree), work: 10 * time.Millisecond},
			},
			shares: []float64{0.25, 0.25, 0.5},
		},
		"weights of accounts": {
			accounts: accounts,
			demands: []demand{
				{Competitor: competitor(forecasts, callerOne), work: 10 * time.Millisecond},
				{Competitor: competitor(forecasts, callerTwo), work: 10 * time.Millisecond},
			},
			shares: []float64{0.75, 0.25},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s jmshares.Shares
			s.SetAccounts(tc.accounts)
			for i, got := range serve(&s, tc.demands, length) {
				require.InDelta(t, tc.shares[i], got.Seconds()/length.Seconds(), 0.02, "competitor %d", i)
			}
		})
	}
}

// TestNobodyStarves has competitors with random demands and checks that none that asks for
// less than its share gets less than it asks for.
func TestNobodyStarves(t *testing.T) {
	const length = 20 * time.Second
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		greedy := demand{Competitor: competitor(forecasts, callerOne), work: time.Duration(1+r.IntN(30)) * time.Millisecond}
		demands := []demand{greedy}
		for i := range 2 + r.IntN(4) {
			d := demand{work: time.Duration(1+r.IntN(30)) * time.Millisecond}
			d.Competitor = competitor(netip.AddrPortFrom(forecasts.Addr(), uint16(9000+i)), callerOne)
			d.every = d.work * time.Duration(8+r.IntN(30))
			demands = append(demands, d)
		}
		for i, got := range serve(&jmshares.Shares{}, demands, length) {
			if d := demands[i]; d.every > 0 {
				wants := length.Seconds() * d.work.Seconds() / d.every.Seconds()
				require.InDelta(t, wants, got.Seconds(), 3*d.work.Seconds()+0.01*wants, "seed %d, competitor %d", seed, i)
			}
		}
	}
}

// TestIdleTimeIsNotSaved has a competitor ask for nothing while another one is served. It
// gets no more than its share afterwards.
func TestIdleTimeIsNotSaved(t *testing.T) {
	var s jmshares.Shares
	one, two := competitor(forecasts, callerOne), competitor(forecasts, callerTwo)
	keeps := s.Join(one) // keeps the competition going
	for range 100 {
		s.Serve(s.Join(one), 10*time.Millisecond)
	}
	first := s.Join(two)
	require.Negative(t, first.Compare(&keeps))
	s.Serve(first, 10*time.Millisecond)
	second := s.Join(two)
	s.Serve(keeps, 10*time.Millisecond)
	third := s.Join(one)
	require.LessOrEqual(t, second.Compare(&third), 0)
	s.Serve(second, 30*time.Millisecond)
	fourth := s.Join(two)
	require.Positive(t, fourth.Compare(&third))
}

// TestHasRoom refuses an account's requests beyond its limit until one of them has gone.
func TestHasRoom(t *testing.T) {
	var s jmshares.Shares
	require.True(t, s.HasRoom(callerOne))
	s.SetAccounts([]jasminemoor.ClientAccount{{Name: "gold", Networks: []netip.Prefix{netip.MustParsePrefix("100.64.0.0/24")}, MaxWaiting: 2}})
	first := s.Join(competitor(forecasts, callerOne))
	_ = s.Join(competitor(observations, callerOne))
	require.False(t, s.HasRoom(callerOne))
	require.True(t, s.HasRoom(callerTwo))
	s.Leave(first)
	require.True(t, s.HasRoom(callerOne))
}
