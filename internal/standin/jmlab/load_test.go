package jmlab_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

// load runs feeds and bookings of one service while a test makes its changes.
type load struct {
	t       *testing.T
	lab     *jmlab.Lab
	service *jmtree.Service
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	failures   []string
	booked     int
	ticks      int
	lastAnswer map[string]time.Time // time of the last answer, by agent
	feedsAt    map[string]int       // number of feeds, by agent
}

const (
	loadTickInterval = 20 * time.Millisecond
	bookTimeout      = 10 * time.Second
)

// startLoad opens the feeds, waits until all are open, and then starts the bookers.
func startLoad(t *testing.T, lab *jmlab.Lab, service *jmtree.Service, feeds, bookers int) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{t: t, lab: lab, service: service, stop: cancel, lastAnswer: make(map[string]time.Time), feedsAt: make(map[string]int)}
	opened := make(chan error, feeds)
	for range feeds {
		l.wg.Go(func() { l.readFeed(ctx, opened) })
	}
	for range feeds {
		require.NoError(t, <-opened)
	}
	for i := range bookers {
		l.wg.Go(func() { l.runBooker(ctx, i) })
	}
	t.Cleanup(func() { cancel(); l.wg.Wait() })
	return l
}

// finish ends the load and checks that no feed broke, no booking failed, and every
// booking ran exactly once.
func (l *load) finish() {
	l.t.Helper()
	l.stop()
	l.wg.Wait()
	require.Empty(l.t, l.failures)
	require.Positive(l.t, l.booked)
	total := 0
	for _, u := range l.lab.Upstreams {
		for id, count := range u.Runs() {
			require.Equal(l.t, 1, count, id)
			total++
		}
	}
	require.Equal(l.t, l.booked, total, "as many bookings ran as were answered")
	l.t.Logf("%d bookings, %d ticks, no failure", l.booked, l.ticks)
}

// failf records a broken feed or a failed booking.
func (l *load) failf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// readFeed opens a feed, sends the result to opened, and reads the feed until ctx
// ends.
func (l *load) readFeed(ctx context.Context, opened chan<- error) {
	caller := l.lab.NewCaller(l.service)
	defer caller.Close()
	feed, err := caller.OpenFeed(ctx)
	var ticks *jmupstream.Ticks
	if err == nil {
		ticks, err = jmupstream.OpenTicks(feed, loadTickInterval)
	}
	opened <- err
	if err != nil {
		return
	}
	l.mu.Lock()
	l.feedsAt[feed.RanAt.Agent.String()]++
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = feed.Close() })
	defer stop()
	for {
		if err = ticks.Next(); err != nil {
			break
		}
		l.mu.Lock()
		l.ticks++
		l.mu.Unlock()
	}
	if ctx.Err() == nil {
		l.failf("feed at %s: %v", feed.RanAt, err)
	}
}

// runBooker sends bookings one after another until ctx ends.
func (l *load) runBooker(ctx context.Context, number int) {
	caller := l.lab.NewCaller(l.service)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), bookTimeout)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 10ms")})
		cancel()
		if err != nil {
			l.failf("%s: %v", id, err)
			continue
		}
		if !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" ") {
			l.failf("%s: answer %q", id, answer.Body)
		}
		l.mu.Lock()
		l.booked++
		l.lastAnswer[answer.RanAt.Agent.String()] = time.Now()
		l.mu.Unlock()
	}
}

// lastAnswerOf returns the time of the last booking that the upstream's agent
// answered.
func (l *load) lastAnswerOf(u jmtree.Upstream) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswer[u.Agent.String()]
}

// feedsOf returns the number of feeds at the upstream's agent.
func (l *load) feedsOf(u jmtree.Upstream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.feedsAt[u.Agent.String()]
}

// busiest returns the upstream with the most feeds.
func (l *load) busiest() (busiest jmtree.Upstream) {
	for _, u := range l.service.Upstreams {
		if busiest.Name == "" || l.feedsOf(u) > l.feedsOf(busiest) {
			busiest = u
		}
	}
	return busiest
}
