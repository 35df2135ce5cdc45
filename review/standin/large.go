package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// oldAddress is the address of the route that the second configuration drops.
var oldAddress = netip.MustParseAddrPort("127.198.0.3:8443")

// runLargeEntries puts entries that can't be read into the store, each as large as the
// store takes, and then a configuration that drops a route. No flow of that route may be
// run that is opened later than configTime after the store has taken the configuration.
func runLargeEntries(l *lab, hasTrouble bool) error {
	const (
		entries    = 8
		valueSize  = 1 << 20 // value_bytes
		calm       = 3 * time.Second
		configTime = 3 * time.Second // config_ms
		pause      = time.Second     // from the entries to the configuration
		length     = 15 * time.Second
		interval   = 50 * time.Millisecond // between two requests
	)
	if err := startDeployment(l, shopCount); err != nil {
		return err
	}
	l.publish(2, map[netip.AddrPort]string{shop: shopName, desk: deskName, oldAddress: shopName})
	time.Sleep(settleTime)
	var before, late, other tally
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var confirmedAt time.Time
	var mu sync.Mutex
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			sent := time.Now()
			mu.Lock()
			confirmed := confirmedAt
			mu.Unlock()
			wg.Go(func() {
				isAnswered := book(l, oldAddress, fmt.Sprintf("old-%d", n)) == nil
				switch {
				case confirmed.IsZero():
					before.add(isAnswered)
				case sent.Sub(confirmed) > configTime:
					late.add(isAnswered)
				}
			})
			wg.Go(func() { other.add(book(l, shop, fmt.Sprintf("shop-%d", n)) == nil) })
		}
	})
	time.Sleep(calm)
	if hasTrouble {
		l.record.add("another writer puts %d entries of %d bytes that can't be read", entries, valueSize)
		value := strings.Repeat("\xff", valueSize)
		for i := range entries {
			l.store.Put(fmt.Sprintf("servers/blob-%d", i), value)
		}
	}
	time.Sleep(pause)
	l.publish(3, map[netip.AddrPort]string{shop: shopName, desk: deskName})
	mu.Lock()
	confirmedAt = time.Now()
	mu.Unlock()
	l.record.add("configuration 3, without the route, confirmed")
	time.Sleep(length)
	close(stop)
	wg.Wait()
	l.record.add("on the route before its removal: %s; on another route: %s", &before, &other)
	l.record.add("on the route, sent later than %s after the confirmation: %s", configTime, &late)
	switch {
	case 4*before.answered < before.sent:
		return fmt.Errorf("the route did not work before: %s", &before)
	case late.answered > 0:
		return fmt.Errorf("%w: later than %s after the removal of a route was confirmed, of its requests %s", errBroken, configTime, &late)
	}
	return nil
}
