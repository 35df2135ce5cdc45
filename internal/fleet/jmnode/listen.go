package jmnode

import (
	"context"
	"net"
	"net/netip"
)

// fleetBuffer is the size requested for the receive buffer and for the send buffer
// of the fleet socket, in bytes. If the kernel grants less, the only effect is
// that bursts lose more datagrams.
const fleetBuffer = 8 << 20

// Listen opens the process's fleet address over UDP and TCP, and sets Send to
// send from it. The caller closes both; Serve closes the TCP listener it is given.
func (n *Node) Listen(ctx context.Context) (udp *net.UDPConn, tcp net.Listener, err error) {
	udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Identity.Agent))
	if err != nil {
		return nil, nil, err
	}
	_ = udp.SetReadBuffer(fleetBuffer)
	_ = udp.SetWriteBuffer(fleetBuffer)
	tcp, err = (&net.ListenConfig{}).Listen(ctx, "tcp", n.Identity.Agent.String())
	if err != nil {
		_ = udp.Close()
		return nil, nil, err
	}
	n.Send = func(to netip.AddrPort, datagram []byte) {
		_, _ = udp.WriteToUDPAddrPort(datagram, to)
	}
	return udp, tcp, nil
}
