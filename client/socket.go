package client

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// socket is a UDP socket that can move to a new local port during a QUIC connection.
// To the peer, this is a NAT rebinding, and it sends to the new port.
type socket struct {
	network string
	current atomic.Pointer[net.UDPConn]
	// received is when the last datagram arrived, in nanoseconds since the Unix epoch.
	// It begins with the time of creation.
	received atomic.Int64
	mu       sync.Mutex
	isClosed bool
}

var _ net.PacketConn = (*socket)(nil)

func newSocket(to netip.AddrPort) (s *socket, err error) {
	s = &socket{network: "udp4"}
	if to.Addr().Is6() {
		s.network = "udp6"
	}
	s.received.Store(time.Now().UnixNano())
	if err = s.rebind(); err != nil {
		return nil, err
	}
	return s, nil
}

// rebind replaces the local port by a new one. Datagrams that are still in flight to
// the old port are lost.
func (s *socket) rebind() error {
	conn, err := net.ListenUDP(s.network, nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = conn.Close()
		return net.ErrClosed
	}
	old := s.current.Swap(conn)
	if old != nil {
		_ = old.Close()
	}
	return nil
}

// silence returns the time since the last datagram arrived.
func (s *socket) silence() time.Duration {
	return time.Since(time.Unix(0, s.received.Load()))
}

// ReadFrom implements net.PacketConn. After a rebinding, it continues on the new port.
func (s *socket) ReadFrom(p []byte) (n int, addr net.Addr, err error) {
	for {
		conn := s.current.Load()
		n, addr, err = conn.ReadFrom(p)
		if err == nil {
			s.received.Store(time.Now().UnixNano())
			return n, addr, nil
		}
		isMoved := errors.Is(err, net.ErrClosed) && s.current.Load() != conn
		if !isMoved {
			return 0, nil, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(p []byte, addr net.Addr) (n int, err error) {
	conn := s.current.Load()
	n, err = conn.WriteTo(p, addr)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		// A failed write counts as a lost packet, which QUIC retransmits.
		return len(p), nil
	}
	return n, err
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	return s.current.Load().Close()
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return s.current.Load().LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(t time.Time) error { return s.current.Load().SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error { return s.current.Load().SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(t time.Time) error { return s.current.Load().SetWriteDeadline(t) }

// SetReadBuffer sets the size of the kernel's buffer in bytes, as far as the
// kernel grants it.
func (s *socket) SetReadBuffer(size int) error {
	_ = s.current.Load().SetReadBuffer(size)
	return nil
}

// SetWriteBuffer is the counterpart of SetReadBuffer for sending.
func (s *socket) SetWriteBuffer(size int) error {
	_ = s.current.Load().SetWriteBuffer(size)
	return nil
}
