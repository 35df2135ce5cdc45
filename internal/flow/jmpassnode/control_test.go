package jmpassnode_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// frozenDirectory returns the same entries from each Load. Its Watch blocks until the
// context ends.
type frozenDirectory jasminemoor.DirectoryChanges

func (d *frozenDirectory) Load(context.Context) (jasminemoor.DirectoryChanges, error) {
	return jasminemoor.DirectoryChanges(*d), nil
}

func (d *frozenDirectory) Watch(ctx context.Context, _ jasminemoor.Revision, _ time.Duration) (c jasminemoor.DirectoryChanges, err error) {
	<-ctx.Done()
	return c, ctx.Err()
}

func (*frozenDirectory) Unusable() uint64 { return 0 }

// startAgent runs an agent that loads a copy of a revision from the platform, which
// reports no changes afterwards.
func startAgent(t *testing.T, i int, revision jasminemoor.Revision) *jmpassnode.Agent {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	routing := &jasminemoor.Routing{Version: 1, Routes: []jasminemoor.Route{{
		Address: shop, Shares: []jasminemoor.Share{{Service: "shop", Weight: 1}},
	}}}
	entries := []jasminemoor.Entry{{Key: "config", Revision: 1, Routing: routing}}
	for n := jasminemoor.Revision(2); n <= revision; n++ {
		entries = append(entries, jasminemoor.Entry{Key: "u" + string(rune('0'+n)), Revision: n, Upstream: &jasminemoor.ListedUpstream{
			ID: "i", Service: "shop", Address: addr(8, int(n), upstreamPort),
		}})
	}
	a := &jmpassnode.Agent{
		Settings: &jmlocal.Settings{
			Address: addr(8, i, 0).Addr(), DataCentre: "here", FirstPort: peerPort, LastPort: peerPort, Packets: addr(8, i, packetsPort),
			Ready: addr(8, i, readyPort), Outbound: addr(8, i, outboundPort), Upstream: addr(8, i, upstreamPort), Service: "shop",
		},
		Codec: jmadapter.Codec{}, Directory: &frozenDirectory{Revision: revision, Entries: entries}, Log: logrus.NewEntry(log),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, func() bool { return a.Control() != nil && a.Control().Snapshot() != nil }, 5*time.Second, 5*time.Millisecond)
	return a
}

// TestPullsFromNewerPeer checks that an agent pulls the changes from a peer whose
// datagrams have a newer revision, though its own copy is recent and it receives no
// beacon.
func TestPullsFromNewerPeer(t *testing.T) {
	const older, newer = 4, 5
	a, _ := startAgent(t, 1, older), startAgent(t, 2, newer)
	peer := addr(8, 2, 0).Addr()
	h := &jmhop.Header{Kind: jmhop.KindAbsent, Revision: newer}
	hasCaughtUp := func() bool {
		a.Control().CheckRevision(context.Background(), time.Now(), peer, h)
		return a.Control().Snapshot().Revision == newer
	}
	require.Eventually(t, hasCaughtUp, time.Second, 10*time.Millisecond)
	require.Len(t, a.Control().Snapshot().Upstreams, newer-1)
}
