// Package jmgateway runs the processes of pass-through flows: the sockets, the
// goroutines and the copy of the directory around the machines that decide.
package jmgateway

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
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	controlTick = 100 * time.Millisecond
	inboxSize   = 256
	// exchangeTimeout bounds an exchange with a peer over TCP.
	exchangeTimeout = 350 * time.Millisecond
	// maxExchange bounds a frame of an exchange in bytes.
	maxExchange = 16 << 20
	// maxBeacon bounds a control datagram in bytes; larger news is asked for.
	maxBeacon = 1400
)

// Control is the copy of the directory in one process. The exported fields are
// set before Run.
type Control struct {
	Self netip.Addr
	// Port is where the processes reach each other, over UDP and TCP.
	Port uint16
	// Upstream is that of an agent.
	Upstream netip.AddrPort
	// Seeds are processes to ask for the directory while none is known.
	Seeds     []netip.Addr
	Directory jasminemoor.Directory
	// Send sends a datagram to a peer.
	Send func(to netip.AddrPort, datagram []byte)
	// OnNews is called with each snapshot, by one goroutine at a time.
	OnNews func(s jmpass.Snapshot)
	Log    logrus.FieldLogger

	Counters ControlCounters

	machine  jmdirectory.Machine
	snapshot atomic.Pointer[jmpass.Snapshot]
	inbox    chan func(now time.Time)
	start    sync.Once
	calls    conc.WaitGroup
	isAway   bool // the platform did not answer the last call
	isReader bool // this process reads the platform for all others
	// behindSince is when a peer was first seen to have a newer copy than this one,
	// in nanoseconds since begun; 0 if none has.
	behindSince atomic.Int64
	begun       time.Time
}

// ControlCounters counts control traffic since the process started.
type ControlCounters struct {
	PlatformCalls  atomic.Uint64
	PlatformErrors atomic.Uint64
	BytesSent      atomic.Uint64
	Dropped        atomic.Uint64
	Exchanges      atomic.Uint64
}

func (c *Control) init() {
	c.start.Do(func() {
		c.inbox = make(chan func(time.Time), inboxSize)
		c.begun = time.Now()
		c.machine.Self, c.machine.Upstream, c.machine.Seeds = c.Self, c.Upstream, c.Seeds
		c.machine.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	})
}

// Snapshot returns the newest snapshot, or nil.
func (c *Control) Snapshot() *jmpass.Snapshot { return c.snapshot.Load() }

// Run drives the copy until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.init()
	defer c.calls.Wait()
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	pause := newPauseClock()
	c.nextRead(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if d := pause.since(now); d > 0 {
				c.Log.WithField("Seconds", d.Seconds()).Warn("process: stood still")
				c.machine.NotePause(d)
				c.publish(now, false)
			}
			c.act(ctx, now, c.machine.Tick(now))
		case event := <-c.inbox:
			event(time.Now())
		}
		c.nextRead(ctx, time.Now())
	}
}

// do hands an event to the control goroutine, or drops it if the inbox is full.
func (c *Control) do(event func(now time.Time)) {
	c.init()
	select {
	case c.inbox <- event:
	default:
		c.Counters.Dropped.Add(1)
	}
}

// behindTime is how long news may take to arrive by itself before a peer that has
// it is asked: some round trips between data centres.
const behindTime = 60 * time.Millisecond

// NoteRevision takes note of the revision of a peer's copy that a datagram tells.
// If this one stays behind, it asks the peer. It is cheap for the usual datagram.
func (c *Control) NoteRevision(ctx context.Context, now time.Time, from netip.Addr, h *jmhop.Header) {
	s := c.snapshot.Load()
	if s == nil {
		return // the seeds and the platform are asked already
	}
	if !h.IsAhead(s.Revision) {
		return
	}
	since, seen := c.behindSince.Load(), int64(now.Sub(c.begun))
	switch {
	case since == 0 || seen-since > int64(maxBehind):
		c.behindSince.Store(seen)
	case seen-since > int64(behindTime):
		c.behindSince.Store(0)
		c.do(func(now time.Time) { c.act(ctx, now, c.machine.CatchUp(now, from)) })
	}
}

// maxBehind is the age from which it no longer counts that a peer was ahead: the
// news has come since.
const maxBehind = time.Second

// Receive takes the body of a control datagram in.
func (c *Control) Receive(ctx context.Context, from netip.Addr, body []byte) {
	message := &jmdirectory.Message{}
	if err := msgpack.Unmarshal(body, message); err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	c.do(func(now time.Time) { c.act(ctx, now, c.machine.Handle(now, from, message)) })
}

func (c *Control) act(ctx context.Context, now time.Time, out jmdirectory.Output) {
	if isReader := c.machine.IsReader(); isReader != c.isReader {
		c.isReader = isReader
		c.Log.WithFields(logrus.Fields{"IsReader": isReader, "AgeMs": now.Sub(c.machine.AsOf()).Milliseconds()}).
			Info("directory: the reader of the platform has changed")
	}
	if s := c.snapshot.Load(); out.HasNews || s == nil && c.machine.IsLoaded() || s != nil && c.machine.AsOf().After(s.AsOf) {
		c.publish(now, out.HasNews)
	}
	for _, s := range out.Sends {
		c.send(s.To, s.Message)
	}
	for _, peer := range out.Pulls {
		c.calls.Go(func() { c.pull(ctx, peer) })
	}
}

// publish hands out a snapshot, with a new view if there is news.
func (c *Control) publish(now time.Time, hasNews bool) {
	if !c.machine.IsLoaded() {
		return
	}
	old := c.snapshot.Load()
	next := &jmpass.Snapshot{AsOf: c.machine.AsOf()}
	if old == nil || hasNews {
		next.View = c.machine.View(now)
		c.logView(old, next)
	} else {
		next.View = old.View
	}
	c.snapshot.Store(next)
	c.OnNews(*next)
}

func (c *Control) logView(old, next *jmpass.Snapshot) {
	if old != nil && old.Version == next.Version {
		return
	}
	c.Log.WithFields(logrus.Fields{"Version": next.Version, "Revision": next.Revision, "Routes": len(next.Routes)}).
		Info("directory: new version of the routes in force")
}

func (c *Control) send(to netip.Addr, message *jmdirectory.Message) {
	datagram := make([]byte, jmhop.HeaderSize, maxBeacon)
	header := jmhop.Header{Kind: jmhop.KindControl}
	header.Marshal(datagram)
	body, err := msgpack.Marshal(message)
	if err != nil {
		c.Log.WithError(err).Error("directory: message can't be encoded")
		return
	}
	if len(body)+len(datagram) > maxBeacon && message.Beacon != nil {
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

// nextRead makes the next call at the platform, if one is due.
func (c *Control) nextRead(ctx context.Context, now time.Time) {
	read, found := c.machine.NextRead(now)
	if !found {
		return
	}
	c.Counters.PlatformCalls.Add(1)
	c.calls.Go(func() {
		var changes jasminemoor.DirectoryChanges
		var err error
		if read.IsLoad {
			changes, err = c.Directory.Load(ctx)
		} else {
			changes, err = c.Directory.Watch(ctx, read.Since, read.Wait)
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case c.inbox <- func(now time.Time) { c.handleRead(ctx, now, read, &changes, err) }:
		case <-ctx.Done():
		}
	})
}

func (c *Control) handleRead(ctx context.Context, now time.Time, read jmdirectory.Read, changes *jasminemoor.DirectoryChanges, err error) {
	if err != nil {
		c.Counters.PlatformErrors.Add(1)
	}
	if isAway := err != nil && !eris.Is(err, jasminemoor.ErrHistoryGone); isAway != c.isAway {
		c.isAway = isAway
		if isAway {
			c.Log.WithError(err).Warn("directory: platform lost")
		} else {
			c.Log.Info("directory: platform regained")
		}
	}
	c.act(ctx, now, c.machine.HandleRead(now, read, changes, err))
}

// pull asks a peer for what it has.
func (c *Control) pull(ctx context.Context, peer netip.Addr) {
	since := make(chan uint64, 1)
	c.do(func(time.Time) { since <- c.machine.Revision() })
	select {
	case <-ctx.Done():
	case <-time.After(exchangeTimeout):
	case from := <-since:
		reply, err := c.exchange(ctx, peer, &jmdirectory.PullRequest{Since: from})
		if err != nil {
			c.Log.WithError(err).WithField("Peer", peer).Debug("directory: peer did not answer")
			reply = nil
		}
		c.do(func(now time.Time) { c.act(ctx, now, c.machine.HandlePullReply(now, from, reply)) })
	}
}

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
	return reply, jmframe.Read(conn, reply, maxExchange)
}

// serve answers the exchanges of peers until ctx ends.
func (c *Control) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				c.Log.WithError(err).Warn("directory: exchange can't be accepted")
				time.Sleep(controlTick)
			}
			continue
		}
		wg.Go(func() {
			defer conn.Close()
			if err := c.answer(ctx, conn); err != nil {
				c.Log.WithError(err).Debug("directory: exchange failed")
			}
		})
	}
}

func (c *Control) answer(ctx context.Context, conn net.Conn) (err error) {
	if err = conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return err
	}
	request := &jmdirectory.PullRequest{}
	if err = jmframe.Read(conn, request, maxExchange); err != nil {
		return err
	}
	replies := make(chan *jmdirectory.PullReply, 1)
	c.do(func(now time.Time) { replies <- c.machine.HandlePullRequest(now, request) })
	select {
	case reply := <-replies:
		return jmframe.Write(conn, reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(exchangeTimeout):
		return eris.New("control goroutine is busy")
	}
}
