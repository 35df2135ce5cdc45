package jmpassnode_test

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// clientFrom returns an HTTP client that connects from an instance's address.
func clientFrom(from netip.Addr) *http.Client {
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

// sendBad sends datagrams that are truncated, too long, of unknown kinds or flags, or
// forged.
func (s *site) sendBad(targets ...netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr(3, 9, 0)))
	require.NoError(s.t, err)
	defer conn.Close()
	head := make([]byte, 32)
	head[18] = 0xff
	var bad [][]byte
	for kind := range 256 {
		forged := make([]byte, jmhop.HeaderSize+40)
		forged[0] = byte(kind)
		bad = append(bad, forged, forged[:3], append(forged[:jmhop.HeaderSize:jmhop.HeaderSize], head...))
	}
	bad = append(bad, nil, []byte{1}, head, make([]byte, 31), make([]byte, 1400))
	for _, to := range targets {
		for _, b := range bad {
			_, err = conn.WriteToUDPAddrPort(b, to)
			require.NoError(s.t, err)
		}
	}
}
