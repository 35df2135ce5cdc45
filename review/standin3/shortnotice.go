package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// notice is how long before its end a backend that is reclaimed hears of it, and servesFor how
	// long it serves as before then.
	notice    = 2 * time.Second
	servesFor = 750 * time.Millisecond
	// noticeAfter is how long after the kill the notice comes.
	noticeAfter = 50 * time.Millisecond
	// darkTime is how long the machine of the killed process is down.
	darkTime = 3500 * time.Millisecond
	// longWork is the work of the last request, and shortWork that of others. The site's order
	// bookings take 52 ms in the mean and 310 ms at most.
	longWork  = 300 * time.Millisecond
	shortWork = 50 * time.Millisecond
	deadline  = 4 * time.Second
	reclaims  = 3
	// siteBackends is the number of backends, as on the site. Those that leave are not replaced in
	// this case, so each is one of ten, nine and eight.
	siteBackends = 10
)

// shortNotice takes backends away with a notice of two seconds. With hasTrouble, the agent that
// reads the store is killed just before. The last request of each backend runs as that begins to exit.
func shortNotice(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, 2, siteBackends)
	if err = startAll(ctx, f, stable); err != nil {
		return false, err
	}
	c := &caller{address: netip.AddrPortFrom(f.ip(kindClient, 1), portPackets), balancers: f.balancers, record: f.record}
	if err = c.start(); err != nil {
		return false, err
	}
	defer c.conn.Close()
	reader, last := f.machines[2], len(f.machines)-1
	for i := range reclaims {
		isReset, err := reclaim(ctx, f, c, reader, f.machines[last-i], hasTrouble)
		if err != nil {
			return isBroken, err
		}
		isBroken = isBroken || isReset
		f.restarts.Wait()
		time.Sleep(stable + time.Second)
	}
	return isBroken, nil
}

// reclaim takes a backend away, and reports whether a client's open flow was reset before its end.
func reclaim(ctx context.Context, f *fleet, c *caller, reader, m *machine, hasTrouble bool) (isReset bool, err error) {
	flow, err := openAt(ctx, c, baseRoutes(f)[0].addr, m)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if hasTrouble {
		f.killFor(reader, darkTime)
	}
	time.Sleep(noticeAfter)
	f.setState(m, stateDraining)
	noticed := time.Now()
	f.record.line("backend %s is draining, with a notice of %v; the store has confirmed that", m.upstream.name, notice)
	m.upstream.isLeaving.Store(true)
	time.Sleep(time.Until(noticed.Add(servesFor)))
	wg := sync.WaitGroup{}
	wg.Go(func() {
		id := "long-" + m.name
		f.record.line("client sends request %s on its open flow %s", id, flow.local)
		answer, err := flow.do(ctx, id, longWork, deadline)
		f.record.line("client: request %s: %q %v", id, answer, err)
		isReset = errors.Is(err, errReset) && time.Since(noticed) < notice
	})
	time.Sleep(50 * time.Millisecond)
	m.upstream.closePort()
	wg.Wait()
	time.Sleep(time.Until(noticed.Add(notice)))
	m.upstream.end()
	f.setState(m, stateGone)
	f.record.line("backend %s has exited, its entry is removed", m.upstream.name)
	return isReset, nil
}

// openAt opens flows until one is held by the backend of a machine, with a request that tells.
func openAt(ctx context.Context, c *caller, service netip.AddrPort, m *machine) (*callerFlow, error) {
	for i := range 200 {
		flow, err := c.open(ctx, service)
		if err != nil {
			return nil, err
		}
		answer, err := flow.do(ctx, fmt.Sprintf("short-%s-%d", m.name, i), shortWork, deadline)
		if err != nil {
			return nil, err
		}
		if isAnswerOf(answer, m.current().name) {
			return flow, nil
		}
		flow.close()
	}
	return nil, errors.New("no flow was placed at " + m.name)
}
