package jmdirectory

import (
	"net/netip"
	"time"
)

// Bounds of the delay after which a process announces its first copy. It is drawn at
// random, so that few processes do if many get their copies at once. The first peer that
// is asked for the history of the routes answers before.
const (
	minAnnounceDelay = 100 * time.Millisecond
	maxAnnounceDelay = time.Second
)

// announcement is when a process announces its first copy, zero if it does not. While a
// fleet starts and the platform serves few processes, the first copies may all be with
// processes that are neither the reader nor a seed, from which no others would get them.
type announcement struct{ dueAt time.Time }

// planAnnouncement plans the announcement of a first copy from the platform.
func (m *Machine) planAnnouncement(now time.Time) {
	delay := minAnnounceDelay + time.Duration(m.Rand.Int64N(int64(maxAnnounceDelay-minAnnounceDelay)))
	m.announcement.dueAt = now.Add(delay)
}

// cancel records that another process has a copy as well.
func (a *announcement) cancel() { a.dueAt = time.Time{} }

// tickAnnouncement sends the announcement that is due to agents and to the seeds.
func (m *Machine) tickAnnouncement(out *Output, now time.Time) {
	if m.announcement.dueAt.IsZero() || now.Before(m.announcement.dueAt) {
		return
	}
	m.announcement.cancel()
	b := m.newBeacon(now, nil, m.replica.revision)
	b.Age = now.Sub(m.replica.asOf)
	m.forward(out, now, b, netip.Addr{})
	for _, seed := range m.Seeds {
		if seed != m.Self {
			out.Sends = append(out.Sends, Send{To: seed, Message: &Message{Beacon: b}})
		}
	}
}
