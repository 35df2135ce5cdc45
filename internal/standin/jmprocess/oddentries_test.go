package jmprocess_test

import (
	"bytes"
	"context"
	"fmt"
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
