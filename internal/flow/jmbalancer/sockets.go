package jmbalancer

import (
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// socketSet holds one socket for each service address. Sockets stay open until the
// process ends, since the open flows of a service whose address was removed from
// the settings still use its socket.
type socketSet struct {
	mu       sync.Mutex
	isClosed bool
	byLocal  atomic.Pointer[map[netip.AddrPort]*net.UDPConn]
}

// find returns the socket of a service address, or nil if there is none.
func (s *socketSet) find(local netip.AddrPort) *net.UDPConn {
	m := s.byLocal.Load()
	if m == nil {
		return nil
	}
	return (*m)[local]
}

// open returns the socket of a service address, and opens it if it isn't open, which
// isNew reports. The IP address, if valid, is bound in place of the service's. After
// close, open returns net.ErrClosed instead of opening a socket.
func (s *socketSet) open(local netip.AddrPort, ip netip.Addr) (conn *net.UDPConn, isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn = s.find(local); conn != nil {
		return conn, false, nil
	}
	if s.isClosed {
		return nil, false, net.ErrClosed
	}
	bind := local
	if ip.IsValid() {
		bind = netip.AddrPortFrom(ip, local.Port())
	}
	conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, false, err
	}
	setBuffers(conn)
	next := make(map[netip.AddrPort]*net.UDPConn)
	if old := s.byLocal.Load(); old != nil {
		maps.Copy(next, *old)
	}
	next[local] = conn
	s.byLocal.Store(&next)
	return conn, true, nil
}

// close closes all sockets. No socket can be opened after it.
func (s *socketSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	if m := s.byLocal.Load(); m != nil {
		for _, conn := range *m {
			_ = conn.Close()
		}
	}
}
