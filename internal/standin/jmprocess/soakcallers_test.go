package jmprocess_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// readyBalancers returns the addresses at which the routers reach the balancers that
// pass their readiness check. They are the addresses of the balancers' proxies.
func (s *soak) readyBalancers() (ready []netip.AddrPort) {
	client := http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	isReady := make([]bool, *soakBalancers)
	var wg sync.WaitGroup
	for i := range isReady {
		wg.Go(func() {
			response, err := client.Get("http://" + soakAddr(addrBalancer, i+1, soakReadyPort).String() + "/")
			if err != nil {
				return
			}
			_ = response.Body.Close()
			isReady[i] = response.StatusCode == http.StatusOK
		})
	}
	wg.Wait()
	for i, ok := range isReady {
		if ok {
			ready = append(ready, s.balancerPaths[i].Address)
		}
	}
	return ready
}

// pollReadiness polls the readiness of the balancers until ctx ends, as routers do,
// and has the caller send its packets to the ready ones.
func (s *soak) pollReadiness(ctx context.Context) {
	var mu sync.Mutex
	current := s.readyBalancers()
	for len(current) == 0 && ctx.Err() == nil {
		current = s.readyBalancers() // start has found all to be ready
	}
	s.caller.Balancers = func() []netip.AddrPort {
		mu.Lock()
		defer mu.Unlock()
		return current
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			next := s.readyBalancers()
			if len(next) == 0 {
				continue // routers keep the last set if no balancer is ready
			}
			mu.Lock()
			current = next
			mu.Unlock()
		}
	}()
}

// countResult counts a request as served or not.
func (s *soak) countResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.served++
	} else {
		s.unserved++
	}
}

// runFeed keeps a flow open with requests one after another, in place of a feed, and
// opens another one after it ends. A flow may be reset only after its upstream has
// crashed.
func (s *soak) runFeed(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := s.openFlow(ctx)
		if err != nil {
			s.countResult(err)
			time.Sleep(20 * time.Millisecond) // it may have been refused at once
			continue
		}
		s.sendUntilError(ctx, f, fmt.Sprintf("feed-%d-%d", number, n))
	}
}

// sendUntilError sends requests on a flow until ctx ends or a request fails. All
// answers must come from the same upstream.
func (s *soak) sendUntilError(ctx context.Context, f *jmpackets.Flow, id string) {
	defer f.Close()
	upstream, before := "", s.crashCounts()
	for n := 0; ctx.Err() == nil; n++ {
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), soakDeadline)
		isSettled := s.isSettled()
		answer, err := f.Do(request, fmt.Sprintf("%s-%d", id, n))
		cancel()
		s.countResult(err)
		switch {
		case errors.Is(err, jmpackets.ErrReset):
			if upstream != "" && s.crashCounts()[upstream] == before[upstream] {
				s.failf("%s at %s was reset although its upstream has not crashed", id, upstream)
			}
			return
		case errors.Is(err, jmpackets.ErrDeadline):
			if isSettled {
				s.failf("%s at %s: request %d got no answer though there were no faults", id, upstream, n)
			}
			return
		case err != nil:
			s.failf("%s: %v", id, err)
			return
		}
		at, _, _ := strings.Cut(answer, ":")
		if upstream != "" && at != upstream {
			s.failf("%s was answered by two upstreams, %s and %s", id, upstream, at)
		}
		upstream = at
		time.Sleep(30 * time.Millisecond)
	}
}

// openFlow opens a flow to the service. The attempt has a timeout of its
// own and goes on if ctx ends.
func (s *soak) openFlow(ctx context.Context) (*jmpackets.Flow, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 1400*time.Millisecond)
	defer cancel()
	return s.caller.Open(ctx, shopAddress)
}

// runBooker sends requests that must not run twice, each on a flow of its own.
func (s *soak) runBooker(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := s.openFlow(ctx)
		if err == nil {
			request, cancel := context.WithTimeout(context.WithoutCancel(ctx), soakDeadline)
			_, err = f.Do(request, fmt.Sprintf("order-%d-%d", number, n))
			cancel()
			f.Close()
		}
		s.countResult(err)
		time.Sleep(20 * time.Millisecond)
	}
}
