package jmprocess_test

import (
	"os"
	"os/exec"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperationsTrial runs the first shell block of the operations page unchanged.
func TestOperationsTrial(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	block := regexp.MustCompile("(?s)```sh\n(.*?)```").FindSubmatch(page)
	require.NotNil(t, block)
	const endAll = "trap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"
	cmd := exec.Command("bash", "-e", "-c", endAll+string(block[1]))
	cmd.Dir = "../../.."
	output, err := cmd.CombinedOutput()
	t.Cleanup(func() { _ = os.RemoveAll("../../../trial") })
	require.NoError(t, err, string(output))
	require.Contains(t, string(output), "BOOKED order-1 shop-")
	require.Contains(t, string(output), "balancer 127.0.1.1:7000#")
	require.Contains(t, string(output), "2 upstreams work")
}
