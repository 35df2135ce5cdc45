package jmconnid_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
)

func TestParsePacket(t *testing.T) {
	id := []byte{1, 2, 3, 4, 5, 6, 7, 8}
	long := func(first byte, version ...byte) []byte {
		return append(append(append([]byte{first}, version...), 8), append(bytes.Clone(id), 0)...)
	}
	short := append([]byte{0x40}, bytes.Repeat([]byte{9}, 21)...)
	cases := map[string]struct {
		datagram []byte
		packet   jmconnid.Packet
		isBad    bool
	}{
		"initial":             {long(0xC0, 0, 0, 0, 1), jmconnid.Packet{Destination: id, HasLongHeader: true, MayOpenFlow: true}, false},
		"0-RTT":               {long(0xD0, 0, 0, 0, 1), jmconnid.Packet{Destination: id, HasLongHeader: true, MayOpenFlow: true}, false},
		"handshake":           {long(0xE0, 0, 0, 0, 1), jmconnid.Packet{Destination: id, HasLongHeader: true}, false},
		"retry":               {long(0xF0, 0, 0, 0, 1), jmconnid.Packet{Destination: id, HasLongHeader: true}, false},
		"version 2 initial":   {long(0xD0, 0x6b, 0x33, 0x43, 0xcf), jmconnid.Packet{Destination: id, HasLongHeader: true, MayOpenFlow: true}, false},
		"version 2 handshake": {long(0xF0, 0x6b, 0x33, 0x43, 0xcf), jmconnid.Packet{Destination: id, HasLongHeader: true}, false},
		"version negotiation": {long(0xC0, 0, 0, 0, 0), jmconnid.Packet{Destination: id, HasLongHeader: true}, false},
		"unknown version":     {long(0xF0, 9, 9, 9, 9), jmconnid.Packet{Destination: id, HasLongHeader: true, MayOpenFlow: true}, false},
		"short":               {short, jmconnid.Packet{Destination: short[1:21]}, false},
		"empty":               {nil, jmconnid.Packet{}, true},
		"short, cut":          {short[:20], jmconnid.Packet{}, true},
		"long, cut":           {long(0xC0, 0, 0, 0, 1)[:5], jmconnid.Packet{}, true},
		"ID cut":              {long(0xC0, 0, 0, 0, 1)[:10], jmconnid.Packet{}, true},
		"ID too long":         {append([]byte{0xC0, 0, 0, 0, 1, 21}, make([]byte, 30)...), jmconnid.Packet{}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			packet, err := jmconnid.ParsePacket(tc.datagram)
			if tc.isBad {
				require.ErrorIs(t, err, jmconnid.ErrPacket)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.packet, packet)
		})
	}
}
