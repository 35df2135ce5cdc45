package jmlink_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

// listen starts a listener with the keys, and sends the result of each handshake to
// one of the channels.
func listen(t *testing.T, keys ...jmdatagram.ControlKey) (addr netip.AddrPort, conns chan *jmlink.Conn, errs chan error) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = tcp.Close() })
	l := &jmlink.Listener{Keys: func() []jmdatagram.ControlKey { return keys }, TCP: tcp}
	conns, errs = make(chan *jmlink.Conn, 1), make(chan error, 1)
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			conn, err := l.Authenticate(context.Background(), raw)
			if err != nil {
				errs <- err
				continue
			}
			conns <- conn
		}
	}()
	return netip.MustParseAddrPort(tcp.Addr().String()), conns, errs
}

func TestLink(t *testing.T) {
	addr, conns, _ := listen(t, jmdatagram.ControlKey{1}, jmdatagram.ControlKey{2})
	for _, key := range []jmdatagram.ControlKey{{1}, {2}} {
		dialer, err := jmlink.Dial(t.Context(), addr, key)
		require.NoError(t, err)
		listener := <-conns
		_, err = dialer.Write([]byte("question"))
		require.NoError(t, err)
		require.NoError(t, dialer.CloseWrite())
		got, err := io.ReadAll(listener)
		require.NoError(t, err)
		require.Equal(t, "question", string(got))
		_, err = listener.Write([]byte("answer"))
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		got, err = io.ReadAll(dialer)
		require.NoError(t, err)
		require.Equal(t, "answer", string(got))
		require.NoError(t, dialer.Close())
	}
}

func TestAbortFailsPeersRead(t *testing.T) {
	addr, conns, _ := listen(t, jmdatagram.ControlKey{1})
	dialer, err := jmlink.Dial(t.Context(), addr, jmdatagram.ControlKey{1})
	require.NoError(t, err)
	listener := <-conns
	_, err = dialer.Write([]byte("half a quest"))
	require.NoError(t, err)
	dialer.Abort()
	_, err = io.ReadAll(listener)
	require.Error(t, err, "an aborted stream must not look complete")
}

func TestWrongKey(t *testing.T) {
	addr, _, errs := listen(t, jmdatagram.ControlKey{1})
	_, err := jmlink.Dial(t.Context(), addr, jmdatagram.ControlKey{3})
	require.Error(t, err)
	require.ErrorIs(t, <-errs, jmlink.ErrProof)
}

// TestListenerMustProve checks that Dial refuses a listener without the key, one that
// sends the dialer's own proof back.
func TestListenerMustProve(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer tcp.Close()
	config := &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}, MinVersion: tls.VersionTLS13}
	go func() {
		raw, err := tcp.Accept()
		if err != nil {
			return
		}
		conn := tls.Server(raw, config)
		_, _ = io.Copy(conn, conn)
	}()
	_, err = jmlink.Dial(t.Context(), netip.MustParseAddrPort(tcp.Addr().String()), jmdatagram.ControlKey{1})
	require.ErrorIs(t, err, jmlink.ErrProof)
}

func TestNotTLS(t *testing.T) {
	addr, _, errs := listen(t, jmdatagram.ControlKey{1})
	conn, err := net.DialTimeout("tcp", addr.String(), time.Second)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
	require.NoError(t, err)
	require.Error(t, <-errs)
}
