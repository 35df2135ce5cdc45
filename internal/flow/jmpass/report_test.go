package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestReportsAreBounded has hundreds of balancers send packets to one agent, as
// at the users' target. All hear of its load in turn, and control stays cheap.
func TestReportsAreBounded(t *testing.T) {
	const (
		balancers = 690
		seconds   = 60
	)
	a := newAgent(true, snapshot(1))
	heard := make(map[netip.Addr]int)
	sent := 0
	for now := begun; now.Sub(begun) < seconds*time.Second; now = now.Add(25 * time.Millisecond) {
		if now.Sub(begun)%time.Second == 0 {
			for i := range balancers {
				h := &jmhop.Header{Kind: jmhop.KindForward, Origin: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})}
				_, _ = a.HandlePeer(now, h.Origin, h, data(callerSequence, 0), nil)
			}
		}
		out, _ := a.Tick(now)
		for i := range out {
			if out[i].Report != nil {
				heard[out[i].To]++
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, idleReportBurst+seconds*idleReportRate)
	require.Len(t, heard, balancers)
}
