// Package jmpassnode runs the balancer and the agent of pass-through flows. It has
// the sockets, the goroutines, the logs and the copy of the directory; package
// jmpass makes the decisions.
package jmpassnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Names of the goroutines of a Control.
const (
	goroutineControl  = "control"
	goroutineCall     = "platform call"
	goroutinePull     = "pull"
	goroutineExchange = "exchange"
)

const (
	controlTickInterval = 100 * time.Millisecond
	eventQueueSize      = 256
	// exchangeTimeout bounds an exchange with a peer: a request and its reply over
	// TCP.
	exchangeTimeout = 350 * time.Millisecond
	// maxExchangeSize bounds a frame of an exchange, in bytes.
	maxExchangeSize = 16 << 20
	// maxControlSize bounds a control datagram, in bytes. A beacon with more
	// changes is sent without them, and the receiver pulls them.
	maxControlSize = 1400
)

// Control keeps the copy of the directory in one process up to date, from the
// platform and from peers. The exported fields are set before Run.
type Control struct {
	Self netip.Addr
	// Port is the UDP and TCP port on which processes reach each other.
	Port uint16
	// Upstream is the address of an agent's upstream; it is not set in a balancer.
	Upstream netip.AddrPort
	// Seeds are processes to ask for the directory while this one has no copy.
	Seeds     []netip.Addr
	Directory jasminemoor.Directory
	// Send sends a datagram to a peer.
	Send func(to netip.AddrPort, datagram []byte)
	// OnSnapshot is called with each snapshot, by one goroutine at a time.
	OnSnapshot func(s jmpass.Snapshot)
	Log        logrus.FieldLogger
	Guard      *jmguard.Guard

	Counters ControlCounters

	machine        jmdirectory.Machine
	snapshot       atomic.Pointer[jmpass.Snapshot]
	events         chan func(now time.Time)
	initOnce       sync.Once
	calls          jmguard.Group // calls to the platform, and pulls from peers
	viewRetryAt    time.Time     // until when no view is built, since building one panicked
	isViewDue      bool          // the copy has changed since the last view
	isPlatformDown bool          // the last call to the platform failed other than with ErrHistoryGone
	isReader       bool          // this process watches the platform for all others
	// behindSince is when a datagram first showed a newer copy than this one at a
	// peer, in nanoseconds since started; 0 if none has.
	behindSince atomic.Int64
	started     time.Time
}

// ControlCounters counts control traffic since the process started.
type ControlCounters struct {
	PlatformCalls  atomic.Uint64
	PlatformErrors atomic.Uint64
	BytesSent      atomic.Uint64 // bytes of control datagrams, without exchanges
	Dropped        atomic.Uint64 // datagrams that can't be decoded, and events that found the queue full
	Exchanges      atomic.Uint64 // pulls that this process has started
}

func (c *Control) init() {
	c.initOnce.Do(func() {
		c.events = make(chan func(time.Time), eventQueueSize)
		c.started = time.Now()
		c.calls.Guard = c.Guard
		c.machine.Self, c.machine.Upstream, c.machine.Seeds = c.Self, c.Upstream, c.Seeds
		c.machine.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	})
}

// Snapshot returns the newest snapshot, or nil before the directory is loaded.
func (c *Control) Snapshot() *jmpass.Snapshot { return c.snapshot.Load() }

// Run keeps the copy up to date until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.init()
	defer c.calls.Wait()
	ticker := time.NewTicker(controlTickInterval)
	defer ticker.Stop()
	detector := newSuspensionDetector()
	c.startRead(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.handle(func(now time.Time) {
				if d := detector.check(now); d > 0 {
					c.Log.WithField("Seconds", d.Seconds()).Warn("process: instance was suspended")
					c.machine.HandleSuspension(d)
					c.publish(now, false)
				}
				c.apply(ctx, now, c.machine.Tick(now))
			})
		case event := <-c.events:
			c.handle(event)
		}
		c.startRead(ctx, time.Now())
	}
}

// handle handles one event and reports whether it did so without a panic. After a panic the
// copy may have changes that no view shows yet.
func (c *Control) handle(event func(now time.Time)) (ok bool) {
	ok = c.Guard.Try(goroutineControl, func() { event(time.Now()) })
	if !ok {
		c.isViewDue = true
	}
	return ok
}

// enqueue queues an event for the goroutine of Run, or drops it if the queue is
// full.
func (c *Control) enqueue(event func(now time.Time)) {
	c.init()
	select {
	case c.events <- event:
	default:
		c.Counters.Dropped.Add(1)
	}
}

// catchUpDelay is how long a change may take to arrive in a beacon before it is
// pulled from a peer: some round trips between data centres.
const catchUpDelay = 60 * time.Millisecond

// CheckRevision compares the revision of a peer's copy, from a datagram's header,
// with that of this copy. If this copy stays behind for catchUpDelay, it pulls the
// changes from the peer. A process that has had no copy for as long since its start
// pulls that of the first peer that has one. It is cheap if the peer has no newer copy.
func (c *Control) CheckRevision(ctx context.Context, now time.Time, from netip.Addr, h *jmhop.Header) {
	s := c.snapshot.Load()
	since, seen := c.behindSince.Load(), int64(now.Sub(c.started))
	if s == nil {
		isDue := seen > int64(catchUpDelay) && (since == 0 || seen-since > int64(catchUpDelay))
		if h.Revision != 0 && isDue {
			c.behindSince.Store(seen)
			c.enqueue(func(now time.Time) { c.apply(ctx, now, c.machine.CatchUp(now, from)) })
		}
		return
	}
	if !h.IsAhead(jmhop.NewRevisionCode(s.Revision)) {
		return
	}
	switch {
	case since == 0 || seen-since > int64(behindExpiry):
		c.behindSince.Store(seen)
	case seen-since > int64(catchUpDelay):
		c.behindSince.Store(0)
		c.enqueue(func(now time.Time) { c.apply(ctx, now, c.machine.CatchUp(now, from)) })
	}
}

// behindExpiry is the age from which behindSince is stale, as the change has
// arrived since.
const behindExpiry = time.Second

// Receive handles the header and the body of a control datagram.
func (c *Control) Receive(ctx context.Context, from netip.Addr, h *jmhop.Header, body []byte) {
	message := &jmdirectory.Message{}
	if err := msgpack.Unmarshal(body, message); err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	message.HasCopy = h.Revision != 0
	c.enqueue(func(now time.Time) { c.apply(ctx, now, c.machine.Handle(now, from, message)) })
}

// apply carries out the output of the machine: it publishes a newer snapshot,
// sends the messages and starts the pulls.
func (c *Control) apply(ctx context.Context, now time.Time, out jmdirectory.Output) {
	if isReader := c.machine.IsReader(); isReader != c.isReader {
		c.isReader = isReader
		c.Log.WithFields(logrus.Fields{"IsReader": isReader, fieldAge: now.Sub(c.machine.AsOf()).Milliseconds()}).
			Info("directory: role as reader of the platform has changed")
	}
	s := c.snapshot.Load()
	isOutdated := s != nil && (s.Revision != c.machine.Revision() || c.machine.AsOf().After(s.AsOf))
	if out.HasNewView || isOutdated || s == nil && c.machine.IsLoaded() {
		c.publish(now, out.HasNewView)
	}
	for _, s := range out.Sends {
		c.send(s.To, s.Message)
	}
	for _, peer := range out.Pulls {
		c.calls.Go(goroutinePull, func() { c.Guard.Try(goroutinePull, func() { c.pull(ctx, peer) }) })
	}
}

// publish stores a new snapshot and passes it to OnSnapshot. The view is built anew
// only if it has changed. Changes of other entries advance just its revision.
func (c *Control) publish(now time.Time, hasNewView bool) {
	if !c.machine.IsLoaded() {
		return
	}
	c.isViewDue = c.isViewDue || hasNewView
	if now.Before(c.viewRetryAt) {
		return
	}
	c.viewRetryAt = now.Add(viewRetryInterval)
	old := c.snapshot.Load()
	next := &jmpass.Snapshot{AsOf: c.machine.AsOf()}
	revision := c.machine.Revision()
	switch {
	case old == nil || c.isViewDue || old.Revision.Era() != revision.Era():
		next.View = c.machine.View(now)
		if old == nil {
			c.logFirstView(now, next)
		}
		c.logView(old, next)
		c.logOwners(old, next)
		c.logEvacuations(old, next)
		c.logUnnamed(old, next)
	case old.Revision != revision:
		next.View = old.WithRevision(revision)
	default:
		next.View = old.View
	}
	c.snapshot.Store(next)
	c.OnSnapshot(*next)
	c.isViewDue, c.viewRetryAt = false, time.Time{}
}

// viewRetryInterval is the least time between two views that can't be built or used. In
// between, the last one grows old.
const viewRetryInterval = 2 * time.Second

// logFirstView logs what the first copy tells of the past of the upstreams, which decides
// how many agents a search asks.
func (c *Control) logFirstView(now time.Time, first *jmpass.Snapshot) {
	listedBefore, startKnown := 0, 0
	for _, u := range first.Upstreams {
		if !u.ListedSince.IsZero() && u.ListedSince.Before(now) {
			listedBefore++
		}
		if !u.StartedAfter.IsZero() {
			startKnown++
		}
	}
	c.Log.WithFields(logrus.Fields{
		"Upstreams": len(first.Upstreams), "ListedBefore": listedBefore, "StartKnown": startKnown,
		"AfterMs": now.Sub(c.started).Milliseconds(), fieldAge: now.Sub(first.AsOf).Milliseconds(),
	}).Info("directory: first copy")
}

// logOwners logs the addresses that now belong to an upstream of another service.
func (c *Control) logOwners(old, next *jmpass.Snapshot) {
	if old == nil {
		return
	}
	for addr, u := range next.Upstreams {
		if former := old.Upstreams[addr]; former != nil && former.Service != u.Service {
			c.Log.WithFields(logrus.Fields{
				"Address": addr, fieldService: u.Service, fieldUpstream: u.ID, "FormerService": former.Service, "FormerUpstream": former.ID,
			}).Info("directory: owner of an address has changed")
		}
	}
}

func (c *Control) logView(old, next *jmpass.Snapshot) {
	if old != nil && old.Version == next.Version {
		return
	}
	c.Log.WithFields(logrus.Fields{fieldVersion: next.Version, fieldEra: next.Revision.Era(), fieldRevision: next.Revision.Change(), "Routes": len(next.Routes)}).
		Info("directory: new version of the routes in force")
}

func (c *Control) send(to netip.Addr, message *jmdirectory.Message) {
	datagram := make([]byte, jmhop.HeaderSize, maxControlSize)
	header := jmhop.Header{Kind: jmhop.KindControl}
	if c.machine.IsLoaded() {
		header.Revision = jmhop.NewRevisionCode(c.machine.Revision())
	}
	header.Marshal(datagram)
	body, err := msgpack.Marshal(message)
	if err != nil {
		c.Log.WithError(err).Error("directory: message can't be encoded")
		return
	}
	if len(body)+len(datagram) > maxControlSize && message.Beacon != nil {
		short := *message.Beacon
		short.News, short.Since = nil, short.Revision
		if body, err = msgpack.Marshal(&jmdirectory.Message{Beacon: &short}); err != nil {
			c.Log.WithError(err).Error("directory: message can't be encoded")
			return
		}
	}
	datagram = append(datagram, body...)
	c.Counters.BytesSent.Add(uint64(len(datagram)))
	c.Send(netip.AddrPortFrom(to, c.Port), datagram)
}

// startRead starts the next call to the platform, if one is due.
func (c *Control) startRead(ctx context.Context, now time.Time) {
	read, found := c.machine.NextRead(now)
	if !found {
		return
	}
	c.Counters.PlatformCalls.Add(1)
	c.calls.Go(goroutineCall, func() {
		var changes jasminemoor.DirectoryChanges
		err := jmdirectory.ErrUnusable
		c.Guard.Try(goroutineCall, func() {
			if read.IsLoad {
				changes, err = c.Directory.Load(ctx)
			} else {
				changes, err = c.Directory.Watch(ctx, read.Since, read.Wait)
			}
		})
		if ctx.Err() != nil {
			return
		}
		select {
		case c.events <- func(now time.Time) {
			if !c.handle(func(now time.Time) { c.handleRead(ctx, now, read, &changes, err) }) {
				c.handleRead(ctx, now, read, &jasminemoor.DirectoryChanges{}, jmdirectory.ErrUnusable)
			}
		}:
		case <-ctx.Done():
		}
	})
}

func (c *Control) handleRead(ctx context.Context, now time.Time, read jmdirectory.Read, changes *jasminemoor.DirectoryChanges, err error) {
	if err != nil {
		c.Counters.PlatformErrors.Add(1)
	}
	if isPlatformDown := err != nil && !eris.Is(err, jasminemoor.ErrHistoryGone); isPlatformDown != c.isPlatformDown {
		c.isPlatformDown = isPlatformDown
		if isPlatformDown {
			c.Log.WithError(err).Warn("directory: platform lost")
		} else {
			c.Log.Info("directory: platform regained")
		}
	}
	if err == nil {
		c.logRead(now, read, changes)
	}
	c.apply(ctx, now, c.machine.HandleRead(now, read, changes, err))
}

// logRead logs what an answer of the platform says of its own state beside that of the copy:
// a new era, a change counter behind that of the copy, and configurations.
func (c *Control) logRead(now time.Time, read jmdirectory.Read, changes *jasminemoor.DirectoryChanges) {
	log := c.Log.WithFields(logrus.Fields{
		fieldEra: changes.Revision.Era(), fieldRevision: changes.Revision.Change(), "OwnRevision": c.machine.Revision().String(),
		"IsLoad": read.IsLoad, fieldAge: now.Sub(c.machine.AsOf()).Milliseconds(),
	})
	if c.machine.IsLoaded() && changes.Revision.Era() > c.machine.Revision().Era() {
		log.Warn("directory: platform was restored from a copy")
	}
	if changes.Revision < c.machine.Revision() {
		log.Info("directory: answer of the platform is behind the copy")
	}
	s := c.Snapshot()
	for i := range changes.Entries {
		if e := &changes.Entries[i]; e.Routing != nil && s != nil {
			log.WithFields(logrus.Fields{fieldVersion: e.Routing.Version, "VersionInForce": s.Version, "EntryRevision": e.Revision.String()}).
				Info("directory: configuration read from the platform")
		}
	}
}

// pull requests from a peer the changes since the revision of this copy.
func (c *Control) pull(ctx context.Context, peer netip.Addr) {
	requests := make(chan *jmdirectory.PullRequest, 1)
	c.enqueue(func(time.Time) { requests <- c.machine.PullRequest() })
	select {
	case <-ctx.Done():
	case <-time.After(exchangeTimeout):
	case request := <-requests:
		reply, err := c.exchange(ctx, peer, request)
		if err != nil {
			c.Log.WithError(err).WithField("Peer", peer).Debug("directory: peer did not answer")
			reply = nil
		}
		c.enqueue(func(now time.Time) { c.apply(ctx, now, c.machine.HandlePullReply(now, request, reply)) })
	}
}

// exchange sends a pull request to a peer over TCP and returns the reply.
func (c *Control) exchange(ctx context.Context, peer netip.Addr, request *jmdirectory.PullRequest) (reply *jmdirectory.PullReply, err error) {
	c.Counters.Exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", netip.AddrPortFrom(peer, c.Port).String())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return nil, err
	}
	if err = jmframe.Write(conn, request); err != nil {
		return nil, err
	}
	reply = &jmdirectory.PullReply{}
	return reply, jmframe.Read(conn, reply, maxExchangeSize)
}

// serve answers the pull requests of peers until ctx ends, and closes the listener.
func (c *Control) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	wg := jmguard.Group{Guard: c.Guard}
	defer wg.Wait()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				c.Log.WithError(err).Warn("directory: connection can't be accepted")
				time.Sleep(controlTickInterval)
			}
			continue
		}
		wg.Go(goroutineExchange, func() { c.Guard.Try(goroutineExchange, func() { c.serveConn(ctx, conn) }) })
	}
}

func (c *Control) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	if err := c.answer(ctx, conn); err != nil {
		c.Log.WithError(err).Debug("directory: exchange failed")
	}
}

func (c *Control) answer(ctx context.Context, conn net.Conn) (err error) {
	if err = conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return err
	}
	request := &jmdirectory.PullRequest{}
	if err = jmframe.Read(conn, request, maxExchangeSize); err != nil {
		return err
	}
	replies := make(chan *jmdirectory.PullReply, 1)
	c.enqueue(func(now time.Time) { replies <- c.machine.HandlePullRequest(now, request) })
	select {
	case reply := <-replies:
		return jmframe.Write(conn, reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(exchangeTimeout):
		return eris.New("control goroutine did not reply in time")
	}
}
