package jmpassnode

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHasEnded checks a connection that is open, has data to read, or was closed or reset by
// the other end.
func TestHasEnded(t *testing.T) {
	cases := map[string]struct {
		change func(server *net.TCPConn) error
		ended  bool
	}{
		"open":   {func(*net.TCPConn) error { return nil }, false},
		"data":   {func(server *net.TCPConn) error { _, err := server.Write([]byte("x")); return err }, false},
		"closed": {func(server *net.TCPConn) error { return server.Close() }, true},
		"reset": {func(server *net.TCPConn) error {
			if err := server.SetLinger(0); err != nil {
				return err
			}
			return server.Close()
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			require.NoError(t, err)
			defer l.Close()
			conn, err := net.DialTCP("tcp4", nil, l.Addr().(*net.TCPAddr))
			require.NoError(t, err)
			defer conn.Close()
			server, err := l.AcceptTCP()
			require.NoError(t, err)
			defer server.Close()
			// Another goroutine reads meanwhile, as watch does.
			if name != "data" {
				go func() { _, _ = conn.Read(make([]byte, 1)) }()
			}
			require.NoError(t, tc.change(server))
			if tc.ended {
				require.Eventually(t, func() bool { return hasEnded(conn) }, time.Second, time.Millisecond)
			} else {
				time.Sleep(10 * time.Millisecond)
				require.False(t, hasEnded(conn))
			}
		})
	}
}

// TestServerClosesIdleConnections has a server close connections before they are replaced. From
// the second one on they are replaced in time, until the upstream starts again.
func TestServerClosesIdleConnections(t *testing.T) {
	var term watchTerm
	former, next := listedRun{"i-1", 1}, listedRun{"i-1", 2}
	require.Equal(t, watchRenewal, term.renewal())
	term.recordEnd(former, 4*time.Second)
	require.Equal(t, 2*time.Second, term.renewal())
	term.recordRenewal(former)
	require.Equal(t, 2*time.Second, term.renewal())
	term.recordEnd(former, time.Second)
	require.Equal(t, minWatchRenewal, term.renewal())
	term.recordRenewal(next)
	require.Equal(t, watchRenewal, term.renewal(), "the connection had ended as the upstream did")
	term.recordEnd(next, 20*time.Second)
	require.Equal(t, watchRenewal, term.renewal())
}
