package jmprocess_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
)

// peakMemory returns the largest resident size that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	require.True(t, found)
	size, err := strconv.Atoi(strings.Fields(string(rest))[0])
	require.NoError(t, err)
	return size << 10
}

// TestLargeOddEntriesFitMemory has another writer leave a hundred entries of the largest size that
// the store takes. Processes that run read them as changes, and those that are restarted with
// all others. The configuration after them is in force, within the memory that a process may have.
func TestLargeOddEntriesFitMemory(t *testing.T) {
	const (
		entries, size = 100, 1 << 20
		maxMemory     = 128 << 20
		inForceTime   = 5 * time.Second
	)
	binary, err := jmprocess.Build(context.Background(), t.TempDir(), false)
	require.NoError(t, err)
	s := newSoak(t, 1, binary, 10*time.Millisecond)
	s.start()
	require.True(t, eventually(s.servesNewest, inForceTime))
	value := strings.Repeat("x", size)
	for i := range entries {
		s.store.Put(fmt.Sprint("servers/blob-", i), value)
	}
	s.publishConfig()
	require.True(t, eventually(s.servesNewest, inForceTime), "after the changes")
	for _, name := range []string{"agent-1", "balancer-2"} {
		s.processes[name].Kill()
	}
	s.startProcess("agent", addrAgent, 1, false)
	s.startProcess("balancer", addrBalancer, 2, false)
	require.True(t, eventually(func() bool { return len(s.readyBalancers()) == *soakBalancers }, inForceTime))
	s.publishConfig()
	require.True(t, eventually(s.servesNewest, inForceTime), "after the restarts")
	for name, p := range s.processes {
		peak := peakMemory(t, p.Pid())
		t.Logf("%s: at most %.1f MB", name, float64(peak)/1e6)
		require.Less(t, peak, maxMemory, name)
	}
}

var oddCount = flag.Int("odd-entries", 2000, "number of complete entries of services without a name in the configuration")

// TestServesAmongOddEntries kills all processes and has another writer leave odd entries of many
// kinds before they start again. Requests must be served, by each balancer, and a configuration
// after that be in force.
func TestServesAmongOddEntries(t *testing.T) {
	const (
		recovery    = 12 * time.Second
		inForceTime = 5 * time.Second
		maxMemory   = 128 << 20
	)
	binary, err := jmprocess.Build(context.Background(), t.TempDir(), false)
	require.NoError(t, err)
	s := newSoak(t, 1, binary, 10*time.Millisecond)
	s.start()
	require.True(t, eventually(s.servesNewest, inForceTime))
	for _, p := range s.processes {
		p.Kill()
	}
	complete := func(service, address, state string) map[string]any {
		return map[string]any{
			"service": service, "address": address, "zone": "here", "max_concurrency": soakSlots, "state": state,
			"version": "v9", "seq": 1, "born": time.Now().UnixMilli(), "cold_left_ms": 0,
		}
	}
	for i, address := range []string{"[::1]:8080", "[::ffff:127.0.0.1]:8080", "[fe80::1%lo]:8080", "255.255.255.255:9", "0.0.0.0:9", "224.0.0.1:9", "127.0.0.1:0", "shop:80", ""} {
		s.store.Put(fmt.Sprint("servers/odd-", i), complete("shop", address, "ready"))
		s.store.Put(fmt.Sprint("servers/partial-", i), map[string]any{"service": "shop", "address": address, "state": "ready"})
	}
	for i, value := range []any{nil, 1, "text", []any{}, map[string]any{}, strings.Repeat("[", 100_000)} {
		s.store.Put(fmt.Sprint("servers/value-", i), value)
	}
	for i := range *oddCount {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 99, byte(i >> 8), byte(i)}), 8080)
		s.store.Put(fmt.Sprint("servers/unnamed-", i), complete(fmt.Sprint(strings.Repeat("x", 190), i), address.String(), "ready"))
	}
	for i := 1; i <= *soakBalancers; i++ {
		s.startProcess("balancer", addrBalancer, i, false)
	}
	for i := 1; i <= *soakAgents; i++ {
		s.startProcess("agent", addrAgent, i, false)
	}
	began := time.Now()
	if !eventually(func() bool { return len(s.readyBalancers()) == *soakBalancers }, recovery) {
		s.keepLogs()
		t.Fatal("balancers aren't ready")
	}
	t.Logf("ready after %s", time.Since(began))
	require.True(t, eventually(s.servesNewest, recovery))
	t.Logf("serves after %s", time.Since(began))
	s.publishConfig()
	if !eventually(s.servesNewest, inForceTime) {
		s.keepLogs()
		t.Fatal("configuration isn't in force")
	}
	for name, p := range s.processes {
		peak := peakMemory(t, p.Pid())
		t.Logf("%s: at most %.1f MB", name, float64(peak)/1e6)
		require.Less(t, peak, maxMemory, name)
	}
}
