package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashedUpstream is the upstream that crashes in runCrash.
const crashedUpstream = 1

// crashWork is the time of a request's work in runCrash, within the tail of the users' load.
const crashWork = 80 * time.Millisecond

// crashRun is what the feeds of runCrash have seen.
type crashRun struct {
	lab                  *lab
	mu                   sync.Mutex
	resets, ownResets    int // of flows at upstreams that live, and at the one that crashed
	late, answered, sent int
}

// feed sends a request a second on a long flow until ctx ends.
func (r *crashRun) feed(ctx context.Context, f *strictFlow, number int) {
	const interval = time.Second
	for round := 0; ; round++ {
		next := time.After(interval)
		requestCtx, cancel := context.WithTimeout(ctx, deadline)
		id := fmt.Sprintf("feed-%d-%d", number, round)
		r.lab.record.add("send %s", id)
		answer, err := f.do(requestCtx, id)
		cancel()
		if ctx.Err() != nil {
			return
		}
		isReset := errors.Is(err, errReset)
		r.mu.Lock()
		r.sent++
		if err == nil {
			r.answered++
			f.holder, _, _ = strings.Cut(answer, ":")
		}
		r.mu.Unlock()
		if err == nil {
			r.lab.record.add("answer %s", answer)
			isReset = f.awaitReset(next)
		} else {
			r.lab.record.add("fail %s: %v, flow held by %s", id, err, f.holder)
		}
		if isReset {
			r.countReset(f, number)
			return
		}
		if err != nil {
			r.mu.Lock()
			r.late++
			r.mu.Unlock()
			return
		}
	}
}

func (r *crashRun) countReset(f *strictFlow, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lab.record.add("reset of feed %d, held by %s", number, f.holder)
	if f.holder == fmt.Sprint(shopName, crashedUpstream) {
		r.ownResets++
	} else {
		r.resets++
	}
}

// runCrash rolls all agents, one after the other, and some seconds later a balancer. While
// the balancer's flows move to the others, one upstream crashes. No open flow of another
// upstream may be reset.
func runCrash(l *lab, hasTrouble bool) error {
	const (
		upstreams = 7 // of which one that crashes is a share of 0.14
		feedCount = 240
		rollGap   = time.Second
		calm      = 6 * time.Second // longer than stable_window_ms, 4,000
		move      = 1300 * time.Millisecond
		after     = 8 * time.Second
	)
	if err := startDeployment(l, upstreams); err != nil {
		return err
	}
	for i := 1; i <= upstreams; i++ {
		l.upstreams[i].ServiceTime = crashWork
	}
	time.Sleep(settleTime)
	c, err := newStrictCaller(l, address(kindCaller, 2, packetPort))
	if err != nil {
		return err
	}
	defer c.conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r := &crashRun{lab: l}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for n := range feedCount {
		f, err := c.open(ctx, shop)
		if err != nil {
			return fmt.Errorf("open feed %d: %w", n, err)
		}
		wg.Go(func() { r.feed(ctx, f, n) })
		time.Sleep(time.Second / feedCount)
	}
	for i := 1; i <= len(l.upstreams); i++ {
		l.record.add("SIGTERM to agent-%d, planned work", i)
		l.terminate(fmt.Sprintf("agent-%d", i))
		time.Sleep(rollGap)
	}
	time.Sleep(calm)
	l.record.add("SIGTERM to balancer-2, planned work")
	l.terminate("balancer-2")
	time.Sleep(move)
	if hasTrouble {
		l.record.add("upstream %d crashes", crashedUpstream)
		l.upstreams[crashedUpstream].Crash()
	}
	time.Sleep(after)
	cancel()
	wg.Wait()
	l.record.add("requests sent: %d, answered: %d; feeds given up for lack of an answer: %d", r.sent, r.answered, r.late)
	l.record.add("resets of flows at the crashed upstream: %d, at others, which live: %d; resets ignored for their sequence number: %d", r.ownResets, r.resets, c.ignored)
	for name, ends := range l.ownEnds() {
		if ends > 0 {
			return fmt.Errorf("%s ended by itself", name)
		}
	}
	if r.resets > 0 {
		return fmt.Errorf("%w: %d open flows were reset by the system although their upstream lived", errBroken, r.resets)
	}
	return nil
}
