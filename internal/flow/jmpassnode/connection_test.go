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
