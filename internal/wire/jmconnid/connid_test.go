package jmconnid_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
)

var (
	keyOne   = jmconnid.Key{Number: 1, Secret: [16]byte{1}, IsSealing: true}
	keyTwo   = jmconnid.Key{Number: 2, Secret: [16]byte{2}}
	prefixV4 = jmconnid.Prefix{Number: 1, Prefix: netip.MustParsePrefix("10.1.0.0/16")}
	prefixV6 = jmconnid.Prefix{Number: 2, Prefix: netip.MustParsePrefix("2001:db8:0:0:0:1::/96")}
)

func newCodec(t testing.TB, keys ...jmconnid.Key) *jmconnid.Codec {
	t.Helper()
	c, err := jmconnid.New(keys, []jmconnid.Prefix{prefixV4, prefixV6})
	require.NoError(t, err)
	return c
}

func TestSealOpen(t *testing.T) {
	routes := map[string]jmconnid.Route{
		"IPv4":          {Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100"), Incarnation: 9, Nonce: 1},
		"IPv6":          {Service: 65535, Agent: netip.MustParseAddrPort("[2001:db8::1:aabb:ccdd]:65535"), Nonce: 2},
		"largest nonce": {Service: 1, Agent: netip.MustParseAddrPort("10.1.0.0:1"), Incarnation: 65535, Nonce: 1<<40 - 1},
	}
	c := newCodec(t, keyOne, keyTwo)
	for name, route := range routes {
		t.Run(name, func(t *testing.T) {
			id, err := c.Seal(route)
			require.NoError(t, err)
			opener := jmconnid.Opener{Codec: c}
			opened, err := opener.Open(id[:])
			require.NoError(t, err)
			require.Equal(t, route, opened)
		})
	}
}

func TestOpenRefuses(t *testing.T) {
	c := newCodec(t, keyOne)
	id, err := c.Seal(jmconnid.Route{Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100")})
	require.NoError(t, err)
	outside, err := jmconnid.New([]jmconnid.Key{keyOne}, []jmconnid.Prefix{{Number: 1, Prefix: netip.MustParsePrefix("10.2.0.0/16")}})
	require.NoError(t, err)
	unknown := id
	unknown[0] = 9
	forged := id
	forged[5] ^= 1
	cases := map[string]struct {
		codec *jmconnid.Codec
		id    []byte
		err   error
	}{
		"too short":           {c, id[:19], jmconnid.ErrLength},
		"too long":            {c, append(id[:], 0), jmconnid.ErrLength},
		"empty":               {c, nil, jmconnid.ErrLength},
		"unknown key":         {c, unknown[:], jmconnid.ErrUnknownKey},
		"flipped bit":         {c, forged[:], jmconnid.ErrForged},
		"outside the prefix":  {outside, id[:], jmconnid.ErrPrefix},
		"another fleet's key": {newCodec(t, jmconnid.Key{Number: 1, Secret: [16]byte{9}, IsSealing: true}), id[:], jmconnid.ErrForged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			opener := jmconnid.Opener{Codec: tc.codec}
			_, err := opener.Open(tc.id)
			require.ErrorIs(t, err, tc.err)
		})
	}
}

func TestKeyRotation(t *testing.T) {
	route := jmconnid.Route{Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100"), Nonce: 5}
	old, err := newCodec(t, keyOne).Seal(route)
	require.NoError(t, err)
	retired, sealing := keyOne, keyTwo
	retired.IsSealing, sealing.IsSealing = false, true
	rotated := newCodec(t, retired, sealing)

	opener := jmconnid.Opener{Codec: rotated}
	opened, err := opener.Open(old[:])
	require.NoError(t, err, "the old key must still open the IDs of open flows")
	require.Equal(t, route, opened)
	renewed, err := rotated.Seal(route)
	require.NoError(t, err)
	require.Equal(t, byte(2), renewed[0], "new IDs must have the number of the new key")
}

func TestNewRefuses(t *testing.T) {
	second := keyTwo
	second.IsSealing = true
	cases := map[string]struct {
		keys     []jmconnid.Key
		prefixes []jmconnid.Prefix
		text     string
	}{
		"no sealing key":   {[]jmconnid.Key{keyTwo}, nil, "no sealing key"},
		"two sealing keys": {[]jmconnid.Key{keyOne, second}, nil, "both sealing"},
		"number twice":     {[]jmconnid.Key{keyOne, keyOne}, nil, "used twice"},
		"prefix twice":     {[]jmconnid.Key{keyOne}, []jmconnid.Prefix{prefixV4, prefixV4}, "used twice"},
		"wide IPv6 prefix": {[]jmconnid.Key{keyOne}, []jmconnid.Prefix{{Prefix: netip.MustParsePrefix("2001:db8::/64")}}, "leaves more than 32 bits"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := jmconnid.New(tc.keys, tc.prefixes)
			require.ErrorContains(t, err, tc.text)
		})
	}
}

func TestSealOutsidePrefix(t *testing.T) {
	_, err := newCodec(t, keyOne).Seal(jmconnid.Route{Agent: netip.MustParseAddrPort("192.0.2.1:1")})
	require.ErrorIs(t, err, jmconnid.ErrPrefix)
}

func TestOpenDoesNotAllocate(t *testing.T) {
	c := newCodec(t, keyOne)
	id, err := c.Seal(jmconnid.Route{Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100")})
	require.NoError(t, err)
	opener := &jmconnid.Opener{Codec: c}
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = opener.Open(id[:]) }))
}

// FuzzOpen checks that an ID that opens is the one that Seal returns for its
// route. Otherwise a caller could make an ID that leads to an address of its choice.
func FuzzOpen(f *testing.F) {
	c := newCodec(f, keyOne, keyTwo)
	sealed, err := c.Seal(jmconnid.Route{Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100"), Nonce: 77})
	require.NoError(f, err)
	f.Add(sealed[:])
	f.Add([]byte{})
	f.Add(make([]byte, jmconnid.Length))
	f.Fuzz(func(t *testing.T, id []byte) {
		opener := jmconnid.Opener{Codec: c}
		route, err := opener.Open(id)
		if err != nil {
			return
		}
		again, err := c.Seal(route)
		require.NoError(t, err)
		if id[0] == 1 {
			require.Equal(t, id, again[:])
		}
	})
}

// FuzzParsePacket checks that ParsePacket returns either a valid packet or
// ErrPacket for any datagram.
func FuzzParsePacket(f *testing.F) {
	f.Add([]byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0})
	f.Add([]byte{0x40, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		p, err := jmconnid.ParsePacket(datagram)
		if err != nil {
			require.ErrorIs(t, err, jmconnid.ErrPacket)
			return
		}
		require.LessOrEqual(t, len(p.Destination), 20)
		require.False(t, p.MayOpenFlow && !p.HasLongHeader)
	})
}

func BenchmarkOpen(b *testing.B) {
	c := newCodec(b, keyOne)
	id, err := c.Seal(jmconnid.Route{Service: 7, Agent: netip.MustParseAddrPort("10.1.2.3:7100")})
	require.NoError(b, err)
	opener := &jmconnid.Opener{Codec: c}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = opener.Open(id[:])
	}
}
