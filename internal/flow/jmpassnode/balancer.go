package jmpassnode

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	balancerTickInterval = 100 * time.Millisecond
	// minDrainTime is the least time that a leaving balancer forwards for. The
	// platform's routers stop using a process that is not ready after two failed
	// checks half a second apart.
	minDrainTime = 1200 * time.Millisecond
	// drainQuietTime is how long a leaving balancer must have received no packet
	// of a caller before it ends.
	drainQuietTime = 300 * time.Millisecond
	// maxDrainTime is the time after which a leaving balancer ends even if packets
	// still come. The platform kills it after 6 s.
	maxDrainTime = 4500 * time.Millisecond
)

// Balancer is the entry process of pass-through flows: it forwards callers'
// packets to agents. The exported fields are set before Run.
type Balancer struct {
	Settings  *jmlocal.Settings
	Codec     jasminemoor.PacketCodec
	Directory jasminemoor.Directory
	Log       logrus.FieldLogger
	// Decisions logs the decisions on packets, at a bounded rate.
	Decisions *jmdecision.Log
	// Guard ends the process if one of its goroutines panics.
	Guard *jmguard.Guard

	process
	// Malformed counts the datagrams dropped as malformed or of an unexpected kind.
	Malformed atomic.Uint64

	mu           sync.Mutex // guards machine
	machine      jmpass.Balancer
	callers      *net.UDPConn // receives callers' packets
	lastReceived atomic.Int64 // when a caller's packet last came, in nanoseconds since started
	started      time.Time
	viewLoaded   chan struct{} // closed at the first view of the directory
	viewOnce     sync.Once
}

// Leave drains the balancer: it reports that it is not ready, and forwards until
// the platform's routers send it no more packets, for at most maxDrainTime.
func (b *Balancer) Leave() { b.beginLeaving(b.Log) }

// Run serves until ctx ends or the balancer has drained. It returns once all its
// goroutines have ended.
func (b *Balancer) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "balancer %s", b.Settings.Address)
		}
	}()
	b.init()
	b.started, b.viewLoaded = time.Now(), make(chan struct{})
	b.machine.Self, b.machine.DataCentre = b.Settings.Address, b.Settings.DataCentre
	b.settings, b.codec, b.log, b.decisions, b.guard = b.Settings, b.Codec, b.Log, b.Decisions, b.Guard
	b.control = &Control{Directory: b.Directory, Log: b.Log, OnSnapshot: b.setSnapshot}
	if err = b.open(ctx); err != nil {
		return err
	}
	defer b.peers.Close()
	if b.callers, err = listenUDP(b.Settings.Packets); err != nil {
		return err
	}
	defer b.callers.Close()
	s, err := b.newSender(b.callers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	wg := jmguard.Group{Guard: b.Guard}
	defer wg.Wait()
	defer cancel()
	b.runCommon(ctx, &wg)
	wg.Go(goroutineCallers, func() {
		// Until the directory is loaded, packets wait in the socket's buffer.
		select {
		case <-b.viewLoaded:
		case <-ctx.Done():
			return
		}
		b.readLoop(ctx, goroutineCallers, b.callers, b.Codec.MaxSize(), func(batch []jmbatch.Datagram) { b.handleCallers(batch, s) })
	})
	wg.Go(goroutinePeers, func() {
		b.readLoop(ctx, goroutinePeers, b.peers, jmhop.HeaderSize+maxControlSize, func(batch []jmbatch.Datagram) { b.handlePeers(ctx, batch) })
	})
	b.Guard.Do(goroutineTicks, func() { b.tickLoop(ctx) })
	return nil
}

// Count returns how many decisions were made for a reason.
func (b *Balancer) Count(reason jmpass.Reason) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Counts[reason]
}

// Flows returns the number of flows in the table.
func (b *Balancer) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Flows()
}

func (b *Balancer) setSnapshot(s jmpass.Snapshot) {
	b.applySnapshot(s)
	if s.Version == 0 {
		return
	}
	b.viewOnce.Do(func() { close(b.viewLoaded) })
	select {
	case <-b.leaving:
	default:
		if !b.isReady.Swap(true) {
			b.Log.Info("process: ready")
		}
	}
}

func (b *Balancer) applySnapshot(s jmpass.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.SetSnapshot(s)
}

func (b *Balancer) handleCallers(batch []jmbatch.Datagram, s *sender) {
	now := time.Now()
	b.lastReceived.Store(int64(now.Sub(b.started)))
	var p jasminemoor.Packet
	b.mu.Lock()
	b.Guard.Each(goroutineCallers, len(batch), func(i int) {
		packet := batch[i].Buffer[:batch[i].Length]
		if err := b.Codec.Decode(packet, &p); err != nil {
			b.Malformed.Add(1)
			return
		}
		m, reason := b.machine.Handle(now, &p)
		if m.Kind != 0 {
			s.sendOne(&m, packet)
		}
		b.logDecision(now, reason, &p, packet, &m)
	})
	b.mu.Unlock()
	b.flush(goroutineCallers, s.writer)
}

func (b *Balancer) handlePeers(ctx context.Context, batch []jmbatch.Datagram) {
	now := time.Now()
	b.Guard.Each(goroutinePeers, len(batch), func(i int) {
		b.handlePeer(ctx, now, batch[i].Addr.Addr(), batch[i].Buffer[:batch[i].Length])
	})
}

// handlePeer handles one datagram of another process.
func (b *Balancer) handlePeer(ctx context.Context, now time.Time, from netip.Addr, datagram []byte) {
	var h jmhop.Header
	if err := h.Unmarshal(datagram); err != nil {
		b.Malformed.Add(1)
		return
	}
	body := datagram[jmhop.HeaderSize:]
	b.control.CheckRevision(ctx, now, from, &h)
	switch h.Kind {
	case jmhop.KindControl:
		b.control.Receive(ctx, from, &h, body)
	case jmhop.KindReport:
		b.handleReport(now, from, body)
	case jmhop.KindHolder, jmhop.KindFlowReset:
		b.handleFlow(now, from, &h, body)
	case jmhop.KindFlows:
		b.handleFlowList(now, from, body)
	case jmhop.KindPoll:
		b.sendFlowList(now, from)
	default:
		b.Malformed.Add(1)
	}
}

func (b *Balancer) handleReport(now time.Time, from netip.Addr, body []byte) {
	var r jmhop.Report
	if err := r.Unmarshal(body); err != nil {
		b.Malformed.Add(1)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.HandleReport(now, from, &r)
}

// handleFlow handles an agent's message that it holds a flow or has reset it.
func (b *Balancer) handleFlow(now time.Time, from netip.Addr, h *jmhop.Header, body []byte) {
	if len(body) != jmhop.FlowKeySize {
		b.Malformed.Add(1)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Kind == jmhop.KindFlowReset {
		b.machine.HandleFlowReset(now, from, jasminemoor.FlowKey(body), h.Age)
		return
	}
	b.machine.HandleHolder(now, from, jasminemoor.FlowKey(body))
}

// handleFlowList keeps a part of the list of flows of an agent that leaves.
func (b *Balancer) handleFlowList(now time.Time, from netip.Addr, body []byte) {
	var l jmhop.FlowList
	if err := l.Unmarshal(body); err != nil {
		b.Malformed.Add(1)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.HandleFlows(now, from, l.Incarnation, body)
}

// sendFlowList sends an agent that has started the list of the one before it.
func (b *Balancer) sendFlowList(now time.Time, to netip.Addr) {
	b.mu.Lock()
	out := b.machine.HandlePoll(now, to)
	b.mu.Unlock()
	for i := range out {
		datagram := make([]byte, jmhop.HeaderSize, jmhop.HeaderSize+len(out[i].Body))
		out[i].Header.Marshal(datagram)
		b.control.Send(netip.AddrPortFrom(to, b.Settings.FirstPort), append(datagram, out[i].Body...))
	}
}

// tickLoop polls agents that are slow to report, and returns once ctx has ended or
// the balancer has drained.
func (b *Balancer) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(balancerTickInterval)
	defer ticker.Stop()
	leavingSince := time.Time{}
	var poll [jmhop.HeaderSize]byte
	header := jmhop.Header{Kind: jmhop.KindPoll, Origin: b.Settings.Address}
	header.Marshal(poll[:])
	leaving := b.leaving
	for {
		select {
		case <-ctx.Done():
			return
		case <-leaving:
			leaving, leavingSince = nil, time.Now()
		case now := <-ticker.C:
			b.Guard.Try(goroutineTicks, func() { b.tick(now, poll[:]) })
			if !leavingSince.IsZero() && b.isDrained(now, leavingSince) {
				close(b.drained)
				return
			}
		}
	}
}

// tick sends a poll to the agents that are slow to report.
func (b *Balancer) tick(now time.Time, poll []byte) {
	for _, agent := range b.agentsToPoll(now) {
		b.control.Send(netip.AddrPortFrom(agent, b.Settings.FirstPort), poll)
	}
}

func (b *Balancer) agentsToPoll(now time.Time) []netip.Addr {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Tick(now)
}

// isDrained reports whether a balancer that is leaving may end.
func (b *Balancer) isDrained(now, leavingSince time.Time) bool {
	quiet := now.Sub(b.started) - time.Duration(b.lastReceived.Load())
	return now.Sub(leavingSince) > maxDrainTime || now.Sub(leavingSince) > minDrainTime && quiet > drainQuietTime
}
