// Package jmdemo runs a whole fleet on loopback under a little load, takes a
// balancer and an upstream away, and reports what callers noticed.
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
	network      = 200 // the demo's addresses are 127.200.x.y
	timeLimit    = 18 * time.Second
	feedCount    = 12
	bookerCount  = 4
	tickInterval = 50 * time.Millisecond
	phase        = 2 * time.Second
	requestLimit = 5 * time.Second
)

// Demo is one run. The exported fields are set before Run.
type Demo struct {
	Out io.Writer
	Log *logrus.Logger

	lab      *jmlab.Lab
	shop     *jmtree.Service
	bookings atomic.Uint64
	retried  atomic.Uint64
	failed   atomic.Uint64
	ticks    atomic.Uint64
	broken   atomic.Uint64
	mu       sync.Mutex
	served   map[string]int // feeds by the agent that serves them
}

// Run runs the demo and returns an error if anything broke.
func (d *Demo) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	layout, err := jmlab.New(network, []string{"lahore", "karachi"}, 3,
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
	d.say("fleet: 2 data centres, 3 balancers, %d services, 5 agents, every packet sprayed at random", len(layout.Services))
	if err = d.playAll(ctx); err != nil {
		return err
	}
	return d.report()
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// playAll runs the load and, under it, the changes.
func (d *Demo) playAll(ctx context.Context) (err error) {
	load, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	opened := make(chan error, feedCount)
	for range feedCount {
		wg.Go(func() { d.watchFeed(load, opened) })
	}
	for range feedCount {
		if err = <-opened; err != nil {
			return err
		}
	}
	d.say("feeds: %d open, %s", feedCount, d.spreadText())
	for i := range bookerCount {
		wg.Go(func() { d.book(load, i) })
	}
	pause(ctx, phase)
	d.say("change: balancer b1 is killed")
	d.lab.Balancers["b1"].Kill()
	pause(ctx, phase/2)
	d.lab.SetFabrics(jmfabric.Settings{}, "b1")
	d.say("change: the fabric no longer uses b1")
	pause(ctx, phase)
	d.say("change: balancer b2 leaves gracefully")
	d.lab.Balancers["b2"].Leave()
	d.lab.SetFabrics(jmfabric.Settings{}, "b1", "b2")
	select {
	case <-d.lab.Balancers["b2"].Drained():
	case <-ctx.Done():
		return eris.New("balancer b2 did not drain")
	}
	d.lab.Balancers["b2"].Kill()
	leaving := d.shop.Upstreams[2].Name
	d.say("change: upstream %s leaves gracefully; its feeds stay, new work goes elsewhere", leaving)
	d.lab.Agents[leaving].Leave()
	pause(ctx, phase)
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchFeed opens a feed and counts its ticks until ctx ends. A tick that is
// missing or doubled, and a feed that ends, is a broken flow.
func (d *Demo) watchFeed(ctx context.Context, opened chan<- error) {
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
		d.broken.Add(1)
	}
}

func (d *Demo) countFeed(agent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.served == nil {
		d.served = make(map[string]int)
	}
	d.served[agent]++
}

func (d *Demo) spreadText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make([]string, 0, len(d.shop.Upstreams))
	for _, u := range d.shop.Upstreams {
		parts = append(parts, fmt.Sprintf("%d at %s (weight %d)", d.served[u.Agent.String()], u.Name, u.Weight))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// book sends bookings until ctx ends.
func (d *Demo) book(ctx context.Context, number int) {
	caller := d.lab.NewCaller(d.shop)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		// A booking that was begun is finished after the load ends.
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestLimit)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 5ms")})
		cancel()
		if err != nil || !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" ") {
			d.failed.Add(1)
			d.Log.WithError(err).Error("demo: booking failed")
			continue
		}
		d.bookings.Add(1)
		if answer.Attempts > 1 {
			d.retried.Add(1)
		}
	}
}

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
	d.say("feeds: %d open to the end, %d ticks, %d broken", feedCount-d.broken.Load(), d.ticks.Load(), d.broken.Load())
	d.say("bookings: %d answered, %d of them after a retry, %d failed; %d ran, %d more than once",
		d.bookings.Load(), d.retried.Load(), d.failed.Load(), runs, doubled)
	d.say("platform: %d calls", d.lab.Platform.Calls())
	if d.broken.Load() > 0 || d.failed.Load() > 0 || doubled > 0 {
		return eris.New("demo: something broke")
	}
	d.say("nothing broke")
	return nil
}
