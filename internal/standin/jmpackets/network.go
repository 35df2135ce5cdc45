package jmpackets

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

const (
	// firstNetwork and networks are the loopback networks that tests share.
	firstNetwork = 128
	networks     = 120
	// claimPort is the port that is bound in a network in use.
	claimPort = 28999
)

// Network returns N of a loopback network 127.N.0.0/16 that no other process uses which
// calls Network, until this process ends. It panics if all are in use.
var Network = sync.OnceValue(func() byte {
	for i := range networks {
		n := byte(firstNetwork + (os.Getpid()+i)%networks)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, 254}), claimPort)
		if conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err == nil {
			claims = append(claims, conn)
			return n
		}
	}
	panic(fmt.Sprintf("jmpackets: all of %d loopback networks are in use", networks))
})

// claims stay open, so that the network stays in use.
var claims []*net.UDPConn
