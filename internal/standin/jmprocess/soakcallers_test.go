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

// rotation returns the balancers that are ready, as routers would use them.
func (s *soak) rotation() (ready []netip.AddrPort) {
	client := http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	isReady := make([]bool, *soakBalancers)
	var wg sync.WaitGroup
	for i := range isReady {
		wg.Go(func() {
			response, err := client.Get("http://" + soakAddr(soakBalancer, i+1, soakReady).String() + "/")
			if err != nil {
				return
			}
			_ = response.Body.Close()
			isReady[i] = response.StatusCode == http.StatusOK
		})
	}
	wg.Wait()
	for i, is := range isReady {
		if is {
			ready = append(ready, s.entries[i].Address)
		}
	}
	return ready
}

// routers asks for the rotation from time to time, and returns the newest.
func (s *soak) routers(ctx context.Context) {
	var mu sync.Mutex
	current := s.rotation()
	s.caller.Routers = func() []netip.AddrPort {
		mu.Lock()
		defer mu.Unlock()
		return current
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			next := s.rotation()
			if len(next) == 0 {
				continue // routers then use all that they had
			}
			mu.Lock()
			current = next
			mu.Unlock()
		}
	}()
}

func (s *soak) count(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.served++
	} else {
		s.unserved++
	}
}

// feed keeps a flow open and sends a request on it again and again. The flow
// may be reset only after its upstream has crashed.
func (s *soak) feed(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := s.open(ctx)
		if err != nil {
			s.count(err)
			continue
		}
		s.follow(ctx, f, fmt.Sprintf("feed-%d-%d", number, n))
	}
}

func (s *soak) follow(ctx context.Context, f *jmpackets.Flow, id string) {
	defer f.Close()
	upstream, before := "", s.crashesOf()
	for n := 0; ctx.Err() == nil; n++ {
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), soakDeadline)
		answer, err := f.Do(request, fmt.Sprintf("%s-%d", id, n))
		cancel()
		s.count(err)
		switch {
		case errors.Is(err, jmpackets.ErrReset):
			if upstream != "" && s.crashesOf()[upstream] == before[upstream] {
				s.fault("%s at %s was reset though its upstream lives", id, upstream)
			}
			return
		case errors.Is(err, jmpackets.ErrDeadline):
			return
		case err != nil:
			s.fault("%s: %v", id, err)
			return
		}
		at, _, _ := strings.Cut(answer, ":")
		if upstream != "" && at != upstream {
			s.fault("%s was answered by %s and %s", id, upstream, at)
		}
		upstream = at
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *soak) open(ctx context.Context) (*jmpackets.Flow, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 1400*time.Millisecond)
	defer cancel()
	return s.caller.Open(ctx, soakShop)
}

// book sends requests that must not run twice, on a flow each.
func (s *soak) book(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := s.open(ctx)
		if err == nil {
			request, cancel := context.WithTimeout(context.WithoutCancel(ctx), soakDeadline)
			_, err = f.Do(request, fmt.Sprintf("order-%d-%d", number, n))
			cancel()
			f.Close()
		}
		s.count(err)
		time.Sleep(20 * time.Millisecond)
	}
}
