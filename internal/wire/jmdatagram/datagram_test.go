package jmdatagram_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

var (
	oldKey = jmdatagram.Key{1}
	newKey = jmdatagram.Key{2}
	header = jmdatagram.Header{
		Kind:    jmdatagram.KindForward,
		Hops:    1,
		Service: 7,
		Caller:  netip.MustParseAddrPort("192.0.2.1:4433"),
		Local:   netip.MustParseAddrPort("[2001:db8::1]:443"),
	}
)

func newSealer(t testing.TB, keys ...jmdatagram.Key) *jmdatagram.Sealer {
	t.Helper()
	s, err := jmdatagram.NewSealer(keys)
	require.NoError(t, err)
	return s
}

func marshal(t testing.TB, s *jmdatagram.Sealer) []byte {
	t.Helper()
	datagram := append(make([]byte, jmdatagram.HeaderSize), "payload"...)
	s.Marshal(datagram, &header)
	return datagram
}

func TestMarshalUnmarshal(t *testing.T) {
	datagram := marshal(t, newSealer(t, oldKey))
	var got jmdatagram.Header
	require.NoError(t, newSealer(t, oldKey).Unmarshal(datagram, &got))
	require.Equal(t, header, got)
	require.Equal(t, "payload", string(datagram[jmdatagram.HeaderSize:]))
}

func TestUnmarshalRefuses(t *testing.T) {
	s := newSealer(t, oldKey)
	change := func(at int) []byte {
		datagram := marshal(t, s)
		datagram[at] ^= 1
		return datagram
	}
	cases := map[string]struct {
		datagram []byte
		err      error
	}{
		"empty":            {nil, jmdatagram.ErrShort},
		"cut":              {marshal(t, s)[:jmdatagram.HeaderSize-1], jmdatagram.ErrShort},
		"unknown kind":     {append([]byte{9}, marshal(t, s)[1:]...), jmdatagram.ErrKind},
		"changed hops":     {change(1), jmdatagram.ErrTag},
		"changed service":  {change(3), jmdatagram.ErrTag},
		"changed caller":   {change(19), jmdatagram.ErrTag},
		"changed local":    {change(30), jmdatagram.ErrTag},
		"changed tag":      {change(jmdatagram.HeaderSize - 1), jmdatagram.ErrTag},
		"another length":   {append(marshal(t, s), 0), jmdatagram.ErrTag},
		"another key":      {marshal(t, newSealer(t, newKey)), jmdatagram.ErrTag},
		"all zero, a kind": {append([]byte{byte(jmdatagram.KindReturn)}, make([]byte, 200)...), jmdatagram.ErrTag},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got jmdatagram.Header
			require.ErrorIs(t, s.Unmarshal(tc.datagram, &got), tc.err)
		})
	}
}

// TestKeyRotation goes through the three steps of a key rotation. At each step,
// processes with the keys before and after it must accept each other's datagrams,
// since not all of them change their keys at once.
func TestKeyRotation(t *testing.T) {
	steps := [][]jmdatagram.Key{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for i := 1; i < len(steps); i++ {
		before, after := newSealer(t, steps[i-1]...), newSealer(t, steps[i]...)
		var got jmdatagram.Header
		require.NoError(t, after.Unmarshal(marshal(t, before), &got))
		require.NoError(t, before.Unmarshal(marshal(t, after), &got))
	}
}

func TestSealerDoesNotAllocate(t *testing.T) {
	s := newSealer(t, oldKey, newKey)
	datagram := marshal(t, s)
	var got jmdatagram.Header
	require.Zero(t, testing.AllocsPerRun(100, func() {
		s.Marshal(datagram, &header)
		_ = s.Unmarshal(datagram, &got)
	}))
}

type message struct {
	Name  string
	Count int
}

func TestControl(t *testing.T) {
	keys := []jmdatagram.ControlKey{{1}, {2}}
	datagram, err := jmdatagram.MarshalControl(keys[1], message{Name: "ping", Count: 3})
	require.NoError(t, err)
	var got message
	require.NoError(t, jmdatagram.UnmarshalControl(keys, datagram, &got))
	require.Equal(t, message{Name: "ping", Count: 3}, got)

	require.ErrorIs(t, jmdatagram.UnmarshalControl(keys[:1], datagram, &got), jmdatagram.ErrTag)
	require.ErrorIs(t, jmdatagram.UnmarshalControl(nil, datagram, &got), jmdatagram.ErrTag)
	require.ErrorIs(t, jmdatagram.UnmarshalControl(keys, datagram[:10], &got), jmdatagram.ErrShort)
	_, err = jmdatagram.MarshalControl(keys[0], bytes.Repeat([]byte{1}, jmdatagram.MaxControlSize))
	require.ErrorContains(t, err, "too large")
}

// FuzzUnmarshal checks that a header that Unmarshal accepts marshals to the same
// first bytes.
func FuzzUnmarshal(f *testing.F) {
	f.Add(marshal(f, newSealer(f, oldKey)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		s := newSealer(t, oldKey)
		var got jmdatagram.Header
		if s.Unmarshal(datagram, &got) != nil {
			return
		}
		again := bytes.Clone(datagram)
		s.Marshal(again, &got)
		require.Equal(t, datagram[:4], again[:4])
	})
}

// FuzzUnmarshalControl checks that UnmarshalControl does not panic, for any datagram
// and for any body under a valid tag.
func FuzzUnmarshalControl(f *testing.F) {
	f.Add([]byte{0x82})
	f.Add([]byte("\x82\xa4Name\xa4ping\xa5Count\x03"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var got message
		_ = jmdatagram.UnmarshalControl([]jmdatagram.ControlKey{{}}, body, &got)
		if datagram, err := jmdatagram.MarshalControl(jmdatagram.ControlKey{}, body); err == nil {
			_ = jmdatagram.UnmarshalControl([]jmdatagram.ControlKey{{}}, datagram, &got)
		}
	})
}
