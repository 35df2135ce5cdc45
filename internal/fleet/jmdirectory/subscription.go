package jmdirectory

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// subscription is a peer's request to be sent beacons.
type subscription struct {
	renewed time.Time
	served  time.Time // when the peer was last sent a beacon
}

// renewSubscription records that a peer asks for beacons for subscriptionTime.
func (m *Machine) renewSubscription(now time.Time, peer netip.Addr) {
	if m.subscribers == nil {
		m.subscribers = make(map[netip.Addr]*subscription)
	}
	if m.subscribers[peer] == nil {
		m.subscribers[peer] = &subscription{}
	}
	m.subscribers[peer].renewed = now
}

// subscribersToServe returns the subscribers to send a beacon to, at most maxServed. It
// takes those first that have waited for longest, and drops subscriptions that have ended.
func (m *Machine) subscribersToServe(now time.Time) []netip.Addr {
	maps.DeleteFunc(m.subscribers, func(_ netip.Addr, s *subscription) bool {
		return now.Sub(s.renewed) > subscriptionTime
	})
	peers := slices.SortedFunc(maps.Keys(m.subscribers), netip.Addr.Compare)
	if len(peers) > maxServed {
		slices.SortStableFunc(peers, func(x, y netip.Addr) int {
			return m.subscribers[x].served.Compare(m.subscribers[y].served)
		})
		peers = peers[:maxServed]
	}
	for _, peer := range peers {
		m.subscribers[peer].served = now
	}
	return peers
}

// maxOffers bounds the subscribers without a copy that are told of this one within a second.
// Each of them then pulls it.
const maxOffers = 20

// offerCopy tells a subscriber without a copy that there is one here, which it sees by the
// header of the datagram. Beacons come only while a reader reaches the platform.
func (m *Machine) offerCopy(out *Output, now time.Time, peer netip.Addr) {
	if now.Sub(m.offersSince) >= time.Second {
		m.offersSince, m.offers = now, 0
	}
	if m.isLoaded && m.offers < maxOffers {
		m.offers++
		out.Sends = append(out.Sends, Send{To: peer, Message: &Message{}})
	}
}
