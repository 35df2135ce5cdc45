package jmhop_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

func TestHeader(t *testing.T) {
	for name, h := range map[string]jmhop.Header{
		"handed on": {Kind: jmhop.KindForward, Flags: jmhop.FlagKnown, Hops: 1, Wait: 7 * jmhop.WaitUnit},
		"forward":   {Kind: jmhop.KindForward, Flags: jmhop.FlagKnown, Hops: 2, Origin: netip.MustParseAddr("10.0.0.1")},
		"IPv6":      {Kind: jmhop.KindAsk, Origin: netip.MustParseAddr("2001:db8::1")},
		"retry":     {Kind: jmhop.KindFlowReset, Age: 600 * time.Millisecond, DataCentre: 7},
		"no origin": {Kind: jmhop.KindReport, Revision: 1 << 31},
	} {
		t.Run(name, func(t *testing.T) {
			b := make([]byte, jmhop.HeaderSize)
			h.Marshal(b)
			var got jmhop.Header
			require.NoError(t, got.Unmarshal(b))
			require.Equal(t, h, got)
		})
	}
}

func TestIsAhead(t *testing.T) {
	cases := map[string]struct {
		sender, receiver jasminemoor.Revision
		want             bool
	}{
		"newer":                       {8, 7, true},
		"the same":                    {7, 7, false},
		"older":                       {6, 7, false},
		"not given":                   {0, 7, false},
		"newer, the low bits wrapped": {1<<32 + 2, 1<<32 - 1, true},
		"older, the low bits wrapped": {1<<32 - 1, 1<<32 + 1, false},
		"newer era, lower counter":    {jasminemoor.NewRevision(1, 3), 7, true},
		"newer era, higher counter":   {jasminemoor.NewRevision(1, 9), 7, true},
		"former era, higher counter":  {9, jasminemoor.NewRevision(1, 3), false},
		"newer in the same era":       {jasminemoor.NewRevision(2, 8), jasminemoor.NewRevision(2, 7), true},
		"newer, the era wrapped":      {jasminemoor.NewRevision(257, 1), jasminemoor.NewRevision(255, 1), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := jmhop.Header{Revision: jmhop.NewRevisionCode(tc.sender)}
			require.Equal(t, tc.want, h.IsAhead(jmhop.NewRevisionCode(tc.receiver)))
		})
	}
}

// TestAgeIsBounded checks that ages are rounded down to AgeUnit, and limited to
// what one byte holds.
func TestAgeIsBounded(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		-time.Second:            0,
		jmhop.AgeUnit - 1:       0,
		3*jmhop.AgeUnit + 1:     3 * jmhop.AgeUnit,
		time.Hour:               255 * jmhop.AgeUnit,
		255*jmhop.AgeUnit + 100: 255 * jmhop.AgeUnit,
	} {
		b := make([]byte, jmhop.HeaderSize)
		h := jmhop.Header{Kind: jmhop.KindFlowReset, Age: age}
		h.Marshal(b)
		require.NoError(t, h.Unmarshal(b))
		require.Equal(t, want, h.Age, age)
	}
}

func TestUnmarshalRefuses(t *testing.T) {
	var h jmhop.Header
	require.ErrorIs(t, h.Unmarshal(make([]byte, jmhop.HeaderSize-1)), jmhop.ErrShort)
	require.ErrorIs(t, h.Unmarshal(make([]byte, jmhop.HeaderSize)), jmhop.ErrKind)
	var r jmhop.Report
	require.ErrorIs(t, r.Unmarshal(make([]byte, jmhop.ReportSize-1)), jmhop.ErrShort)
}

func TestReport(t *testing.T) {
	r := jmhop.Report{
		Incarnation: 1 << 50, Waiting: 7, Flows: 300, Failures: 1000, State: jmhop.ReportLeaving, Revision: 99,
		Wait: 120 * time.Millisecond, Room: 12, Work: 26300 * time.Microsecond,
	}
	b := r.Append(nil)
	require.Len(t, b, jmhop.ReportSize)
	var got jmhop.Report
	require.NoError(t, got.Unmarshal(b))
	require.Equal(t, r, got)

	// A report of an earlier version sets no limit.
	r.Wait, r.Room, r.Work = 0, jmhop.NoLimit, 0
	require.NoError(t, got.Unmarshal(b[:23]))
	require.Equal(t, r, got)
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(make([]byte, jmhop.HeaderSize+jmhop.ReportSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		var h jmhop.Header
		if h.Unmarshal(b) != nil {
			return
		}
		again := make([]byte, jmhop.HeaderSize)
		h.Marshal(again)
		require.Equal(t, b[:3], again[:3])
		var r jmhop.Report
		_ = r.Unmarshal(b[jmhop.HeaderSize:])
	})
}

func TestFlowList(t *testing.T) {
	key := jasminemoor.NewFlowKey(netip.MustParseAddrPort("100.64.0.7:1025"), netip.MustParseAddrPort("198.18.0.1:443"))
	for name, l := range map[string]jmhop.FlowList{
		"empty": {Incarnation: 1 << 50, Upstream: 8080},
		"flows": {
			Incarnation: 7, Upstream: 8080, Total: 22, First: 20, IsWhole: true,
			Flows: []jmhop.ListedFlow{{Key: key, OpenReply: 5, LastAck: 6, DataEnd: 7, HasOpenReply: true}, {Key: key, LastAck: 1 << 31}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := l.Append(nil)
			got := jmhop.FlowList{IsWhole: true, Flows: []jmhop.ListedFlow{{}}}
			require.NoError(t, got.Unmarshal(b))
			require.Equal(t, l, got)
			require.ErrorIs(t, got.Unmarshal(b[:len(b)-1]), jmhop.ErrShort)
			require.ErrorIs(t, got.Unmarshal(append(b, 0)), jmhop.ErrShort)
		})
	}
	full := jmhop.FlowList{Flows: make([]jmhop.ListedFlow, jmhop.MaxListedFlows)}
	require.LessOrEqual(t, jmhop.HeaderSize+len(full.Append(nil)), 1200)
}
