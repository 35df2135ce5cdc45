package jmprocess_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallListen sends a booking and opens a feed as plain TCP clients of
// call -listen. After SIGTERM, the command keeps an open feed and exits when the feed
// has ended.
func TestCallListen(t *testing.T) {
	fleet := startFleet(t, 22)
	shop := fleet.Layout.Services[0]
	const requests, feeds = "127.22.0.9:9801", "127.22.0.9:9802"
	start := func(args ...string) *exec.Cmd {
		cmd := exec.Command(binary, append([]string{"call", "-address", shop.Address.String(),
			"-server-name", shop.ServerName, "-ca", fleet.RootFile()}, args...)...)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		return cmd
	}
	start("-listen", requests)
	feedCommand := start("-listen", feeds, "-feed")

	conn := dial(t, requests)
	_, err := io.WriteString(conn, "BOOK order-1")
	require.NoError(t, err)
	require.NoError(t, conn.CloseWrite())
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "BOOKED order-1 shop-floor-")

	feed := dial(t, feeds)
	ticks := openTicks(t, feed, 10*time.Millisecond)
	ticks.next(10)
	require.NoError(t, feedCommand.Process.Signal(syscall.SIGTERM))
	ticks.next(50)
	require.NoError(t, feed.Close())
	require.NoError(t, feedCommand.Wait(), "the command ends after the feed")
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	var conn net.Conn
	require.Eventually(t, func() (ok bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	}, 5*time.Second, 20*time.Millisecond)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestOperatorCommands runs status and explain against running processes, and
// explain against a settings directory. After an agent is killed, explain shows that
// its upstream is not ranked.
func TestOperatorCommands(t *testing.T) {
	fleet := startFleet(t, 23)
	output := func(args ...string) string {
		var out, errOut bytes.Buffer
		cmd := exec.Command(binary, args...)
		cmd.Stdout, cmd.Stderr = &out, &errOut
		require.NoError(t, cmd.Run(), errOut.String())
		return out.String()
	}
	balancer := fmt.Sprintf("http://%s", fleet.EndpointAddress("b1"))
	agent := fmt.Sprintf("http://%s", fleet.EndpointAddress("agent-shop-floor-1"))

	text := output("status", "-operator", agent)
	require.Contains(t, text, "agent 127.23.2.1:7100")
	require.Contains(t, text, "settings Teams/rangla: revision")
	require.Contains(t, text, "0 flows, 0 requests running")
	require.Contains(t, output("status", "-operator", balancer, "-json"), `"Role": "balancer"`)

	offline := output("explain", "-service", "rangla/shop-floor", "-id", "0102030405060708", "-settings", fleet.SettingsDir())
	live := output("explain", "-service", "rangla/shop-floor", "-id", "0102030405060708", "-operator", balancer)
	require.Contains(t, offline, "a flow with the first connection ID 0102030405060708 goes to shop-floor-")
	require.Equal(t, firstLine(offline, "a flow"), firstLine(live, "a flow"), "settings directory and balancer give the same ranking")

	fleet.Process("agent-shop-floor-1").Kill()
	other := fmt.Sprintf("http://%s", fleet.EndpointAddress("agent-shop-floor-2"))
	for _, operator := range []string{balancer, other} {
		require.Eventually(t, func() bool {
			live = output("explain", "-service", "rangla/shop-floor", "-operator", operator, "-json")
			return strings.Contains(live, `"IsRanked": false`)
		}, 20*time.Second, 200*time.Millisecond)
	}
}

// firstLine returns the first line of the text that has the prefix.
func firstLine(text, prefix string) string {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, prefix) {
			return line
		}
	}
	return ""
}
