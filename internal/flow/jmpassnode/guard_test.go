package jmpassnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// Ports of the processes under test.
const (
	guardPeerPort = 17740 + iota
	guardPacketsPort
	guardReadyPort
	guardOutboundPort
	guardUpstreamPort
)

const always = 1 << 30 // panics

// faults makes a number of calls panic.
type faults struct{ left atomic.Int64 }

func (f *faults) call() {
	if f.left.Add(-1) >= 0 {
		panic("fault of the test")
	}
}

// faultyCodec is a codec whose Decode panics for a number of packets.
type faultyCodec struct {
	jmadapter.Codec
	faults
}

func (c *faultyCodec) Decode(datagram []byte, p *jasminemoor.Packet) error {
	c.call()
	return c.Codec.Decode(datagram, p)
}

// faultyDirectory has one upstream. Its Load panics for a number of calls, and its Watch
// reports no change.
type faultyDirectory struct{ faults }

func (d *faultyDirectory) Load(context.Context) (c jasminemoor.DirectoryChanges, err error) {
	d.call()
	return jasminemoor.DirectoryChanges{Revision: 2, Entries: []jasminemoor.Entry{
		{Key: "config", Revision: 1, Routing: &jasminemoor.Routing{Version: 1, Routes: []jasminemoor.Route{{
			Address: netip.MustParseAddrPort("198.18.0.1:8443"), Shares: []jasminemoor.Share{{Service: "shop", Weight: 1}},
		}}}},
		{Key: "u", Revision: 2, Upstream: &jasminemoor.ListedUpstream{ID: "u", Service: "shop", Address: guardAddr(2, guardUpstreamPort)}},
	}}, nil
}

func (d *faultyDirectory) Unusable() uint64 { return 0 }

func (d *faultyDirectory) Watch(ctx context.Context, _ jasminemoor.Revision, _ time.Duration) (c jasminemoor.DirectoryChanges, err error) {
	<-ctx.Done()
	return c, ctx.Err()
}

// faultyHook panics at log lines with a text.
type faultyHook struct {
	faults
	text string
}

func (h *faultyHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *faultyHook) Fire(e *logrus.Entry) error {
	if strings.Contains(e.Message, h.text) {
		h.call()
	}
	return nil
}

// guardAddr returns an address of the balancer, host 1, or of the agent, host 2.
func guardAddr(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, jmpackets.Network(), 7, byte(host)}), uint16(port))
}

// guarded is a process whose guard cancels its context in place of an exit.
type guarded struct {
	t        *testing.T
	balancer *Balancer // or nil
	agent    *Agent    // or nil
	process  *process
	guard    *jmguard.Guard
	last     *logtest.Hook
	exited   chan struct{}
	codec    *faultyCodec
	hook     *faultyHook
	dir      *faultyDirectory
	host     int
	done     chan struct{}
}

func newGuarded(t *testing.T, isAgent bool) *guarded {
	p := &guarded{
		t: t, codec: &faultyCodec{}, hook: &faultyHook{}, dir: &faultyDirectory{}, host: 1,
		exited: make(chan struct{}), done: make(chan struct{}), guard: &jmguard.Guard{},
	}
	if isAgent {
		p.host = 2
	}
	log, _ := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	log.AddHook(p.hook)
	p.guard.Log, _ = logtest.NewNullLogger()
	p.guard.Last, p.last = logtest.NewNullLogger()
	p.guard.Exit = func() { close(p.exited) }
	settings := &jmlocal.Settings{
		Address: p.addr(0).Addr(), DataCentre: "here", FirstPort: guardPeerPort, LastPort: guardPeerPort,
		Packets: p.addr(guardPacketsPort), Ready: p.addr(guardReadyPort), Outbound: p.addr(guardOutboundPort),
	}
	if isAgent {
		settings.Upstream, settings.Service = p.addr(guardUpstreamPort), "shop"
		p.agent = &Agent{Settings: settings, Codec: p.codec, Directory: p.dir, Log: log, Guard: p.guard}
		p.process = &p.agent.process
	} else {
		p.balancer = &Balancer{Settings: settings, Codec: p.codec, Directory: p.dir, Log: log, Guard: p.guard}
		p.process = &p.balancer.process
	}
	return p
}

func (p *guarded) addr(port int) netip.AddrPort { return guardAddr(p.host, port) }

func (p *guarded) start() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(p.done)
		if p.agent != nil {
			_ = p.agent.Run(ctx)
		} else {
			_ = p.balancer.Run(ctx)
		}
	}()
	p.t.Cleanup(func() {
		cancel()
		<-p.done
	})
}

func (p *guarded) startReady() {
	p.start()
	require.Eventually(p.t, p.isReady, 5*time.Second, 5*time.Millisecond)
}

func (p *guarded) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.addr(guardReadyPort).String())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a datagram n times to a port of the process.
func (p *guarded) send(port, n int, datagram []byte) {
	conn, err := net.Dial("udp4", p.addr(port).String())
	require.NoError(p.t, err)
	defer conn.Close()
	for range n {
		_, err = conn.Write(datagram)
		require.NoError(p.t, err)
	}
}

func (p *guarded) malformed() uint64 {
	if p.agent != nil {
		return p.agent.Malformed.Load()
	}
	return p.balancer.Malformed.Load()
}

// requireEnd waits until the guard has ended the process for a panic in a goroutine.
func (p *guarded) requireEnd(goroutine string) {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		require.Fail(p.t, "process lives on", "ready: %t", p.isReady())
	}
	require.Equal(p.t, goroutine, p.last.LastEntry().Data["Goroutine"])
	require.NotEmpty(p.t, p.last.LastEntry().Data["Stack"])
	require.False(p.t, p.isReady())
}

// requireAlive checks that the process is ready and has dropped one input.
func (p *guarded) requireAlive() {
	p.t.Helper()
	require.Eventually(p.t, p.isReady, 5*time.Second, 5*time.Millisecond)
	require.EqualValues(p.t, 1, p.guard.Dropped.Load())
	select {
	case <-p.exited:
		require.Fail(p.t, "process has ended")
	default:
	}
}

// packetLoops are the loops that decode packets.
var packetLoops = map[string]struct {
	isAgent   bool
	port      int
	goroutine string
}{
	"callers":        {false, guardPacketsPort, goroutineCallers},
	"agent's peers":  {true, guardPeerPort, goroutinePeers},
	"agent upstream": {true, guardOutboundPort, goroutineUpstream},
}

// forwarded returns a header of a forwarded packet without a packet, which Decode refuses.
func forwarded() []byte {
	datagram := make([]byte, jmhop.HeaderSize+1)
	h := jmhop.Header{Kind: jmhop.KindForward}
	h.Marshal(datagram)
	return datagram
}

// TestPoisonPacketKeepsLoop sends a packet that makes a loop panic, and then others.
func TestPoisonPacketKeepsLoop(t *testing.T) {
	for name, tc := range packetLoops {
		t.Run(name, func(t *testing.T) {
			p := newGuarded(t, tc.isAgent)
			p.startReady()
			p.codec.left.Store(1)
			p.send(tc.port, 1, forwarded())
			require.Eventually(t, func() bool { return p.guard.Dropped.Load() == 1 }, 5*time.Second, time.Millisecond)
			before := p.malformed()
			p.send(tc.port, 3, forwarded())
			require.Eventually(t, func() bool { return p.malformed() == before+3 }, 5*time.Second, time.Millisecond)
			p.requireAlive()
		})
	}
}

// TestLoopThatAlwaysPanicsEndsProcess has each packet make a loop panic: no process stays
// ready whose loop handles no packet.
func TestLoopThatAlwaysPanicsEndsProcess(t *testing.T) {
	for name, tc := range packetLoops {
		t.Run(name, func(t *testing.T) {
			p := newGuarded(t, tc.isAgent)
			p.startReady()
			p.codec.left.Store(always)
			p.send(tc.port, jmguard.MaxDrops+1, forwarded())
			p.requireEnd(tc.goroutine)
		})
	}
}

// TestPanicInPeersOrControlEndsProcess gives both roles a snapshot that no goroutine can use.
func TestPanicInPeersOrControlEndsProcess(t *testing.T) {
	for _, isAgent := range []bool{false, true} {
		for _, goroutine := range []string{goroutinePeers, goroutineControl} {
			t.Run(goroutine, func(t *testing.T) {
				p := newGuarded(t, isAgent)
				p.startReady()
				p.process.Control().snapshot.Store(&jmpass.Snapshot{})
				if goroutine == goroutinePeers {
					p.send(guardPeerPort, 4*jmguard.MaxDrops, forwarded())
				}
				p.requireEnd(goroutine)
			})
		}
	}
}

// TestPanicInTicksEndsProcess has the last tick of a leaving process panic.
func TestPanicInTicksEndsProcess(t *testing.T) {
	for _, isAgent := range []bool{false, true} {
		p := newGuarded(t, isAgent)
		p.startReady()
		close(p.process.drained)
		p.process.beginLeaving(p.process.log)
		p.requireEnd(goroutineTicks)
		<-p.done
	}
}

// TestPanicsInPlatformCalls has calls of the platform panic, once or always. A process
// without a copy is not ready, and its end would only be repeated.
func TestPanicsInPlatformCalls(t *testing.T) {
	once := newGuarded(t, true)
	once.dir.left.Store(1)
	once.start()
	once.requireAlive()
	lasting := newGuarded(t, false)
	lasting.dir.left.Store(always)
	lasting.start()
	require.Eventually(t, func() bool { return lasting.guard.Dropped.Load() == 2 }, 10*time.Second, 5*time.Millisecond)
	require.False(t, lasting.isReady())
	select {
	case <-lasting.exited:
		require.Fail(t, "process has ended")
	default:
	}
}

// TestPanicWithFirstView has the control loop panic while it publishes the first view.
func TestPanicWithFirstView(t *testing.T) {
	p := newGuarded(t, true)
	p.hook.text = "directory: first copy"
	p.hook.left.Store(1)
	p.start()
	p.requireAlive()
}

// TestPanicsInOtherGoroutines has the goroutines panic that handle no packets, at one of
// their log lines.
func TestPanicsInOtherGoroutines(t *testing.T) {
	t.Run("readiness check", func(t *testing.T) {
		p := newGuarded(t, false)
		listener, err := net.Listen("tcp", p.addr(guardReadyPort).String())
		require.NoError(t, err)
		defer listener.Close()
		p.hook.text = "readiness check can't be served"
		p.hook.left.Store(always)
		p.start()
		p.requireEnd("readiness check")
	})
	t.Run("exchange listener", func(t *testing.T) {
		p := newGuarded(t, false)
		p.hook.text = "connection can't be accepted"
		p.hook.left.Store(always)
		p.startReady()
		_ = p.process.tcp.Close()
		p.requireEnd("exchange listener")
	})
	t.Run("exchange", func(t *testing.T) {
		p := newGuarded(t, false)
		p.hook.text = "exchange failed"
		p.hook.left.Store(1)
		p.startReady()
		conn, err := net.Dial("tcp", p.addr(guardPeerPort).String())
		require.NoError(t, err)
		_ = conn.Close()
		require.Eventually(t, func() bool { return p.guard.Dropped.Load() == 1 }, 5*time.Second, time.Millisecond)
		p.requireAlive()
	})
	t.Run("pull", func(t *testing.T) {
		p := newGuarded(t, true)
		p.hook.text = "peer did not answer"
		p.hook.left.Store(1)
		p.startReady()
		h := &jmhop.Header{Kind: jmhop.KindAbsent, Revision: 3}
		require.Eventually(t, func() bool {
			p.process.Control().CheckRevision(context.Background(), time.Now(), guardAddr(9, 0).Addr(), h)
			return p.guard.Dropped.Load() == 1
		}, 5*time.Second, 10*time.Millisecond)
		p.requireAlive()
	})
	t.Run("probe", func(t *testing.T) {
		p := newGuarded(t, true)
		p.hook.text = "result of the probe has changed"
		p.hook.left.Store(1)
		p.startReady()
		require.Eventually(t, func() bool { return p.guard.Dropped.Load() == 1 }, 5*time.Second, time.Millisecond)
		p.requireAlive()
	})
}

// TestBatchThatCannotBeWrittenIsDropped has the write of a batch panic. The next batch must
// not have its datagrams.
func TestBatchThatCannotBeWrittenIsDropped(t *testing.T) {
	p := newGuarded(t, false)
	p.process.guard = p.guard
	w := &batchWriter{} // a write panics without a socket
	w.add(guardAddr(2, guardPeerPort), nil, []byte{1})
	p.process.flush(goroutineCallers, w)
	require.EqualValues(t, 1, p.guard.Dropped.Load())
	require.Zero(t, w.count)
}

// TestLoopWithoutSocketEndsProcess checks that a process does not stay ready whose packet loop
// can't begin.
func TestLoopWithoutSocketEndsProcess(t *testing.T) {
	p := newGuarded(t, false)
	p.process.guard, p.process.log = p.guard, p.balancer.Log
	p.process.readLoop(t.Context(), goroutineCallers, &net.UDPConn{}, 1, nil)
	select {
	case <-p.exited:
	default:
		require.Fail(t, "process lives on")
	}
	require.Equal(t, goroutineCallers, p.last.LastEntry().Data["Goroutine"])
	require.True(t, p.guard.HasFailed())
}
