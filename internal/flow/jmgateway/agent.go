package jmgateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	agentTick = 25 * time.Millisecond
	// probeTimeout bounds a look at the upstream's port on the own instance.
	probeTimeout = 150 * time.Millisecond
	// leaveTime is how long an agent goes on after it has told the balancers
	// that it ends. Its upstream goes on, so a short outage is best.
	leaveTime = 30 * time.Millisecond
)

// Agent is the process beside an upstream of pass-through flows. The exported
// fields are set before Run.
type Agent struct {
	Settings  *jmlocal.Settings
	Codec     jasminemoor.PacketCodec
	Directory jasminemoor.Directory
	Log       logrus.FieldLogger
	// Decisions logs the decisions that are out of the ordinary.
	Decisions *jmdecision.Log
	// OnAnswer, where set, is called with the time to the first byte of each
	// answer, by one goroutine at a time.
	OnAnswer func(took time.Duration)

	process
	Malformed atomic.Uint64

	probed   atomic.Int32 // the newest result of a look at the upstream
	mu       sync.Mutex   // guards machine
	machine  jmpass.Agent
	outbound *net.UDPConn
}

// Leave has the agent tell the balancers that it ends, and end.
func (a *Agent) Leave() { a.beginLeaving(a.Log) }

// Run serves until ctx ends. It returns once all its goroutines have ended.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "agent %s", a.Settings.Address)
		}
	}()
	a.init()
	s := a.Settings
	a.machine.Self, a.machine.Upstream, a.machine.Service = s.Address, s.Upstream, s.Service
	a.machine.IsFirst = s.IsFirstStart
	a.machine.Incarnation = jasminemoor.NewIncarnation(time.Now())
	a.settings, a.codec, a.log, a.decided = s, a.Codec, a.Log, a.Decisions
	a.machine.OnAnswer = a.OnAnswer
	a.control = &Control{Directory: a.Directory, Log: a.Log, OnNews: a.setSnapshot, Upstream: s.Upstream}
	if err = a.open(ctx); err != nil {
		return err
	}
	defer a.peers.Close()
	if a.outbound, err = listenUDP(s.Outbound); err != nil {
		return err
	}
	defer a.outbound.Close()
	var senders [3]*sender
	for i, conn := range []*net.UDPConn{a.peers, a.peers, a.outbound} {
		if senders[i], err = a.newSender(conn); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	a.runCommon(ctx, &wg)
	wg.Go(func() {
		a.readLoop(ctx, a.peers, jmhop.HeaderSize+max(a.Codec.MaxSize(), maxBeacon), func(batch []jmbatch.Datagram) {
			a.handlePeers(ctx, batch, senders[0])
		})
	})
	wg.Go(func() {
		a.readLoop(ctx, a.outbound, a.Codec.MaxSize(), func(batch []jmbatch.Datagram) { a.handleUpstream(batch, senders[2]) })
	})
	a.tickLoop(ctx, &wg, senders[1])
	return nil
}

// Count returns how many decisions had a reason.
func (a *Agent) Count(reason jmpass.Reason) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Counts[reason]
}

// Flows returns the number of flows, and of requests that wait for an answer.
func (a *Agent) Flows() (flows, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Flows()
}

func (a *Agent) setSnapshot(s jmpass.Snapshot) {
	a.mu.Lock()
	a.machine.SetSnapshot(s)
	a.mu.Unlock()
	if s.Version != 0 && !a.isReady.Swap(true) {
		a.Log.Info("process: ready")
	}
}

func (a *Agent) handlePeers(ctx context.Context, batch []jmbatch.Datagram, s *sender) {
	now := time.Now()
	a.mu.Lock()
	defer s.outlet.flush()
	defer a.mu.Unlock()
	for i := range batch {
		if !a.handlePeer(ctx, now, batch[i].Addr.Addr(), batch[i].Buffer[:batch[i].Length], s) {
			a.Malformed.Add(1)
		}
	}
}

// handlePeer takes one datagram of another process in.
func (a *Agent) handlePeer(ctx context.Context, now time.Time, from netip.Addr, datagram []byte, s *sender) (ok bool) {
	var h jmhop.Header
	if err := h.Unmarshal(datagram); err != nil {
		return false
	}
	body := datagram[jmhop.HeaderSize:]
	a.control.NoteRevision(ctx, now, from, &h)
	switch h.Kind {
	case jmhop.KindControl:
		a.control.Receive(ctx, from, body)
	case jmhop.KindPoll:
		s.send(a.machine.HandlePoll(now, from), nil)
	case jmhop.KindAbsent, jmhop.KindHolder:
		if len(body) != jmhop.KeySize {
			return false
		}
		if h.Kind == jmhop.KindAbsent {
			out := a.machine.HandleAbsent(now, from, &h, jasminemoor.FlowKey(body))
			s.send(out, nil)
			a.noteOthers(out)
		} else {
			a.machine.HandleHolder(now, jasminemoor.FlowKey(body))
		}
	case jmhop.KindForward, jmhop.KindAsk:
		var p jasminemoor.Packet
		if err := a.Codec.Decode(body, &p); err != nil {
			return false
		}
		out, reason := a.machine.HandlePeer(now, from, &h, &p, body)
		s.send(out, body)
		a.note(now, reason, &p, body, last(out))
	default:
		return false
	}
	return true
}

func (a *Agent) handleUpstream(batch []jmbatch.Datagram, s *sender) {
	now := time.Now()
	var p jasminemoor.Packet
	a.mu.Lock()
	for i := range batch {
		packet := batch[i].Buffer[:batch[i].Length]
		if err := a.Codec.Decode(packet, &p); err != nil {
			a.Malformed.Add(1)
			continue
		}
		out, reason := a.machine.HandleUpstream(now, &p, packet, a.Codec.IsFailure(packet))
		s.send(out, packet)
		a.noteWaited(out)
		a.note(now, reason, &p, packet, last(out))
	}
	a.mu.Unlock()
	s.outlet.flush()
}

func (a *Agent) tickLoop(ctx context.Context, wg *conc.WaitGroup, s *sender) {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.leaving:
			a.mu.Lock()
			s.send(a.machine.Leave(time.Now()), nil)
			a.mu.Unlock()
			s.outlet.flush()
			time.Sleep(leaveTime)
			close(a.drained)
			return
		case now := <-ticker.C:
			a.mu.Lock()
			out, shouldProbe := a.machine.Tick(now)
			s.send(out, nil)
			a.noteOthers(out)
			a.mu.Unlock()
			s.outlet.flush()
			if shouldProbe {
				wg.Go(func() { a.probe(ctx) })
			}
		}
	}
}

// noteOthers logs what became of flows without a packet at hand.
func (a *Agent) noteOthers(out []jmpass.Message) {
	for i := range out {
		if out[i].Kind == jmpass.Reset {
			a.decided.Notable("flow: reset, as no upstream holds it", logrus.Fields{
				fieldInstance: a.Settings.Name, fieldFlow: out[i].Flow.String(), fieldOutcome: out[i].Kind.String(),
			})
		}
	}
	a.noteWaited(out)
}

// noteWaited logs what became of requests that have waited.
func (a *Agent) noteWaited(out []jmpass.Message) {
	for i := range out {
		m := &out[i]
		if m.Waited == 0 {
			continue
		}
		fields := func(reason jmpass.Reason) logrus.Fields {
			return logrus.Fields{
				fieldInstance: a.Settings.Name, fieldFlow: m.Flow.String(), fieldRequest: a.Codec.RequestID(m.Packet),
				fieldReason: reason.String(), "WaitedMs": m.Waited.Milliseconds(), fieldOutcome: m.Kind.String(),
			}
		}
		if m.Kind == jmpass.Dropped {
			a.decided.Notable("flow: "+jmpass.ReasonGivenUp.Text(), fields(jmpass.ReasonGivenUp))
			continue
		}
		a.decided.Ordinary("flow: request that waited goes to its upstream", func() logrus.Fields { return fields(jmpass.ReasonHeld) })
	}
}

// probe looks whether the upstream's process accepts connections. It sends no
// request, which would take one of the upstream's slots.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := jmpass.ProbeAccepted
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.Settings.Upstream.String())
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		result = jmpass.ProbeRefused
	case errors.Is(err, context.Canceled):
		return
	case isTimeout(err):
		result = jmpass.ProbeSilent
	default:
		a.Log.WithError(err).Warn("upstream: port can't be looked at")
		return
	}
	if a.probed.Swap(int32(result)) != int32(result) {
		a.Log.WithField("Result", result.String()).Info("upstream: answer of its port has changed")
	}
	s, err := a.newSender(a.peers)
	if err != nil {
		a.Log.WithError(err).Error("process: socket can't be written")
		return
	}
	a.mu.Lock()
	out := a.machine.HandleProbe(time.Now(), result)
	s.send(out, nil)
	a.noteOthers(out)
	a.mu.Unlock()
	s.outlet.flush()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
