package jmpassnode

import (
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// TestDecisionLeftOutAllocatesNothing logs more decisions in a second than the log admits. After
// a balancer's restart each packet of a flow that it doesn't know is a notable decision.
func TestDecisionLeftOutAllocatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := &process{
			settings: &jmlocal.Settings{Name: "entry"}, codec: jmadapter.Codec{}, control: &Control{}, decisions: &jmdecision.Log{Log: log},
		}
		packet := &jasminemoor.Packet{
			Source: netip.MustParseAddrPort("100.64.0.1:1025"), Destination: benchService, Flags: jasminemoor.FlagAck | jasminemoor.FlagOpen,
		}
		m := &jmpass.Message{Kind: jmpass.ToPeer, To: netip.MustParseAddr("10.0.0.1")}
		for _, reason := range []jmpass.Reason{jmpass.ReasonUnknown, jmpass.ReasonPlaced} {
			write := func() { p.logDecision(time.Now(), reason, packet, nil, m) }
			for range jmdecision.LinesPerSecond {
				write()
			}
			require.Zero(t, testing.AllocsPerRun(100, write), "reason %s", reason)
		}
	})
}
