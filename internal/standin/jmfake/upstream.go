package jmfake

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Upstream runs each whole request that it is given, and counts it.
type Upstream struct {
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// Slots, where set, makes more requests at a time take proportionally longer.
	Slots int

	mu      sync.Mutex
	runs    map[string]int
	running int
	Peak    int // the largest number of requests at a time
}

// Runs returns how often a request ran.
func (u *Upstream) Runs(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[body]
}

// Total returns how many requests ran.
func (u *Upstream) Total() (total int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, count := range u.runs {
		total += count
	}
	return total
}

// DialUpstream implements jasminemoor.UpstreamDialer.
func (u *Upstream) DialUpstream(context.Context, netip.AddrPort) (jasminemoor.ByteStream, error) {
	near, far := NewPipe()
	go u.serve(far)
	return near, nil
}

func (u *Upstream) serve(s *Stream) {
	body, err := io.ReadAll(s)
	if err != nil {
		return
	}
	time.Sleep(u.begin(string(body)))
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	_, _ = s.Write([]byte("ran " + string(body)))
	_ = s.CloseWrite()
}

func (u *Upstream) begin(body string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[body]++
	u.running++
	u.Peak = max(u.Peak, u.running)
	if u.Slots > 0 && u.running > u.Slots {
		return u.ServiceTime * time.Duration(u.running) / time.Duration(u.Slots)
	}
	return u.ServiceTime
}
