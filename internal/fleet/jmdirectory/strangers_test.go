package jmdirectory

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

// oddEntries returns entries that name no upstream, with keys of the size that the store takes.
func oddEntries(count int, after jasminemoor.Revision) *jasminemoor.DirectoryChanges {
	const keySize = 200
	c := &jasminemoor.DirectoryChanges{Revision: after}
	for range count {
		c.Revision++
		key := fmt.Sprintf("u/%s%07d", strings.Repeat("x", keySize-9), c.Revision)
		c.Entries = append(c.Entries, jasminemoor.Entry{Key: key, Revision: c.Revision})
	}
	return c
}

// TestManyOddEntriesFitAnswer has another writer leave more entries that name no upstream than
// fit an answer to a peer, all at once or in parts. Processes with a copy from before, from
// between, and without one get all valid entries.
func TestManyOddEntriesFitAnswer(t *testing.T) {
	const (
		count     = 100_000
		maxAnswer = 16 << 20 // bytes, as in jmpassnode
		// maxCopy is how much larger a copy may get, of the target's 128 MB in all.
		maxCopy = 8 << 20
	)
	var valid []jasminemoor.Entry
	valid = append(valid, routingEntry(1, 1, 1))
	for i := range 300 {
		valid = append(valid, upstreamEntry(i+1, jasminemoor.Revision(i+2)))
	}
	for name, part := range map[string]int{"at once": count, "in parts": count / 20} {
		t.Run(name, func(t *testing.T) {
			before := heapSize()
			m := loaded(t, startTime, valid...)
			former, between, empty := loaded(t, startTime, valid...), loaded(t, startTime, valid...), &Machine{Self: balancerAddr(1)}
			now := startTime
			for i := range count / part {
				now = now.Add(100 * time.Millisecond)
				m.HandleRead(now, Read{Since: m.Revision()}, oddEntries(part, m.Revision()), nil)
				if i == count/part/2 {
					exchangeCopies(t, now, between, m, maxAnswer)
				}
			}
			c := &jasminemoor.DirectoryChanges{Revision: m.Revision() + 2, Entries: []jasminemoor.Entry{
				upstreamEntry(301, m.Revision()+1), {Key: upstreamEntry(7, 0).Key, Revision: m.Revision() + 2},
			}}
			m.HandleRead(now, Read{Since: m.Revision()}, c, nil)
			want := m.View(now)
			require.True(t, want.Upstreams[upstreamEntry(7, 0).Upstream.Address].IsRemoved)
			for _, peer := range []*Machine{former, between, empty} {
				exchangeCopies(t, now, peer, m, maxAnswer)
				v := peer.View(now)
				require.Equal(t, want.Revision, v.Revision)
				for addr, u := range want.Upstreams {
					if u.IsReady() {
						require.True(t, v.Upstreams[addr].IsReady(), addr)
					} else if peer != empty {
						require.False(t, v.Upstreams[addr].IsReady(), addr)
					}
				}
			}
			for _, peer := range []*Machine{m, former, between, empty} {
				require.Less(t, len(peer.replica.upstreams), len(valid)+1+maxStrangers+1)
			}
			grown := int64(heapSize()) - int64(before)
			t.Logf("four copies: %d bytes", grown)
			require.Less(t, grown, int64(4*maxCopy))
			runtime.KeepAlive([]*Machine{m, former, between, empty})
		})
	}
}

// exchangeCopies pulls what a copy lacks from a peer.
func exchangeCopies(t *testing.T, now time.Time, m, peer *Machine, maxAnswer int) {
	t.Helper()
	request := m.PullRequest()
	reply := peer.HandlePullRequest(now, request)
	text, err := msgpack.Marshal(reply)
	require.NoError(t, err)
	require.LessOrEqual(t, len(text), maxAnswer)
	received := &PullReply{}
	require.NoError(t, msgpack.Unmarshal(text, received))
	m.HandlePullReply(now, request, received)
}
