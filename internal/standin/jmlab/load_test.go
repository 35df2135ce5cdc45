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

// load is feeds and bookings of one service that run beside a test's changes.
type load struct {
	t       *testing.T
	lab     *jmlab.Lab
	service *jmtree.Service
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	faults  []string
	booked  int
	ticks   int
	runAt   map[string]time.Time // last answer by agent
	feedsAt map[string]int       // feeds by agent
}

const (
	loadTick    = 20 * time.Millisecond
	bookTimeout = 10 * time.Second
)

// startLoad opens the feeds, and then begins to book.
func startLoad(t *testing.T, lab *jmlab.Lab, service *jmtree.Service, feeds, bookers int) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{t: t, lab: lab, service: service, stop: cancel, runAt: make(map[string]time.Time), feedsAt: make(map[string]int)}
	opened := make(chan error, feeds)
	for range feeds {
		l.wg.Go(func() { l.watch(ctx, opened) })
	}
	for range feeds {
		require.NoError(t, <-opened)
	}
	for i := range bookers {
		l.wg.Go(func() { l.book(ctx, i) })
	}
	t.Cleanup(func() { cancel(); l.wg.Wait() })
	return l
}

// finish ends the load, checks that callers noticed nothing, and that every
// booking ran just once.
func (l *load) finish() {
	l.t.Helper()
	l.stop()
	l.wg.Wait()
	require.Empty(l.t, l.faults)
	require.Positive(l.t, l.booked)
	total := 0
	for _, u := range l.lab.Upstreams {
		for id, count := range u.Runs() {
			require.Equal(l.t, 1, count, id)
			total++
		}
	}
	require.Equal(l.t, l.booked, total, "bookings that ran and that were answered")
	l.t.Logf("%d bookings, %d ticks, no fault", l.booked, l.ticks)
}

func (l *load) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *load) watch(ctx context.Context, opened chan<- error) {
	caller := l.lab.NewCaller(l.service)
	defer caller.Close()
	feed, err := caller.OpenFeed(ctx)
	var ticks *jmupstream.Ticks
	if err == nil {
		ticks, err = jmupstream.OpenTicks(feed, loadTick)
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
		l.fault("feed at %s: %v", feed.RanAt, err)
	}
}

func (l *load) book(ctx context.Context, number int) {
	caller := l.lab.NewCaller(l.service)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), bookTimeout)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 10ms")})
		cancel()
		if err != nil {
			l.fault("%s: %v", id, err)
			continue
		}
		if !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" ") {
			l.fault("%s: answer %q", id, answer.Body)
		}
		l.mu.Lock()
		l.booked++
		l.runAt[answer.RanAt.Agent.String()] = time.Now()
		l.mu.Unlock()
	}
}

// lastRunAt returns when an agent last answered a booking.
func (l *load) lastRunAt(u jmtree.Upstream) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runAt[u.Agent.String()]
}

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
