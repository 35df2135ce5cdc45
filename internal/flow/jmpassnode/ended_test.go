package jmpassnode_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// openAt opens flows to the shop until one is at the given upstream.
func (s *site) openAt(name string) (f *jmpackets.Flow) {
	s.t.Helper()
	for range 100 {
		f, err := s.open(shop)
		require.NoError(s.t, err)
		answer, err := s.do(f, "who")
		require.NoError(s.t, err)
		if strings.HasPrefix(answer, name+":") {
			return f
		}
		f.Close()
	}
	require.Fail(s.t, "no flow is at "+name)
	return nil
}

// awaitLeaving waits until all agents know that upstream 1 is leaving.
func (s *site) awaitLeaving() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, p := range s.agents {
			snapshot := p.control().Snapshot()
			if u := snapshot.Upstreams[addr(2, 1, upstreamPort)]; u == nil || u.IsReady() {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
}

// TestEndingUpstreamAnswersLastRequest has a leaving upstream close its port while its last request
// runs. The caller gets the answer, whatever happens to other processes meanwhile.
func TestEndingUpstreamAnswersLastRequest(t *testing.T) {
	cases := map[string]struct {
		work      time.Duration
		meanwhile func(s *site)
	}{
		"short":                            {300 * time.Millisecond, func(*site) {}},
		"long":                             {2500 * time.Millisecond, func(*site) {}},
		"store is lost":                    {2 * time.Second, func(s *site) { s.store.SetFault(netip.Addr{}, jmstore.FaultSilent) }},
		"upstream reads nothing meanwhile": {2500 * time.Millisecond, func(s *site) { s.upstreams[1].Pause(2 * time.Second) }},
		"agent is restarted":               {time.Second, func(s *site) { s.agents[1].stop(); s.startAgent(1, "shop", false) }},
		"agent is killed":                  {time.Second, func(s *site) { s.agents[1].kill(); s.startAgent(1, "shop", false) }},
		"agent is restarted twice": {2 * time.Second, func(s *site) {
			for range 2 {
				s.agents[1].stop()
				s.startAgent(1, "shop", false)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		"balancers are restarted": {2 * time.Second, func(s *site) {
			for i := 1; i <= 2; i++ {
				s.balancers[i].stop()
				s.startBalancer(i, false)
				time.Sleep(300 * time.Millisecond)
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			f := s.openAt("shop1")
			s.register(1, "shop", "draining")
			s.awaitLeaving()
			u := s.upstreams[1]
			u.SetServiceTime(tc.work)
			closed := time.AfterFunc(50*time.Millisecond, func() {
				u.ClosePort()
				tc.meanwhile(s)
			})
			defer closed.Stop()
			answer, err := s.do(f, "last")
			require.NoError(t, err)
			require.Equal(t, "shop1:last", answer)
			require.Equal(t, 1, u.Runs()["last"])
		})
	}
}

// TestCrashedUpstreamIsReset crashes an upstream with a request. Its caller can try elsewhere soon,
// whether or not the directory shows that the upstream did not end by itself.
func TestCrashedUpstreamIsReset(t *testing.T) {
	for name, prepare := range map[string]func(s *site){
		"listed": func(*site) {},
		"leaving": func(s *site) {
			s.register(1, "shop", "draining")
			s.awaitLeaving()
		},
		"store is lost": func(s *site) {
			s.store.SetFault(netip.Addr{}, jmstore.FaultSilent)
			time.Sleep(4 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			f := s.openAt("shop1")
			prepare(s)
			u := s.upstreams[1]
			u.SetServiceTime(time.Second)
			began := time.Now()
			time.AfterFunc(50*time.Millisecond, u.Crash)
			_, err := s.do(f, "lost")
			require.ErrorIs(t, err, jmpackets.ErrReset)
			took := time.Since(began)
			t.Logf("reset after %s", took)
			require.Less(t, took, 600*time.Millisecond)
		})
	}
}
