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
	hasCopy bool
	told    time.Time // when it was last told of the copy here, while it had none
}

// renewSubscription records that a peer asks for beacons for subscriptionTime.
func (m *Machine) renewSubscription(now time.Time, peer netip.Addr, hasCopy bool) {
	if m.subscribers == nil {
		m.subscribers = make(map[netip.Addr]*subscription)
	}
	if m.subscribers[peer] == nil {
		m.subscribers[peer] = &subscription{}
	}
	m.subscribers[peer].renewed, m.subscribers[peer].hasCopy = now, hasCopy
}

// expireSubscriptions forgets former subscribers, those first whose subscription ended first.
func (m *Machine) expireSubscriptions(now time.Time) {
	former := slices.DeleteFunc(m.sortedSubscribers(), func(peer netip.Addr) bool {
		return now.Sub(m.subscribers[peer].renewed) <= subscriptionTime
	})
	slices.SortStableFunc(former, func(x, y netip.Addr) int {
		return m.subscribers[y].renewed.Compare(m.subscribers[x].renewed)
	})
	for i, peer := range former {
		if i >= maxFormerSubscribers || now.Sub(m.subscribers[peer].renewed) > formerSubscriberTime {
			delete(m.subscribers, peer)
		}
	}
}

func (m *Machine) sortedSubscribers() []netip.Addr {
	return slices.SortedFunc(maps.Keys(m.subscribers), netip.Addr.Compare)
}

// subscribersToServe returns the subscribers to send a beacon to, at most maxServed. It
// takes those first that have waited for longest.
func (m *Machine) subscribersToServe(now time.Time) []netip.Addr {
	peers := slices.DeleteFunc(m.sortedSubscribers(), func(peer netip.Addr) bool {
		return now.Sub(m.subscribers[peer].renewed) > subscriptionTime
	})
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

// shouldTell reports whether to tell a subscriber of the copy here now. One without a copy may
// be pulling it since it was told before.
func (m *Machine) shouldTell(now time.Time, peer netip.Addr) bool {
	s := m.subscribers[peer]
	if !s.hasCopy && now.Sub(s.told) <= pullTimeout {
		return false
	}
	s.told = now
	return true
}

// maxOffers bounds the subscribers without a copy that are told of this one within a second.
// Each of them then pulls it.
const maxOffers = 64

// offerCopy tells a subscriber without a copy that there is one here, which it sees by the
// header of the datagram. Beacons come only while a reader reaches the platform.
func (m *Machine) offerCopy(out *Output, now time.Time, peer netip.Addr) {
	if now.Sub(m.offersSince) >= time.Second {
		m.offersSince, m.offers = now, 0
	}
	if m.isLoaded && m.offers < maxOffers && m.shouldTell(now, peer) {
		m.offers++
		out.Sends = append(out.Sends, Send{To: peer, Message: &Message{}})
	}
}

const (
	// maxFormerSubscribers bounds the peers that are remembered after their subscriptions have
	// ended, and formerSubscriberTime for how long they are.
	maxFormerSubscribers = 512
	formerSubscriberTime = 10 * time.Minute
	// offerInterval is the interval between offers to peers that did not ask for one.
	offerInterval = time.Second
)

// tickOffers tells a former subscriber and an agent, drawn at random, that there is a copy here
// while the platform seems to be away. A process that was restarted has no other way to a copy
// if all its seeds are down: it knows no other peers.
func (m *Machine) tickOffers(out *Output, now time.Time) {
	if !m.isLoaded || now.Sub(m.replica.asOf) < askPeerAfter || now.Sub(m.lastOffer) < offerInterval {
		return
	}
	m.lastOffer = now
	silent := slices.DeleteFunc(m.sortedSubscribers(), func(peer netip.Addr) bool {
		return now.Sub(m.subscribers[peer].renewed) < subscribeInterval
	})
	for _, peers := range [][]netip.Addr{silent, m.agents} {
		if len(peers) > 0 {
			out.Sends = append(out.Sends, Send{To: peers[m.Rand.IntN(len(peers))], Message: &Message{}})
		}
	}
}
