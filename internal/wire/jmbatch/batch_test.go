package jmbatch_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
)

func listen(t testing.TB, network, address string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func newBatch(count int) []jmbatch.Datagram {
	batch := make([]jmbatch.Datagram, count)
	for i := range batch {
		batch[i].Buffer = make([]byte, 100)
	}
	return batch
}

func TestBatches(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			from, to := listen(t, "udp", address), listen(t, "udp", address)
			w, err := jmbatch.NewWriter(from)
			require.NoError(t, err)
			r, err := jmbatch.NewReader(to)
			require.NoError(t, err)
			out := make([]jmbatch.Datagram, 10)
			for i := range out {
				out[i].Buffer = fmt.Appendf(nil, "datagram %d", i)
				out[i].Addr = netip.MustParseAddrPort(to.LocalAddr().String())
			}
			require.NoError(t, w.Write(out))
			in := newBatch(jmbatch.Size)
			for got := 0; got < len(out); {
				n, err := r.Read(in)
				require.NoError(t, err)
				for i := range n {
					require.Equal(t, fmt.Sprintf("datagram %d", got), string(in[i].Buffer[:in[i].Length]))
					require.Equal(t, from.LocalAddr().String(), in[i].Addr.String())
					got++
				}
			}
		})
	}
}

func TestReadEndsWhenSocketCloses(t *testing.T) {
	conn := listen(t, "udp", "127.0.0.1:0")
	r, err := jmbatch.NewReader(conn)
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	_, err = r.Read(newBatch(1))
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestWriteSkipsRefused writes a batch with an address in the middle that the
// kernel refuses: the datagrams after it must still be sent.
func TestWriteSkipsRefused(t *testing.T) {
	testWriteSkips(t, netip.MustParseAddrPort("255.255.255.255:9"))
}

// TestWriteSkipsOtherFamily does the same with an IPv6 address, and with none, at an IPv4 socket.
func TestWriteSkipsOtherFamily(t *testing.T) {
	for _, addr := range []netip.AddrPort{netip.MustParseAddrPort("[::1]:9"), {}} {
		t.Run(addr.String(), func(t *testing.T) { testWriteSkips(t, addr) })
	}
}

func testWriteSkips(t *testing.T, refused netip.AddrPort) {
	from, to := listen(t, "udp4", "127.0.0.1:0"), listen(t, "udp4", "127.0.0.1:0")
	w, err := jmbatch.NewWriter(from)
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(to.LocalAddr().String())
	batch := []jmbatch.Datagram{
		{Buffer: []byte("one"), Addr: addr},
		{Buffer: []byte("two"), Addr: refused},
		{Buffer: []byte("three"), Addr: addr},
	}
	require.NoError(t, w.Write(batch))
	require.NoError(t, to.SetReadDeadline(time.Now().Add(time.Second)))
	for _, text := range []string{"one", "three"} {
		buffer := make([]byte, 10)
		n, err := to.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, text, string(buffer[:n]))
	}
}

func TestNoAllocation(t *testing.T) {
	from, to := listen(t, "udp", "127.0.0.1:0"), listen(t, "udp", "127.0.0.1:0")
	w, err := jmbatch.NewWriter(from)
	require.NoError(t, err)
	r, err := jmbatch.NewReader(to)
	require.NoError(t, err)
	batch, in := newBatch(8), newBatch(8)
	for i := range batch {
		batch[i].Addr = netip.MustParseAddrPort(to.LocalAddr().String())
	}
	require.Zero(t, testing.AllocsPerRun(20, func() {
		_ = w.Write(batch)
		for got := 0; got < len(batch); {
			n, _ := r.Read(in)
			got += n
		}
	}))
}
