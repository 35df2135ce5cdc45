package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// spotRounds is how many notices there are, and spotInterval the time between two. Another
	// backend comes othersAfter the notice.
	spotRounds   = 22
	spotInterval = 4500 * time.Millisecond
	othersAfter  = 4 * time.Second
	// lastNotice is the time after the start of the run from which there is no notice.
	lastNotice = 105 * time.Second
	// exitAfter is how long after its report a backend begins to exit.
	exitAfter = 10 * time.Millisecond
	// minWork is the least work of a request; the most is longWork.
	minWork = 200 * time.Millisecond
	// maxPause is the longest pause between two requests of a client, and reopenDelay the pause
	// after a flow has ended.
	maxPause    = 60 * time.Millisecond
	reopenDelay = 500 * time.Millisecond
)

// spotOnly takes backends away with a notice of two seconds, one after the other, at random times
// of its clients' requests. Without hasTrouble none is taken away.
func spotOnly(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, 2, siteBackends)
	if err = startAll(ctx, f, stable); err != nil {
		return false, err
	}
	c := &caller{address: netip.AddrPortFrom(f.ip(kindClient, 1), portPackets), balancers: f.balancers, record: f.record}
	if err = c.start(); err != nil {
		return false, err
	}
	defer c.conn.Close()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	resets := atomic.Int64{}
	for _, m := range f.machines[2:] {
		go useBackend(serving, f, c, m, &resets)
	}
	// The first agent reads the store, and stays.
	backends := f.machines[3:]
	for i := range spotRounds {
		time.Sleep(spotInterval - rand.N(maxPause))
		if time.Since(f.record.started) > lastNotice {
			break
		}
		if hasTrouble {
			replaceAtNotice(ctx, f, backends[i%len(backends)])
		}
	}
	stop()
	f.restarts.Wait()
	f.record.line("%d open flows of backends that ran were reset", resets.Load())
	return resets.Load() > 0, nil
}

// replaceAtNotice gives a backend a notice. It returns once the backend begins to exit.
func replaceAtNotice(ctx context.Context, f *fleet, m *machine) {
	u := m.current()
	f.setState(m, stateDraining)
	noticed := time.Now()
	f.record.line("backend %s is draining, with a notice of %v; the store has confirmed that", u.name, notice)
	u.isLeaving.Store(true)
	time.Sleep(exitAfter)
	u.closePort()
	f.restarts.Go(func() {
		time.Sleep(time.Until(noticed.Add(notice)))
		u.end()
		f.setState(m, stateGone)
		f.record.line("backend %s has exited, its entry is removed", u.name)
		_ = m.process.Signal(syscall.SIGTERM)
		if err := m.process.Wait(graceTime); err != nil {
			f.record.line("%s: %v", m.name, err)
		}
		time.Sleep(time.Until(noticed.Add(othersAfter)))
		if err := f.replaceUpstream(ctx, m); err != nil {
			f.record.line("%s: %v", m.name, err)
		}
		f.record.line("backend %s comes", m.current().name)
	})
}

// useBackend sends requests on a flow at the backend of a machine, one after the other, and opens
// another flow after its end.
func useBackend(ctx context.Context, f *fleet, c *caller, m *machine, resets *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		u := m.current()
		if u.isLeaving.Load() {
			time.Sleep(reopenDelay)
			continue
		}
		flow, err := openAt(ctx, c, baseRoutes(f)[0].addr, m)
		if err != nil || u != m.current() {
			time.Sleep(reopenDelay)
			continue
		}
		for i := 0; ctx.Err() == nil && !u.isLeaving.Load(); i++ {
			id := fmt.Sprintf("%s-%d-%d", u.name, n, i)
			_, err := flow.do(ctx, id, minWork+rand.N(longWork-minWork), deadline)
			if errors.Is(err, errReset) && u.holds(flow) {
				f.record.line("client: request %s: RST, and backend %s runs and holds the flow", id, u.name)
				resets.Add(1)
			}
			if err != nil {
				break
			}
			time.Sleep(rand.N(maxPause))
		}
		flow.close()
		time.Sleep(reopenDelay)
	}
}
