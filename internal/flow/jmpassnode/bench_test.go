package jmpassnode

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

const (
	benchDataSize     = 200 // bytes of data in a caller's packet
	benchSenders      = 3
	benchPollInterval = time.Millisecond
)

var benchService = netip.MustParseAddrPort("198.18.0.1:443")

func benchListen(t testing.TB) (conn *net.UDPConn, addr netip.AddrPort) {
	t.Helper()
	conn, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// measure floods a socket with packets of one open flow, and measures how many of
// them a loop forwards per second. The loop is one goroutine, and so uses one core.
func measure(b *testing.B, loop func(ctx context.Context, conn *net.UDPConn, sink netip.AddrPort, passed *atomic.Int64)) {
	conn, to := benchListen(b)
	_, sink := benchListen(b)
	ctx, cancel := context.WithCancel(b.Context())
	packet := (&jmpackets.Packet{
		Source: netip.MustParseAddrPort("100.64.0.1:1025"), Destination: benchService, Flags: jmpackets.Ack, Data: make([]byte, benchDataSize),
	}).Marshal()
	for range benchSenders {
		from, _ := benchListen(b)
		writer, err := jmbatch.NewWriter(from)
		require.NoError(b, err)
		batch := make([]jmbatch.Datagram, jmbatch.Size)
		for i := range batch {
			batch[i] = jmbatch.Datagram{Buffer: packet, Addr: to}
		}
		go func() {
			for ctx.Err() == nil {
				_ = writer.Write(batch)
			}
		}()
	}
	var passed atomic.Int64
	done := make(chan struct{})
	b.ResetTimer()
	go func() {
		defer close(done)
		loop(ctx, conn, sink, &passed)
	}()
	for passed.Load() < int64(b.N) {
		time.Sleep(benchPollInterval)
	}
	b.StopTimer()
	b.ReportMetric(float64(passed.Load())/b.Elapsed().Seconds(), "datagrams/s")
	cancel()
	_ = conn.Close()
	<-done
}

// BenchmarkRelay reads and writes batches without a decision, as the baseline of
// BenchmarkForward.
func BenchmarkRelay(b *testing.B) {
	measure(b, func(ctx context.Context, conn *net.UDPConn, sink netip.AddrPort, passed *atomic.Int64) {
		p := &process{log: logrus.New()}
		writer, err := jmbatch.NewWriter(conn)
		require.NoError(b, err)
		out := make([]jmbatch.Datagram, jmbatch.Size)
		p.readLoop(ctx, goroutineCallers, conn, jmadapter.Codec{}.MaxSize(), func(batch []jmbatch.Datagram) {
			for i := range batch {
				out[i] = jmbatch.Datagram{Buffer: batch[i].Buffer[:batch[i].Length], Addr: sink}
			}
			_ = writer.Write(out[:len(batch)])
			passed.Add(int64(len(batch)))
		})
	})
}

// BenchmarkForward has a balancer forward the packets of an open flow to its agent.
func BenchmarkForward(b *testing.B) {
	measure(b, func(ctx context.Context, conn *net.UDPConn, sink netip.AddrPort, passed *atomic.Int64) {
		settings := &jmlocal.Settings{FirstPort: sink.Port()}
		balancer := &Balancer{Settings: settings, Codec: jmadapter.Codec{}, Log: logrus.New(), Guard: &jmguard.Guard{}}
		balancer.settings, balancer.codec, balancer.log, balancer.control = settings, jmadapter.Codec{}, balancer.Log, &Control{}
		balancer.machine.SetSnapshot(benchSnapshot(sink.Addr()))
		s, err := balancer.newSender(conn)
		require.NoError(b, err)
		balancer.readLoop(ctx, goroutineCallers, conn, jmadapter.Codec{}.MaxSize(), func(batch []jmbatch.Datagram) {
			balancer.handleCallers(batch, s)
			passed.Add(int64(len(batch)))
		})
	})
}

func benchSnapshot(agent netip.Addr) jmpass.Snapshot {
	u := &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{Service: "shop", Address: netip.AddrPortFrom(agent, 1)}}
	route := jasminemoor.Route{Address: benchService, Shares: []jasminemoor.Share{{Service: "shop", Weight: 1}}}
	return jmpass.Snapshot{AsOf: time.Now(), View: &jmdirectory.View{
		Version:   1,
		Routes:    map[netip.AddrPort]*jmdirectory.Route{benchService: {Route: route}},
		Services:  map[string]*jmdirectory.Service{"shop": {Name: "shop", Upstreams: []*jmdirectory.Upstream{u}}},
		Upstreams: map[netip.AddrPort]*jmdirectory.Upstream{u.Address: u},
		Agents:    map[netip.Addr]*jmdirectory.Upstream{agent: u},
	}}
}
