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

// socket is a UDP socket that can move to a new local port under a running
// QUIC connection. The other end follows, as after a change of a NAT's mapping.
type socket struct {
	network string
	current atomic.Pointer[net.UDPConn]
	// received is when the last datagram came, in nanoseconds since the Unix epoch.
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
	if err = s.move(); err != nil {
		return nil, err
	}
	return s, nil
}

// move takes a new local port. Datagrams that still come to the old one are lost.
func (s *socket) move() error {
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

// silence returns the time since the last datagram came.
func (s *socket) silence() time.Duration {
	return time.Since(time.Unix(0, s.received.Load()))
}

// ReadFrom implements net.PacketConn. It goes on with the new port after a move.
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
		// A port that can't send now is a lost packet; QUIC sends again.
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

// SetWriteBuffer is as SetReadBuffer.
func (s *socket) SetWriteBuffer(size int) error {
	_ = s.current.Load().SetWriteBuffer(size)
	return nil
}
