package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// Addresses of the routes. They are only in the headers of packets: nothing is sent there.
var (
	shop = netip.MustParseAddrPort("127.198.0.1:8443")
	desk = netip.MustParseAddrPort("127.198.0.2:8443")
)

const (
	shopName      = "shop"
	deskName      = "desk"
	balancerCount = 3
	shopCount     = 4                // upstreams of the service "shop" in most cases
	deadline      = 4 * time.Second  // of a request
	settleTime    = 10 * time.Second // from the start of the machines to that of the traffic
)

// startDeployment starts three balancers, n upstreams of one service, from 1 on, and then one
// of another.
func startDeployment(l *lab, n int) error {
	l.publish(1, map[netip.AddrPort]string{shop: shopName, desk: deskName})
	for i := 1; i <= n; i++ {
		if err := l.addUpstream(i, shopName); err != nil {
			return err
		}
	}
	if err := l.addUpstream(n+1, deskName); err != nil {
		return err
	}
	for i := 1; i <= balancerCount; i++ {
		if err := l.addBalancer(i); err != nil {
			return err
		}
	}
	l.route(balancerCount)
	if err := l.startCaller(); err != nil {
		return err
	}
	return l.awaitSettled(balancerCount)
}

// Times of runForeignAddress. recovery is the bound of the rule, recovery_s.
const (
	serviceTime  = 10 * time.Second // before the final fault
	downTime     = time.Second
	recovery     = 12 * time.Second
	judgedTime   = 15 * time.Second
	bookInterval = 5 * time.Millisecond // between two requests: half of the slots are busy
)

// runForeignAddress kills all processes, as a final fault. While they are down, an entry of
// another writer is put into the store, which lacks most fields and has an IPv6 address.
// Of the requests sent later than recovery after the processes are back, a quarter must be
// answered.
func runForeignAddress(l *lab, hasTrouble bool) error {
	if err := startDeployment(l, shopCount); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var before, after tally
	var wg sync.WaitGroup
	began := time.Now()
	faultAt := began.Add(serviceTime)
	judgedFrom := faultAt.Add(downTime + recovery)
	isKilled := false
	for n := 0; time.Now().Before(judgedFrom.Add(judgedTime)); n++ {
		now := time.Now()
		if !isKilled && !now.Before(faultAt) {
			isKilled = true
			l.killAll(downTime)
			if hasTrouble {
				l.record.add("another writer puts servers/other-1")
				l.store.Put("servers/other-1", map[string]any{"service": shopName, "address": "[::1]:8080", "state": stateReady})
			}
		}
		wg.Go(func() {
			isAnswered := book(l, shop, fmt.Sprintf("order-%d", n)) == nil
			switch {
			case now.Before(faultAt):
				before.add(isAnswered)
			case now.After(judgedFrom):
				after.add(isAnswered)
			}
		})
		time.Sleep(bookInterval)
	}
	wg.Wait()
	l.record.add("sent before the fault: %s", &before)
	l.record.add("sent later than %s after the processes were back: %s", recovery, &after)
	for name, ends := range l.ownEnds() {
		l.record.add("%s ended by itself %d times", name, ends)
	}
	switch {
	case 4*before.answered < before.sent:
		return fmt.Errorf("before the fault less than a quarter was answered: %s", &before)
	case 4*after.answered < after.sent:
		return fmt.Errorf("%w: of the requests sent later than %s after the processes were back %s", errBroken, recovery, &after)
	}
	return nil
}

// tally counts requests.
type tally struct {
	mu             sync.Mutex
	sent, answered int
}

func (t *tally) add(isAnswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if isAnswered {
		t.answered++
	}
}

func (t *tally) String() string { return fmt.Sprintf("%d of %d were answered", t.answered, t.sent) }

// book sends a request on a flow of its own.
func book(l *lab, service netip.AddrPort, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	l.record.add("send %s", id)
	f, err := l.caller.Open(ctx, service)
	if err == nil {
		defer f.Close()
		var answer string
		answer, err = f.Do(ctx, id)
		if err == nil {
			l.record.add("answer %s", answer)
			return nil
		}
	}
	l.record.add("fail %s: %v", id, err)
	return err
}

// feed is a long flow.
type feed struct {
	number int
	flow   *jmpackets.Flow
}

// feeds are long flows, which send a request each round.
type feeds struct {
	lab          *lab
	mu           sync.Mutex
	open         []*feed // nil for each that has ended
	resets, late int
}

// openFeeds opens n long flows.
func openFeeds(l *lab, n int) (f *feeds, err error) {
	f = &feeds{lab: l}
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		flow, err := l.caller.Open(ctx, shop)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("open feed %d: %w", i, err)
		}
		f.open = append(f.open, &feed{number: i, flow: flow})
	}
	return f, nil
}

// ask sends a request on each feed at once, and waits for the answers.
func (f *feeds) ask(round int) {
	var wg sync.WaitGroup
	for i, each := range f.open {
		if each == nil {
			continue
		}
		wg.Go(func() {
			err := each.ask(f.lab, round)
			if err == nil {
				return
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.open[i] = nil
			if errors.Is(err, jmpackets.ErrReset) {
				f.resets++
			} else {
				f.late++
			}
		})
	}
	wg.Wait()
}

// runForeignService puts an entry of another writer into the store, of a service that the
// configuration does not name, at the address of an upstream. Then one balancer is stopped
// and started again, as planned work.
func runForeignService(l *lab, hasTrouble bool) error {
	const (
		feedCount = 60
		interval  = time.Second // between two requests of a feed
		rounds    = 20
		putRound  = 4
		stopRound = 8
		warmUp    = 66 * time.Second
	)
	if err := startDeployment(l, shopCount); err != nil {
		return err
	}
	// The deployment has run for longer than flows may last, as it has on nearly all days.
	time.Sleep(warmUp)
	f, err := openFeeds(l, feedCount)
	if err != nil {
		return err
	}
	for round := range rounds {
		if hasTrouble && round == putRound {
			l.record.add("another writer puts servers/exporter-1 at the address of upstream 1")
			l.store.Put("servers/exporter-1", serverEntry{
				Service: "exporter", Address: address(kindAgent, 1, upstreamPort).String(), Zone: dataCentre, Version: "v9",
				MaxConcurrency: 1, State: stateReady, Sequence: 1, Born: time.Now().UnixMilli(),
			})
		}
		if round == stopRound {
			l.record.add("SIGTERM to balancer-2, planned work")
			l.terminate("balancer-2")
		}
		began := time.Now()
		f.ask(round)
		time.Sleep(interval - time.Since(began))
	}
	l.record.add("feeds reset: %d, given up for lack of an answer: %d, of %d; every upstream ran all the time", f.resets, f.late, feedCount)
	for name, ends := range l.ownEnds() {
		if ends > 0 {
			return fmt.Errorf("%s ended by itself", name)
		}
	}
	if f.resets > 0 {
		return fmt.Errorf("%w: %d of %d open flows were reset by the system although their upstream lived", errBroken, f.resets, feedCount)
	}
	return nil
}

// ask sends one request on a feed.
func (f *feed) ask(l *lab, round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("feed-%d-%d", f.number, round)
	l.record.add("send %s", id)
	answer, err := f.flow.Do(ctx, id)
	if err != nil {
		l.record.add("fail %s: %v", id, err)
		return err
	}
	l.record.add("answer %s", answer)
	return nil
}
