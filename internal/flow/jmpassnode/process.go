package jmpassnode

import (
	"context"
	"errors"
	"net"
	"net/http"
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
)

const (
	// socketBuffer is the size in bytes that each socket requests for its read and
	// its write buffer. The kernel may grant less.
	socketBuffer  = 1 << 20
	headerTimeout = 2 * time.Second
	// readBatch is the largest number of datagrams read with one system call.
	readBatch = 32
)

// Names of the goroutines, in the log lines on panics.
const (
	goroutineCallers = "callers"
	goroutinePeers   = "peers"
	goroutineTicks   = "ticks"
)

// Field keys of the log lines on flows, which package jmtrace reads, and on the directory.
const (
	fieldAge      = "AgeMs" // of the copy of the directory
	fieldEra      = "Era"
	fieldRevision = "Revision"
	fieldVersion  = "Version"
	fieldInstance = "Instance"
	fieldFlow     = "Flow"
	fieldRequest  = "Request"
	fieldReason   = "Reason"
	fieldOutcome  = "Outcome"
	fieldService  = "Service"
	fieldUpstream = "Upstream"
)

// process is the part that balancers and agents have in common.
type process struct {
	settings      *jmlocal.Settings
	codec         jasminemoor.PacketCodec
	control       *Control
	sharedControl atomic.Pointer[Control] // control, for other goroutines, once it is set up
	log           logrus.FieldLogger
	decisions     *jmdecision.Log
	guard         *jmguard.Guard
	peers         *net.UDPConn // for datagrams from and to other processes
	tcp           net.Listener // for exchanges that other processes start
	isReady       atomic.Bool

	// onDecision, if set, adds fields to the log line of a decision.
	onDecision func(fields logrus.Fields, reason jmpass.Reason, flow jasminemoor.FlowKey)

	initOnce  sync.Once
	leaveOnce sync.Once
	leaving   chan struct{} // closed when the process begins to leave
	drained   chan struct{} // closed once the process has left
}

func (p *process) init() {
	p.initOnce.Do(func() { p.leaving, p.drained = make(chan struct{}), make(chan struct{}) })
}

// Drained returns a channel that is closed once the process has left.
func (p *process) Drained() <-chan struct{} {
	p.init()
	return p.drained
}

func (p *process) beginLeaving(log logrus.FieldLogger) {
	p.init()
	p.leaveOnce.Do(func() {
		log.Info("process: leaving")
		p.isReady.Store(false)
		close(p.leaving)
	})
}

// Control returns the process's Control, or nil before Run has set it up.
func (p *process) Control() *Control { return p.sharedControl.Load() }

// open opens the sockets for other processes, and sets up control. The caller closes
// peers; Control.serve closes tcp.
func (p *process) open(ctx context.Context) (err error) {
	addr := netip.AddrPortFrom(p.settings.Address, p.settings.FirstPort)
	if p.peers, err = listenUDP(addr); err != nil {
		return err
	}
	if p.tcp, err = (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String()); err != nil {
		_ = p.peers.Close()
		return err
	}
	for _, seed := range p.settings.Seeds {
		p.control.Seeds = append(p.control.Seeds, seed.Addr())
	}
	p.control.Self, p.control.Port, p.control.Guard = p.settings.Address, p.settings.FirstPort, p.guard
	p.control.Send = func(to netip.AddrPort, datagram []byte) {
		if _, err := p.peers.WriteToUDPAddrPort(datagram, to); err != nil {
			p.log.WithError(err).Debug("directory: datagram not sent")
		}
	}
	p.control.init()
	p.sharedControl.Store(p.control)
	return nil
}

func listenUDP(addr netip.AddrPort) (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	// A smaller buffer only loses more packets in bursts, so errors are ignored.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// serveReady serves the readiness check until ctx ends: status 200 while the
// process accepts traffic, and 503 otherwise.
func (p *process) serveReady(ctx context.Context) {
	server := &http.Server{
		Addr:              p.settings.Ready.String(),
		ReadHeaderTimeout: headerTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !p.isReady.Load() || p.guard.HasFailed() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		p.log.WithError(err).Error("process: readiness check can't be served")
	}
}

// readLoop reads batches of datagrams from a socket until ctx ends, and calls handle
// with each batch. Size is the size in bytes of the buffer of one datagram. The
// buffers are reused after handle returns.
func (p *process) readLoop(ctx context.Context, goroutine string, conn *net.UDPConn, size int, handle func(batch []jmbatch.Datagram)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	reader, err := jmbatch.NewReader(conn)
	if err != nil {
		p.log.WithError(err).Error("process: socket can't be set up for reading")
		p.guard.Fail(goroutine, err)
		return
	}
	batch := make([]jmbatch.Datagram, readBatch)
	for i := range batch {
		batch[i].Buffer = make([]byte, size)
	}
	for ctx.Err() == nil {
		n, err := reader.Read(batch)
		if err != nil {
			continue
		}
		handle(batch[:n])
	}
}

// runCommon starts the goroutines that balancers and agents have in common.
func (p *process) runCommon(ctx context.Context, wg *jmguard.Group) {
	wg.Go(goroutineControl, func() { p.control.Run(ctx) })
	wg.Go("exchange listener", func() { p.control.serve(ctx, p.tcp) })
	wg.Go("readiness check", func() { p.serveReady(ctx) })
}

func (p *process) newSender(conn *net.UDPConn) (s *sender, err error) {
	s = &sender{
		codec:      p.codec,
		peerPort:   p.settings.FirstPort,
		callerPort: p.settings.Packets.Port(),
		upstream:   p.settings.Upstream,
	}
	s.writer, err = newBatchWriter(conn)
	return s, err
}

// flush writes the datagrams that a goroutine has buffered.
func (p *process) flush(goroutine string, w *batchWriter) { p.guard.Try(goroutine, w.flush) }

// logDecision logs a decision with the facts that it is based on. Ordinary ones are
// logged only for packets that open a flow or begin a request, and at a lower rate
// than notable ones.
func (p *process) logDecision(now time.Time, reason jmpass.Reason, packet *jasminemoor.Packet, datagram []byte, m *jmpass.Message) {
	fields := func() logrus.Fields { return p.decisionFields(now, reason, packet, datagram, m) }
	if reason.IsNotable() {
		p.decisions.Notable(decisionTexts[reason], fields)
		return
	}
	isStart := packet.Flags.Has(jasminemoor.FlagOpen) || p.codec.RequestID(datagram) != ""
	if reason != jmpass.ReasonNone && isStart {
		p.decisions.Ordinary(decisionTexts[reason], fields)
	}
}

// decisionTexts are the texts of the log lines, by reason.
var decisionTexts = func() (texts [jmpass.ReasonCount]string) {
	for i := range texts {
		texts[i] = "flow: " + jmpass.Reason(i).Text()
	}
	return texts
}()

func (p *process) decisionFields(now time.Time, reason jmpass.Reason, packet *jasminemoor.Packet, datagram []byte, m *jmpass.Message) logrus.Fields {
	flow := packet.Key()
	if m != nil && m.Kind == jmpass.ToCaller {
		flow = packet.ReverseKey()
	}
	fields := logrus.Fields{
		fieldInstance: p.settings.Name,
		fieldReason:   reason.String(),
		fieldFlow:     flow.String(),
	}
	if id := p.codec.RequestID(datagram); id != "" {
		fields[fieldRequest] = id
	}
	if packet.Flags.Has(jasminemoor.FlagOpen) {
		fields["IsOpening"] = true
	}
	s := p.control.Snapshot()
	fields["HasCopy"] = s != nil
	if s != nil {
		fields[fieldVersion], fields[fieldRevision] = s.Version, s.Revision.Change()
		if era := s.Revision.Era(); era > 0 {
			fields[fieldEra] = era
		}
		fields[fieldAge] = now.Sub(s.AsOf).Milliseconds()
	}
	if m != nil && m.Kind != 0 {
		if m.Header.Age > 0 {
			fields["RequestAgeMs"] = m.Header.Age.Milliseconds()
		}
		fields[fieldOutcome] = m.Kind.String()
		addRecipient(fields, s, m.To)
		if m.Holder.IsValid() {
			fields["Holder"], fields["IsConfirmed"] = m.Holder, m.IsConfirmed
		}
	}
	if p.onDecision != nil {
		p.onDecision(fields, reason, flow)
	}
	return fields
}

// addRecipient adds the agent that a packet is passed on to, with the upstream that the copy of
// the directory lists there.
func addRecipient(fields logrus.Fields, s *jmpass.Snapshot, to netip.Addr) {
	if !to.IsValid() {
		return
	}
	fields["To"] = to
	if s != nil && s.Agents[to] != nil {
		fields["ToService"], fields["ToUpstream"] = s.Agents[to].Service, s.Agents[to].ID
	}
}

// last returns the last message, which is the outcome of the packet, or nil.
func last(messages []jmpass.Message) *jmpass.Message {
	if len(messages) == 0 {
		return nil
	}
	return &messages[len(messages)-1]
}
