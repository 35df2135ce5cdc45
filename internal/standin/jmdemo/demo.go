// Package jmdemo runs a fleet on loopback addresses under light load, removes two
// balancers and an upstream, and reports which feeds and bookings failed.
package jmdemo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

const (
	network        = 200 // the demo's addresses are 127.200.x.y
	demoTimeout    = 18 * time.Second
	feedCount      = 12
	bookerCount    = 4
	tickInterval   = 50 * time.Millisecond
	phaseDuration  = 2 * time.Second
	requestTimeout = 5 * time.Second
)

// Demo is one run of the demo. The exported fields are set before Run.
type Demo struct {
	Out io.Writer
	Log *logrus.Logger

	lab             *jmlab.Lab
	shop            *jmtree.Service
	bookings        atomic.Uint64 // answered
	retriedBookings atomic.Uint64 // answered after a retry
	failedBookings  atomic.Uint64
	ticks           atomic.Uint64
	brokenFeeds     atomic.Uint64
	mu              sync.Mutex
	feedsByAgent    map[string]int // number of feeds, by the agent's address
}

// Run runs the demo. It returns an error if a feed broke, or a booking failed or ran
// more than once.
func (d *Demo) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	layout, err := jmlab.NewLayout(network, []string{"lahore", "karachi"}, 3,
		jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 2, 4}},
		jmlab.ServiceSpec{Team: "rangla", Name: "catalogue", Weights: []uint32{1, 1}},
	)
	if err != nil {
		return err
	}
	d.lab = &jmlab.Lab{Layout: layout, Log: d.Log}
	d.shop = layout.Services[0]
	if err = d.lab.Start(); err != nil {
		return err
	}
	defer d.lab.Close()
	if err = d.lab.AwaitReady(ctx); err != nil {
		return err
	}
	d.printLine("fleet: 2 data centres, 3 balancers, %d services, 5 agents, each packet goes to a random balancer", len(layout.Services))
	if err = d.runChanges(ctx); err != nil {
		return err
	}
	return d.report()
}

// printLine prints a formatted line.
func (d *Demo) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// runChanges starts the load, changes the fleet step by step, and stops the load.
func (d *Demo) runChanges(ctx context.Context) (err error) {
	load, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	opened := make(chan error, feedCount)
	for range feedCount {
		wg.Go(func() { d.readFeed(load, opened) })
	}
	for range feedCount {
		if err = <-opened; err != nil {
			return err
		}
	}
	d.printLine("feeds: %d open, %s", feedCount, d.feedSpread())
	for i := range bookerCount {
		wg.Go(func() { d.runBooker(load, i) })
	}
	pause(ctx, phaseDuration)
	d.printLine("change: balancer b1 is killed")
	d.lab.Balancers["b1"].Kill()
	pause(ctx, phaseDuration/2)
	d.lab.SetFabrics(jmfabric.Settings{}, "b1")
	d.printLine("change: the fabric stops sending to b1")
	pause(ctx, phaseDuration)
	d.printLine("change: balancer b2 leaves gracefully")
	d.lab.Balancers["b2"].Leave()
	d.lab.SetFabrics(jmfabric.Settings{}, "b1", "b2")
	select {
	case <-d.lab.Balancers["b2"].Drained():
	case <-ctx.Done():
		return eris.New("balancer b2 did not drain")
	}
	d.lab.Balancers["b2"].Kill()
	leaving := d.shop.Upstreams[2].Name
	d.printLine("change: upstream %s leaves gracefully; its open feeds stay, new requests go to the others", leaving)
	d.lab.Agents[leaving].Leave()
	pause(ctx, phaseDuration)
	return ctx.Err()
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readFeed opens a feed, sends the result to opened, and counts the ticks until ctx
// ends. The feed is broken if it ends earlier, or a tick is missing or duplicated.
func (d *Demo) readFeed(ctx context.Context, opened chan<- error) {
	caller := d.lab.NewCaller(d.shop)
	defer caller.Close()
	feed, err := caller.OpenFeed(ctx)
	var ticks *jmupstream.Ticks
	if err == nil {
		ticks, err = jmupstream.OpenTicks(feed, tickInterval)
	}
	opened <- err
	if err != nil {
		return
	}
	d.countFeed(feed.RanAt.Agent.String())
	stop := context.AfterFunc(ctx, func() { _ = feed.Close() })
	defer stop()
	for ticks.Next() == nil {
		d.ticks.Add(1)
	}
	if ctx.Err() == nil {
		d.brokenFeeds.Add(1)
	}
}

// countFeed counts a feed at an agent.
func (d *Demo) countFeed(agent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.feedsByAgent == nil {
		d.feedsByAgent = make(map[string]int)
	}
	d.feedsByAgent[agent]++
}

// feedSpread returns the number of feeds at each upstream, with its weight, as text.
func (d *Demo) feedSpread() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make([]string, 0, len(d.shop.Upstreams))
	for _, u := range d.shop.Upstreams {
		parts = append(parts, fmt.Sprintf("%d at %s (weight %d)", d.feedsByAgent[u.Agent.String()], u.Name, u.Weight))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// runBooker sends bookings one after another until ctx ends.
func (d *Demo) runBooker(ctx context.Context, number int) {
	caller := d.lab.NewCaller(d.shop)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		// A booking in flight when ctx ends is still completed.
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 5ms")})
		cancel()
		if err != nil || !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" ") {
			d.failedBookings.Add(1)
			d.Log.WithError(err).Error("demo: booking failed")
			continue
		}
		d.bookings.Add(1)
		if answer.Attempts > 1 {
			d.retriedBookings.Add(1)
		}
	}
}

// report prints the results, and returns an error if anything failed.
func (d *Demo) report() error {
	runs, doubled := 0, 0
	for _, u := range d.lab.Upstreams {
		for _, count := range u.Runs() {
			runs++
			if count > 1 {
				doubled++
			}
		}
	}
	d.printLine("feeds: %d stayed open, %d ticks, %d broken", feedCount-d.brokenFeeds.Load(), d.ticks.Load(), d.brokenFeeds.Load())
	d.printLine("bookings: %d answered, %d of them after a retry, %d failed; %d ran, %d of these more than once",
		d.bookings.Load(), d.retriedBookings.Load(), d.failedBookings.Load(), runs, doubled)
	d.printLine("platform: %d calls", d.lab.Platform.Calls())
	if d.brokenFeeds.Load() > 0 || d.failedBookings.Load() > 0 || doubled > 0 {
		return eris.New("demo: a feed broke, or a booking failed or ran more than once")
	}
	d.printLine("no feed broke, and no booking failed or ran more than once")
	return nil
}
