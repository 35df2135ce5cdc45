package jmbalancer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	benchPayload = 200 // bytes of a caller's datagram
	benchSenders = 3
	pollInterval = time.Millisecond
)

var benchLocal = netip.MustParseAddrPort("192.0.2.1:443")

func listenUDP(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	setBuffers(conn)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// newTestBalancer returns a balancer with one service whose only agent has the
// sink's address, and a datagram of an open flow to that agent.
func newTestBalancer(t testing.TB, sink *net.UDPConn) (b *Balancer, datagram []byte) {
	t.Helper()
	codec, err := jmconnid.New(
		[]jmconnid.Key{{Number: 1, Secret: [16]byte{1}, IsSealing: true}},
		[]jmconnid.Prefix{{Number: 1, Prefix: netip.MustParsePrefix("127.0.0.0/8")}},
	)
	require.NoError(t, err)
	id, err := codec.Seal(jmconnid.Route{Service: 7, Agent: addrOf(sink)})
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b = &Balancer{Log: log, fleet: listenUDP(t), spare: listenUDP(t), Node: &jmnode.Node{}, Guard: &jmguard.Guard{}}
	table := jmplacer.NewTable([]jmplacer.Candidate{{Agent: addrOf(sink), Weight: 1}})
	b.view.Store(&view{
		codec:    codec,
		keys:     []jmdatagram.Key{{1}},
		services: map[netip.AddrPort]*placement{benchLocal: {number: 7, table: table}},
	})
	datagram = make([]byte, benchPayload)
	datagram[0] = 0x40
	copy(datagram[1:], id[:])
	return b, datagram
}

// flood sends a datagram to a socket as fast as possible until ctx ends.
func flood(ctx context.Context, t testing.TB, to netip.AddrPort, datagram []byte) {
	w, err := jmbatch.NewWriter(listenUDP(t))
	require.NoError(t, err)
	batch := make([]jmbatch.Datagram, jmbatch.Size)
	for i := range batch {
		batch[i] = jmbatch.Datagram{Buffer: datagram, Addr: to}
	}
	go func() {
		for ctx.Err() == nil {
			_ = w.Write(batch)
		}
	}()
}

// benchmarkLoop floods one socket and measures the datagrams per second that one
// goroutine, and so one core, forwards.
func benchmarkLoop(b *testing.B, loop func(ctx context.Context, conn *net.UDPConn, sink *net.UDPConn, passed *atomic.Int64)) {
	conn, sink := listenUDP(b), listenUDP(b)
	ctx, cancel := context.WithCancel(b.Context())
	var passed atomic.Int64
	done := make(chan struct{})
	_, datagram := newTestBalancer(b, sink)
	for range benchSenders {
		flood(ctx, b, addrOf(conn), datagram)
	}
	b.ResetTimer()
	go func() {
		defer close(done)
		loop(ctx, conn, sink, &passed)
	}()
	for passed.Load() < int64(b.N) {
		time.Sleep(pollInterval)
	}
	b.StopTimer()
	b.ReportMetric(float64(passed.Load())/b.Elapsed().Seconds(), "datagrams/s")
	cancel()
	_ = conn.Close()
	<-done
}

// BenchmarkRelay reads and writes batches without routing them. It is the baseline
// for BenchmarkForward.
func BenchmarkRelay(b *testing.B) {
	benchmarkLoop(b, func(ctx context.Context, conn, sink *net.UDPConn, passed *atomic.Int64) {
		reader, err := jmbatch.NewReader(conn)
		require.NoError(b, err)
		writer, err := jmbatch.NewWriter(listenUDP(b))
		require.NoError(b, err)
		in, out := newBatch(0), make([]jmbatch.Datagram, jmbatch.Size)
		to := addrOf(sink)
		for ctx.Err() == nil {
			n, err := reader.Read(in)
			if err != nil {
				return
			}
			for i := range in[:n] {
				out[i] = jmbatch.Datagram{Buffer: in[i].Buffer[:in[i].Length], Addr: to}
			}
			_ = writer.Write(out[:n])
			passed.Add(int64(n))
		}
	})
}

// BenchmarkForward reads, routes and writes datagrams of open flows.
func BenchmarkForward(b *testing.B) {
	benchmarkLoop(b, func(ctx context.Context, conn, sink *net.UDPConn, passed *atomic.Int64) {
		balancer, _ := newTestBalancer(b, sink)
		go func() {
			for ctx.Err() == nil {
				passed.Store(int64(balancer.Counters.Forwarded.Load()))
				time.Sleep(pollInterval)
			}
		}()
		balancer.callerLoop(ctx, conn, benchLocal)
	})
}

// BenchmarkRoute routes one datagram of an open flow, without a socket.
func BenchmarkRoute(b *testing.B) {
	balancer, datagram := newTestBalancer(b, listenUDP(b))
	f := forwarder{balancer: balancer, local: benchLocal}
	buffer := append(make([]byte, jmdatagram.HeaderSize), datagram...)
	from := netip.MustParseAddrPort("198.51.100.1:5000")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := f.route(buffer, from); !ok {
			b.Fatal("not routed")
		}
	}
}

// BenchmarkPlace routes one first flight among 10 upstreams.
func BenchmarkPlace(b *testing.B) {
	balancer, _ := newTestBalancer(b, listenUDP(b))
	var candidates []jmplacer.Candidate
	for i := range 10 {
		agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7100)
		candidates = append(candidates, jmplacer.Candidate{Agent: agent, Weight: uint32(i%4 + 1)})
	}
	balancer.view.Load().services[benchLocal].table = jmplacer.NewTable(candidates)
	f := forwarder{balancer: balancer, local: benchLocal}
	first := make([]byte, jmdatagram.HeaderSize+minFirstSize)
	copy(first[jmdatagram.HeaderSize:], []byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	from := netip.MustParseAddrPort("198.51.100.1:5000")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := f.route(first, from); !ok {
			b.Fatal("not placed")
		}
	}
}
