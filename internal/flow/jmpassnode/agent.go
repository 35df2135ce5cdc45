package jmpassnode

import (
	"cmp"
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

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	agentTickInterval = 25 * time.Millisecond
	// probeTimeout bounds a probe of the upstream's port, which is on the agent's
	// own instance.
	probeTimeout = 150 * time.Millisecond
	// leaveGrace is how long an agent keeps running after it has reported to the
	// balancers that it is leaving. It is short, as the upstream keeps running and
	// its flows are interrupted until the next agent starts.
	leaveGrace = 30 * time.Millisecond
	// settingsRetryInterval is the least time between two readings of settings that have faults.
	settingsRetryInterval = 500 * time.Millisecond
)

// Names of the goroutines that only agents have.
const (
	goroutineUpstream = "upstream"
	goroutineProbe    = "probe"
	goroutineSettings = "settings"
)

// Agent is the process that runs beside an upstream of pass-through flows. It
// delivers callers' packets to the upstream, and the upstream's to the callers.
// The exported fields are set before Run.
type Agent struct {
	Settings  *jmlocal.Settings
	Codec     jasminemoor.PacketCodec
	Directory jasminemoor.Directory
	Log       logrus.FieldLogger
	// Decisions logs the decisions on packets, at a bounded rate.
	Decisions *jmdecision.Log
	// Guard ends the process if one of its goroutines panics.
	Guard *jmguard.Guard
	// ReadSettings, if set, reads the settings again: they name the service of an upstream that
	// follows another one at its address.
	ReadSettings func() (s *jmlocal.Settings, err error)
	// OnAnswer, if set, is called with the time to the first byte of each
	// answer, by one goroutine at a time.
	OnAnswer func(took time.Duration)

	process
	// Malformed counts the datagrams dropped as malformed or of an unexpected kind.
	Malformed atomic.Uint64

	lastProbeResult atomic.Int32 // a jmpass.ProbeResult
	mu              sync.Mutex   // guards machine
	machine         jmpass.Agent
	shares          *jmlocal.Shares // in force, guarded by mu
	// isReadingSettings is set while the settings are read, and settingsRetryAt is the earliest
	// time of the next reading. Both are guarded by mu.
	isReadingSettings bool
	settingsRetryAt   time.Time
	// watched is the connection to the upstream that the machine relies on, nil if none.
	// isWatching is set while watch runs, and watchedAt is when it last began. All three are
	// guarded by mu.
	watched    *net.TCPConn
	isWatching bool
	watchedAt  time.Time
	watchTerm  watchTerm  // for watch only
	direct     directConn // guarded by mu
	silent     silentAgents
	outbound   *net.UDPConn // receives the upstream's packets
}

// Leave makes the agent report to the balancers that it is leaving, and then end.
func (a *Agent) Leave() { a.beginLeaving(a.Log) }

// Run serves until ctx ends or the agent has left. It returns once all its
// goroutines have ended.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "agent %s", a.Settings.Address)
		}
	}()
	a.init()
	s := a.Settings
	a.machine.Self, a.machine.Upstream, a.machine.Service = s.Address, s.Upstream, s.Service
	a.machine.CanReadSettings = a.ReadSettings != nil
	a.machine.IsFirstStart, a.machine.MaxFlowAge = s.IsFirstStart, time.Duration(s.MaxFlowAge)
	a.machine.DrainTime, a.machine.ReportsRefusals = time.Duration(s.DrainTime), reportsRefusals(s.Address)
	a.machine.ColdOverrun, a.machine.ColdSlack = s.ColdOverrun, s.ColdSlack
	a.machine.Incarnation = jasminemoor.NewIncarnation(time.Now())
	a.SetShares(s.Shares)
	a.settings, a.codec, a.log, a.decisions, a.guard = s, a.Codec, a.Log, a.Decisions, a.Guard
	a.onDecision = func(fields logrus.Fields, reason jmpass.Reason, flow jasminemoor.FlowKey) {
		fields[fieldService] = a.machine.Service
		a.addLimit(fields, reason, flow)
	}
	a.machine.OnAnswer, a.machine.OnSearchTimeout, a.machine.OnOverload = a.OnAnswer, a.logSearchTimeout, a.logOverload
	a.machine.OnRelease, a.machine.OnEnd = a.logDecision, a.logEnd
	a.control = &Control{Directory: a.Directory, Log: a.Log, OnSnapshot: a.setSnapshot, Upstream: s.Upstream}
	if err = a.open(ctx); err != nil {
		return err
	}
	defer a.peers.Close()
	if a.outbound, err = listenUDP(s.Outbound); err != nil {
		return err
	}
	defer a.outbound.Close()
	defer a.closeDirect()
	// A sender is for one goroutine: these are for the reader of peers, the tick
	// loop and the reader of the upstream.
	var senders [3]*sender
	for i, conn := range []*net.UDPConn{a.peers, a.peers, a.outbound} {
		if senders[i], err = a.newAgentSender(conn); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	wg := jmguard.Group{Guard: a.Guard}
	defer wg.Wait()
	defer cancel()
	a.runCommon(ctx, &wg)
	wg.Go(goroutinePeers, func() {
		a.readLoop(ctx, goroutinePeers, a.peers, jmhop.HeaderSize+max(a.Codec.MaxSize(), maxControlSize), func(batch []jmbatch.Datagram) {
			a.handlePeers(ctx, batch, senders[0])
		})
	})
	wg.Go(goroutineUpstream, func() {
		a.readLoop(ctx, goroutineUpstream, a.outbound, a.Codec.MaxSize(), func(batch []jmbatch.Datagram) { a.handleUpstream(batch, senders[2]) })
	})
	a.Guard.Do(goroutineTicks, func() { a.tickLoop(ctx, &wg, senders[1]) })
	return nil
}

// SetShares replaces the division of the upstream's work, nil for none. It may be called
// at any time.
func (a *Agent) SetShares(s *jmlocal.Shares) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = s
	if s == nil {
		a.machine.SetShares(false, nil)
	} else {
		a.machine.SetShares(true, s.Accounts)
	}
}

// SetService replaces the service of the upstream, after the settings have changed. It does
// nothing if they name another upstream, which takes a restart. It may be called at any time.
func (a *Agent) SetService(next *jmlocal.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next.Upstream == a.Settings.Upstream {
		a.machine.SetService(next.Service)
	}
}

// beginReadSettings reports whether the settings are to be read now, and records that they are.
func (a *Agent) beginReadSettings(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isReadingSettings || !a.machine.NeedsSettings() || now.Before(a.settingsRetryAt) {
		return false
	}
	a.isReadingSettings, a.settingsRetryAt = true, now.Add(settingsRetryInterval)
	return true
}

// readSettings reads the service of an upstream that may have followed another one. Without it
// the upstream gets no new flow until the directory lists it.
func (a *Agent) readSettings() {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isReadingSettings = false
	}()
	began := time.Now()
	next, err := a.ReadSettings()
	switch {
	case err != nil:
		a.Log.WithError(err).Warn("settings: service of the upstream can't be read")
		return
	case next.Upstream != a.Settings.Upstream:
		a.Log.WithField(fieldUpstream, next.Upstream).Warn("settings: they name another upstream, which takes a restart")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settingsRetryAt = time.Time{}
	a.machine.HandleSettings(next.Service, began)
}

// Service returns the service of the upstream by the settings that were read last.
func (a *Agent) Service() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cmp.Or(a.machine.Service, a.Settings.Service)
}

// Count returns how many decisions were made for a reason.
func (a *Agent) Count(reason jmpass.Reason) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Counts[reason]
}

// Flows returns the number of flows, and of requests in flight at the upstream.
func (a *Agent) Flows() (flows, inFlight int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Flows()
}

// Capacity returns what is known of the upstream's capacity and load.
func (a *Agent) Capacity() jmpass.Capacity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Capacity(time.Now())
}

func (a *Agent) setSnapshot(s jmpass.Snapshot) {
	a.applySnapshot(s)
	if s.Version != 0 && !a.isReady.Swap(true) {
		a.Log.Info("process: ready")
	}
}

func (a *Agent) applySnapshot(s jmpass.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.SetSnapshot(s)
}

func (a *Agent) handlePeers(ctx context.Context, batch []jmbatch.Datagram, s *sender) {
	now := time.Now()
	a.mu.Lock()
	defer a.flush(goroutinePeers, s.writer)
	defer a.mu.Unlock()
	a.checkWatch(now, s)
	a.Guard.Each(goroutinePeers, len(batch), func(i int) {
		if !a.handlePeer(ctx, now, batch[i].Addr.Addr(), batch[i].Buffer[:batch[i].Length], s) {
			a.Malformed.Add(1)
		}
	})
	s.send(a.machine.Recall(now), nil)
}

// handlePeer handles one datagram of another process. It returns false for one that
// is malformed or of an unexpected kind.
func (a *Agent) handlePeer(ctx context.Context, now time.Time, from netip.Addr, datagram []byte, s *sender) (ok bool) {
	var h jmhop.Header
	if err := h.Unmarshal(datagram); err != nil {
		return false
	}
	body := datagram[jmhop.HeaderSize:]
	a.control.CheckRevision(ctx, now, from, &h)
	switch h.Kind {
	case jmhop.KindControl:
		a.control.Receive(ctx, from, &h, body)
	case jmhop.KindPoll:
		s.send(a.machine.HandlePoll(now, from), nil)
	case jmhop.KindAbsent, jmhop.KindHolder:
		if len(body) != jmhop.FlowKeySize {
			return false
		}
		if h.Kind == jmhop.KindAbsent {
			out := a.machine.HandleAbsent(now, from, &h, jasminemoor.FlowKey(body))
			s.send(out, nil)
			a.logOutcomes(out)
		} else {
			a.machine.HandleHolder(now, jasminemoor.FlowKey(body))
		}
	case jmhop.KindFlows:
		var l jmhop.FlowList
		if err := l.Unmarshal(body); err != nil {
			return false
		}
		a.machine.HandleFlows(now, from, &l)
	case jmhop.KindForward, jmhop.KindAsk:
		var p jasminemoor.Packet
		if err := a.Codec.Decode(body, &p); err != nil {
			return false
		}
		out, reason := a.machine.HandlePeer(now, from, &h, &p, body)
		if reason == jmpass.ReasonHeld && !p.Flags.Has(jasminemoor.FlagOpen) {
			a.direct.keep(now, &p, body)
		}
		s.send(out, body)
		a.logDecision(now, reason, &p, body, last(out))
	default:
		return false
	}
	return true
}

func (a *Agent) handleUpstream(batch []jmbatch.Datagram, s *sender) {
	now := time.Now()
	var p jasminemoor.Packet
	a.mu.Lock()
	a.Guard.Each(goroutineUpstream, len(batch), func(i int) {
		packet := batch[i].Buffer[:batch[i].Length]
		if err := a.Codec.Decode(packet, &p); err != nil {
			a.Malformed.Add(1)
			return
		}
		out, reason := a.machine.HandleUpstream(now, &p, packet, a.Codec.IsFailure(packet))
		s.send(out, packet)
		a.logDequeued(out)
		a.logDecision(now, reason, &p, packet, last(out))
	})
	a.mu.Unlock()
	a.flush(goroutineUpstream, s.writer)
}

func (a *Agent) tickLoop(ctx context.Context, wg *jmguard.Group, s *sender) {
	ticker := time.NewTicker(agentTickInterval)
	defer ticker.Stop()
	leaving, leaveBy := a.leaving, time.Time{}
	for {
		if !leaveBy.IsZero() && (!a.mayBeEnding() || !time.Now().Before(leaveBy)) {
			a.finish(ctx, s)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-leaving:
			a.probeBeforeLeaving(ctx)
			leaving, leaveBy = nil, time.Now().Add(maxEndWait)
		case now := <-ticker.C:
			shouldProbe, shouldWatch := false, false
			a.Guard.Try(goroutineTicks, func() { shouldProbe, shouldWatch = a.tick(now, s) })
			a.flush(goroutineTicks, s.writer)
			if shouldProbe {
				wg.Go(goroutineProbe, func() { a.Guard.Try(goroutineProbe, func() { a.probe(ctx) }) })
			}
			if a.beginReadSettings(now) {
				wg.Go(goroutineSettings, func() { a.Guard.Try(goroutineSettings, a.readSettings) })
			}
			if shouldWatch {
				wg.Go(goroutineWatch, func() { a.Guard.Try(goroutineWatch, func() { a.watch(ctx) }) })
			}
		}
	}
}

// finish tells the other processes that the agent ends, and what they can't ask it any more.
func (a *Agent) finish(ctx context.Context, s *sender) {
	a.announceEnding(ctx)
	a.mu.Lock()
	s.send(a.machine.Leave(time.Now()), nil)
	s.send(a.machine.HandOnSearches(time.Now()), nil)
	s.send(a.machine.AdmitBeforeLeaving(time.Now()), nil)
	a.mu.Unlock()
	s.writer.flush()
	time.Sleep(leaveGrace)
	a.mu.Lock()
	s.send(a.machine.HandOverFlows(time.Now()), nil)
	a.mu.Unlock()
	s.writer.flush()
	close(a.drained)
}

func (a *Agent) tick(now time.Time, s *sender) (shouldProbe, shouldWatch bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, shouldProbe := a.machine.Tick(now)
	s.send(out, nil)
	a.logOutcomes(out)
	a.updateDirect(now, s)
	a.logSilentAgents(now)
	return shouldProbe, a.startWatch(now)
}

// logOutcomes logs the messages that do not result from a caller's or upstream's
// packet: resets of flows that no upstream holds, and requests that have left the
// queue.
func (a *Agent) logOutcomes(out []jmpass.Message) {
	for i := range out {
		if out[i].Kind == jmpass.Reset {
			a.decisions.Notable("flow: reset, as no upstream holds it", func() logrus.Fields {
				return logrus.Fields{
					fieldInstance: a.Settings.Name, fieldFlow: out[i].Flow.String(), fieldOutcome: out[i].Kind.String(),
				}
			})
		}
	}
	a.logDequeued(out)
}

// maxLoggedAgents bounds the agents in a log line.
const maxLoggedAgents = 4

// logSearchTimeout logs why a flow without a known holder was not reset.
func (a *Agent) logSearchTimeout(flow jasminemoor.FlowKey, unanswered []netip.Addr) {
	a.silent.add(unanswered)
	a.decisions.Notable("flow: holder was not found in time, and agents that may hold the flow did not answer", func() logrus.Fields {
		return logrus.Fields{
			fieldInstance: a.Settings.Name, fieldFlow: flow.String(), "Unanswered": len(unanswered),
			"Agents": unanswered[:min(len(unanswered), maxLoggedAgents)],
		}
	})
}

// logDequeued logs the requests that were queued at the agent and are now sent to
// the upstream or dropped.
func (a *Agent) logDequeued(out []jmpass.Message) {
	for i := range out {
		m := &out[i]
		if m.RequestAge == 0 {
			continue
		}
		fields := func(reason jmpass.Reason) func() logrus.Fields {
			return func() logrus.Fields {
				line := logrus.Fields{
					fieldInstance: a.Settings.Name, fieldFlow: m.Flow.String(), fieldRequest: a.Codec.RequestID(m.Packet),
					fieldReason: reason.String(), "WaitedMs": m.RequestAge.Milliseconds(), fieldOutcome: m.Kind.String(),
				}
				a.addLimit(line, reason, m.Flow)
				return line
			}
		}
		if m.Kind == jmpass.Dropped {
			a.decisions.Notable(decisionTexts[jmpass.ReasonGivenUp], fields(jmpass.ReasonGivenUp))
			continue
		}
		a.decisions.Ordinary("flow: request sent to its upstream after waiting", fields(jmpass.ReasonHeld))
	}
}

// probe checks whether the upstream's process accepts connections. It sends no
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
		a.Log.WithError(err).Warn("upstream: port can't be probed")
		return
	}
	a.recordProbe(result)
}

// recordProbe passes the result of a probe on.
func (a *Agent) recordProbe(result jmpass.ProbeResult) {
	if a.lastProbeResult.Swap(int32(result)) != int32(result) {
		a.Log.WithField("Result", result.String()).Info("upstream: result of the probe has changed")
	}
	s, err := a.newAgentSender(a.peers)
	if err != nil {
		a.Log.WithError(err).Error("process: socket can't be set up for writing")
		return
	}
	hasEnded := a.handleProbe(result, s)
	s.writer.flush()
	if hasEnded {
		a.control.RecordEnd()
	}
}

// handleProbe passes the result of a probe to the machine and reports whether the upstream's
// process has ended.
func (a *Agent) handleProbe(result jmpass.ProbeResult, s *sender) (hasEnded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	out := a.machine.HandleProbe(now, result)
	s.send(out, nil)
	a.logOutcomes(out)
	a.updateDirect(now, s)
	_, hasEnded = a.machine.UpstreamEnd()
	return hasEnded
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
