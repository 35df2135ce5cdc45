package jmproxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
)

const (
	readTimeout = 200 * time.Millisecond
	latency     = 60 * time.Millisecond
)

// start starts a proxy in front of an echo server.
func start(t *testing.T) *jmproxy.Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p := &jmproxy.Proxy{Address: freeAddress(t), Target: netip.MustParseAddrPort(listener.Addr().String()), Latency: latency}
	require.NoError(t, p.Start(context.Background()))
	t.Cleanup(p.Close)
	return p
}

// freeAddress returns an address whose port is free for TCP and for UDP.
func freeAddress(t *testing.T) (address netip.AddrPort) {
	t.Helper()
	require.Eventually(t, func() bool {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false
		}
		defer listener.Close()
		address = netip.MustParseAddrPort(listener.Addr().String())
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, time.Second, time.Millisecond)
	return address
}

// exchange sends one byte and waits for its echo.
func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := conn.Read(make([]byte, 1))
	return err
}

func TestFaultsOfConnections(t *testing.T) {
	cases := map[jmproxy.Fault]error{
		jmproxy.Pass:         nil,
		jmproxy.Delay:        nil,
		jmproxy.Reset:        syscall.ECONNRESET,
		jmproxy.CutRequests:  os.ErrDeadlineExceeded,
		jmproxy.CutResponses: os.ErrDeadlineExceeded,
		jmproxy.Silence:      os.ErrDeadlineExceeded,
	}
	for fault, want := range cases {
		t.Run(fault.String(), func(t *testing.T) {
			p := start(t)
			conn, err := net.Dial("tcp", p.Address.String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, exchange(conn))
			p.Set(fault)
			sentAt := time.Now()
			err = exchange(conn)
			if errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) {
				err = syscall.ECONNRESET // a reset can also cause these errors
			}
			require.ErrorIs(t, err, want)
			if fault == jmproxy.Delay {
				require.GreaterOrEqual(t, time.Since(sentAt), latency)
			}
		})
	}
}

func TestFaultsOfDatagrams(t *testing.T) {
	for fault, isForwarded := range map[jmproxy.Fault]bool{
		jmproxy.Pass: true, jmproxy.Delay: true, jmproxy.CutResponses: true,
		jmproxy.Reset: false, jmproxy.CutRequests: false, jmproxy.Silence: false,
	} {
		t.Run(fault.String(), func(t *testing.T) {
			p := start(t)
			target, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.Target))
			require.NoError(t, err)
			defer target.Close()
			p.Set(fault)
			conn, err := net.Dial("udp4", p.Address.String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte("x"))
			require.NoError(t, err)
			require.NoError(t, target.SetReadDeadline(time.Now().Add(readTimeout)))
			_, err = target.Read(make([]byte, 1))
			require.Equal(t, isForwarded, err == nil)
		})
	}
}
