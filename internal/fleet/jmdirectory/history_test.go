package jmdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestHistory covers what a copy concludes on how long the address of upstream 1 has been
// listed, and after which time the upstream started.
func TestHistory(t *testing.T) {
	type change struct {
		after   time.Duration
		isWhole bool
		entries []jasminemoor.Entry
	}
	const recent, long = 5_000, 60_000 // start times, in milliseconds before startTime
	entry := func(key string, revision jasminemoor.Revision, bornBefore int64, edit ...func(u *jasminemoor.ListedUpstream)) jasminemoor.Entry {
		e := upstreamEntry(1, revision)
		e.Key, e.Upstream.ID, e.Upstream.Born, e.Upstream.Created = key, key, startTime.UnixMilli()-bornBefore, 1
		for _, each := range edit {
			each(e.Upstream)
		}
		return e
	}
	isCold := func(u *jasminemoor.ListedUpstream) { u.WarmIn = time.Second }
	isLeaving := func(u *jasminemoor.ListedUpstream) { u.State = jasminemoor.UpstreamLeaving }
	createdAgain := func(u *jasminemoor.ListedUpstream) { u.Created = 9 }
	ofDesk := func(u *jasminemoor.ListedUpstream) { u.Service = "desk" }
	removal := func(key string, revision jasminemoor.Revision) jasminemoor.Entry {
		return jasminemoor.Entry{Key: key, Revision: revision}
	}
	load := func(entries ...jasminemoor.Entry) change { return change{0, true, entries} }
	at := func(d time.Duration) *time.Time { x := startTime.Add(d); return &x }
	unknown := &time.Time{}
	const unconfirmed = 5 * time.Second // before a change is seen, the copy was last confirmed
	cases := map[string]struct {
		changes      []change
		listedSince  *time.Time
		startedAfter *time.Time
	}{
		"first copy": {[]change{load(entry("a", 1, long))}, at(0), unknown},
		"first copy, warming up": {
			[]change{load(entry("a", 1, 2_000, isCold))}, at(0), at(-2*time.Second - clockTolerance),
		},
		"first copy, cold entry of an old start": {[]change{load(entry("a", 1, long, isCold))}, at(0), unknown},
		"first copy, clock far ahead":            {[]change{load(entry("a", 1, -long, isCold))}, at(0), unknown},
		"first copy, former upstream listed as well": {
			[]change{load(entry("a", 1, long), entry("b", 2, recent))},
			at(-55*time.Second + clockTolerance), at(-entryLapse),
		},
		"first copy, former upstream ran for a moment": {
			[]change{load(entry("a", 1, recent+1000), entry("b", 2, recent))}, at(0), at(-entryLapse),
		},
		"replaced, former upstream still listed": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{entry("b", 2, recent)}}},
			at(0), at(30*time.Second - unconfirmed - entryLapse),
		},
		"replaced under the same key": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{entry("a", 2, recent)}}},
			at(0), at(30*time.Second - unconfirmed - entryLapse),
		},
		"replaced after the former entry's removal": {
			[]change{
				load(entry("a", 1, long)),
				{10 * time.Second, false, []jasminemoor.Entry{removal("a", 2)}},
				{30 * time.Second, false, []jasminemoor.Entry{entry("b", 3, recent)}},
			},
			at(30 * time.Second), at(10*time.Second - unconfirmed - entryLapse),
		},
		"replaced in one answer, removed before": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{removal("a", 2), entry("b", 3, recent)}}},
			at(30 * time.Second), at(30*time.Second - unconfirmed - entryLapse),
		},
		"replaced in another whole copy": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, true, []jasminemoor.Entry{entry("b", 3, recent)}}},
			at(30 * time.Second), at(30*time.Second - unconfirmed - entryLapse),
		},
		"lapsed and returned": {
			[]change{
				load(entry("a", 1, long)),
				{10 * time.Second, false, []jasminemoor.Entry{removal("a", 2)}},
				{11 * time.Second, false, []jasminemoor.Entry{entry("a", 3, long)}},
			},
			at(11 * time.Second), unknown,
		},
		"lapsed and returned unseen": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{entry("a", 3, long, createdAgain)}}},
			at(30 * time.Second), unknown,
		},
		"changed": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{entry("a", 3, long)}}}, at(0), unknown,
		},
		"leaving": {
			[]change{load(entry("a", 1, long)), {30 * time.Second, false, []jasminemoor.Entry{entry("a", 3, long, isLeaving)}}}, unknown, unknown,
		},
		"joins": {
			[]change{load(), {30 * time.Second, false, []jasminemoor.Entry{entry("a", 3, long)}}}, at(30 * time.Second), unknown,
		},
		"address of another service before": {
			[]change{load(entry("a", 1, long, ofDesk)), {30 * time.Second, false, []jasminemoor.Entry{entry("b", 3, recent)}}},
			at(30 * time.Second), unknown,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r replica
			for _, c := range tc.changes {
				now := startTime.Add(c.after)
				revision := jasminemoor.Revision(1)
				for _, e := range c.entries {
					revision = max(revision, e.Revision)
				}
				if c.after > 0 {
					r.asOf = now.Add(-unconfirmed)
				}
				r.applyEntries(now, &jasminemoor.DirectoryChanges{Revision: revision, Entries: c.entries}, c.isWhole)
				r.asOf = now
			}
			u := r.view(startTime.Add(30 * time.Second)).Agents[agentAddr(1)]
			require.Equal(t, "shop", u.Service)
			require.Equal(t, *tc.listedSince, u.ListedSince, "listed since")
			require.Equal(t, *tc.startedAfter, u.StartedAfter, "started after")
		})
	}
}
