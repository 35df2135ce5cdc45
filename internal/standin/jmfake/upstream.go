package jmfake

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Upstream runs each request that it has received whole, and counts the runs.
type Upstream struct {
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// Slots, if set, is how many requests at a time run at full speed. With more,
	// the service time of a new request grows in proportion to their number.
	Slots int

	mu      sync.Mutex
	runs    map[string]int // by body
	running int
	Peak    int // the highest number of requests in progress at once
}

// Runs returns how often the request with this body ran.
func (u *Upstream) Runs(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[body]
}

// Total returns the number of runs of all requests.
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

// serve reads a whole request, runs it and answers it.
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

// begin counts a run that begins and returns its service time.
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
