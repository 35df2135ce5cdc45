package jmdirectory

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// endingDelay is how long an agent's upstream must have been down before the agent
	// announces that. Until then the agent itself says of each flow that it is
	// not held. After a power failure most upstreams are back and listed by then.
	endingDelay = time.Second
	// endingInterval is how often a process sends endings that it knows to an agent at
	// random, which may have started later.
	endingInterval = 500 * time.Millisecond
	// endingRetention is the least time for which an ending is kept. It is kept for
	// longer while the upstream's entry is in views.
	endingRetention = 10 * time.Second
	// maxMessageEndings bounds the endings in a message, which must fit a datagram.
	maxMessageEndings = 12
	// maxEndings bounds the endings that are kept. A further one is dropped.
	maxEndings = 1024
)

// Ending says that an upstream's process has ended, and its flows with it. ID and Born
// are those of its entry, so that it never means the next upstream at the address.
type Ending struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address  netip.AddrPort
	ID       string
	Born     int64
	// Age is how long ago the upstream was found to have ended, when this was sent.
	Age time.Duration
}

// endedUpstream identifies one run of an upstream.
type endedUpstream struct {
	address netip.AddrPort
	id      string
	born    int64
}

// endings are the upstreams that are known to have ended.
type endings struct {
	at map[endedUpstream]time.Time // when each was found to have ended
	// count counts all that were added.
	count uint64
	// unsent are those that are to be forwarded with the next Tick.
	unsent   []endedUpstream
	lastSent time.Time
	// downSince is when the own upstream's process was first found to have ended, and downAt
	// when it last was. Both are zero before.
	downSince, downAt time.Time
}

// has reports whether an upstream is known to have ended.
func (e *endings) has(u *jasminemoor.ListedUpstream) bool {
	if len(e.at) == 0 {
		return false
	}
	_, found := e.at[endedUpstream{u.Address, u.ID, u.Born}]
	return found
}

// add adds an upstream that ended at a time and reports whether it was not known.
func (e *endings) add(u endedUpstream, at time.Time) (isNew bool) {
	if _, found := e.at[u]; found || len(e.at) >= maxEndings {
		return false
	}
	if e.at == nil {
		e.at = make(map[endedUpstream]time.Time)
	}
	e.at[u] = at
	e.count++
	e.unsent = append(e.unsent, u)
	return true
}

// list returns up to n of the endings, in no particular order.
func (e *endings) list(now time.Time, n int) (list []Ending) {
	for u, at := range e.at {
		if len(list) == n {
			break
		}
		list = append(list, Ending{Address: u.address, ID: u.id, Born: u.born, Age: now.Sub(at)})
	}
	return list
}

// RecordEnd records that no process runs at the own upstream's address at now, so those that
// started earlier have ended. The end of an upstream that has been down for endingDelay is
// announced.
func (m *Machine) RecordEnd(now time.Time) {
	e := &m.replica.endings
	if e.downAt.IsZero() || now.Sub(e.downAt) > endingDelay {
		e.downSince = now
	}
	e.downAt = now
}

// Leave announces at once that the own upstream has ended, if it has. Without that, its
// agent's silence would keep others from resetting lost flows.
func (m *Machine) Leave(now time.Time) (out Output) {
	m.addOwnEnding(&out, now)
	e := &m.replica.endings
	e.unsent = append(e.own(m.Upstream), e.unsent...) // again, also if it was announced before
	m.sendUnsent(&out, now)
	return out
}

// own returns the endings of the upstreams at an address.
func (e *endings) own(address netip.AddrPort) (own []endedUpstream) {
	for u := range e.at {
		if u.address == address {
			own = append(own, u)
		}
	}
	return own
}

// addOwnEnding adds the ending of the own upstream, if it was found down. That
// proves the end of the processes that had started before. One that may just have
// started is not named, as it may not have listened yet: agent and upstream have the same
// clock, but that may have been set. Nor is one that the copy does not list.
func (m *Machine) addOwnEnding(out *Output, now time.Time) {
	e := &m.replica.endings
	if e.downSince.IsZero() {
		return
	}
	latestBorn := e.downSince.Add(-clockTolerance).UnixMilli()
	for _, known := range m.replica.upstreams {
		u := known.upstream
		if u == nil {
			u = known.last
		}
		if u == nil || u.Address != m.Upstream || u.Born <= 0 || u.Born > latestBorn {
			continue
		}
		if e.add(endedUpstream{u.Address, u.ID, u.Born}, now) {
			out.HasNewView = m.isLoaded
		}
	}
}

// handleEndings adds the endings that a peer knows. New ones are forwarded once.
func (m *Machine) handleEndings(out *Output, now time.Time, list []Ending) {
	for i := range list {
		e := &list[i]
		isValid := e.Address.IsValid() && e.Born > 0 && e.Age >= 0
		if isValid && m.replica.endings.add(endedUpstream{e.Address, e.ID, e.Born}, now.Add(-e.Age)) {
			out.HasNewView = out.HasNewView || m.isLoaded
		}
	}
}

// tickEndings announces the own upstream's ending, forwards new endings in as few messages
// as they need, and sends some to an agent that may have started later.
func (m *Machine) tickEndings(out *Output, now time.Time) {
	e := &m.replica.endings
	if !e.downSince.IsZero() && e.downAt.Sub(e.downSince) >= endingDelay {
		m.addOwnEnding(out, now)
	}
	m.sendUnsent(out, now)
	if len(e.at) == 0 || now.Sub(e.lastSent) < endingInterval {
		return
	}
	e.lastSent = now
	m.replica.expireEndings(now)
	if list := e.list(now, maxMessageEndings); len(list) > 0 {
		for _, agent := range m.pickAgents(1) {
			out.Sends = append(out.Sends, Send{To: agent, Message: &Message{Endings: list}})
		}
	}
}

// sendUnsent sends up to maxMessageEndings of the endings that were not forwarded yet to
// Fanout agents and to the subscribers.
func (m *Machine) sendUnsent(out *Output, now time.Time) {
	e := &m.replica.endings
	count := min(len(e.unsent), maxMessageEndings)
	if count == 0 {
		return
	}
	message := &Message{}
	for _, u := range e.unsent[:count] {
		message.Endings = append(message.Endings, Ending{Address: u.address, ID: u.id, Born: u.born, Age: now.Sub(e.at[u])})
	}
	e.unsent = e.unsent[count:]
	for _, to := range slices.Concat(m.pickAgents(Fanout), m.subscribersToServe(now)) {
		out.Sends = append(out.Sends, Send{To: to, Message: message})
	}
}

// expireEndings drops the endings that are older than endingRetention, of upstreams that
// views no longer have.
func (r *replica) expireEndings(now time.Time) {
	inViews := make(map[endedUpstream]bool)
	for _, known := range r.upstreams {
		if u := known.view(now); u != nil {
			inViews[endedUpstream{u.Address, u.ID, u.Born}] = true
		}
	}
	for u, at := range r.endings.at {
		if now.Sub(at) > endingRetention && !inViews[u] {
			delete(r.endings.at, u)
		}
	}
}

// endingsMessage is the encoding of a message with endings. It has names, so that an
// earlier release reads it as a message without content.
type endingsMessage struct{ Endings []Ending }

// beaconMessage is the encoding of any other message.
type beaconMessage Message

// EncodeMsgpack encodes the message.
func (m *Message) EncodeMsgpack(e *msgpack.Encoder) error {
	if len(m.Endings) > 0 {
		return e.Encode(&endingsMessage{m.Endings})
	}
	return e.Encode((*beaconMessage)(m))
}

// DecodeMsgpack decodes a message.
func (m *Message) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) {
		named := endingsMessage{}
		err = d.Decode(&named)
		*m = Message{Endings: named.Endings}
		return err
	}
	return d.Decode((*beaconMessage)(m))
}
