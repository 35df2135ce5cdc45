package jmpassnode

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminemoor/jasminemoor"
)

// directConn sends packets to an upstream whose port is closed. Its socket is connected, so that
// the kernel reports a datagram for which no process has a socket: the upstream has ended then.
// It is not used where that is not reported.
type directConn struct {
	conn      *net.UDPConn // nil unless the port is closed
	isRefused bool
	// copied is the last packet with data of an open flow that was sent to the upstream, and
	// copiedAt when that was.
	copied   []byte
	copiedAt time.Time
}

// keep copies a packet with data that is sent to the upstream.
func (d *directConn) keep(now time.Time, p *jasminemoor.Packet, packet []byte) {
	if p.Length > 0 {
		d.copied, d.copiedAt = append(d.copied[:0], packet...), now
	}
}

// write sends a packet, and reports whether it did.
func (d *directConn) write(packet []byte) bool {
	if d == nil || d.conn == nil {
		return false
	}
	_, err := d.conn.Write(packet)
	d.isRefused = d.isRefused || errors.Is(err, syscall.ECONNREFUSED)
	return true
}

// hasRefusal reports whether a datagram was refused.
func (d *directConn) hasRefusal() bool {
	if d.conn != nil && !d.isRefused {
		d.isRefused = hasRefused(d.conn)
	}
	return d.isRefused
}

// hasRefused reports whether a datagram that was sent on a connected socket was refused.
func hasRefused(conn *net.UDPConn) (isRefused bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		isRefused = err == nil && syscall.Errno(code) == syscall.ECONNREFUSED
	})
	return isRefused
}

// reportsRefusals reports whether the kernel reports datagrams to the instance's own address that
// no process takes. It sends one to a port that is free.
func reportsRefusals(at netip.Addr) bool {
	local := net.UDPAddr{IP: at.AsSlice()}
	free, err := net.ListenUDP("udp4", &local)
	if err != nil {
		return false
	}
	to := free.LocalAddr().(*net.UDPAddr) // as of any UDPConn
	_ = free.Close()
	conn, err := net.DialUDP("udp4", &local, to)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = conn.Write([]byte{0})
	return errors.Is(err, syscall.ECONNREFUSED) || hasRefused(conn)
}

func (d *directConn) close() {
	if d.conn != nil {
		_ = d.conn.Close()
	}
	d.conn, d.isRefused = nil, false
}

// updateDirect opens the connection to the upstream while its port is closed and it is not known to
// have ended, and tells the machine if a datagram was refused. It sends the last packet that was
// not answered again, as its caller may not do so soon. a.mu must be locked.
func (a *Agent) updateDirect(now time.Time, s *sender) {
	d := &a.direct
	isClosed, hasEnded := a.machine.UpstreamEnd()
	if !isClosed || hasEnded {
		d.close()
		return
	}
	if d.conn == nil {
		if !a.machine.ReportsRefusals {
			return
		}
		local := net.UDPAddr{IP: a.Settings.Address.AsSlice()}
		conn, err := net.DialUDP("udp4", &local, net.UDPAddrFromAddrPort(a.Settings.Upstream))
		if err != nil {
			a.machine.ReportsRefusals = false
			a.Log.WithError(err).Warn("upstream: refused packets can't be seen")
			return
		}
		d.conn = conn
		if since := a.machine.UnansweredSince(); !since.IsZero() && !d.copiedAt.Before(since) {
			a.Codec.Restore(d.copied)
			d.write(d.copied)
		}
	}
	if d.hasRefusal() {
		out := a.machine.HandleRefusedPacket(now)
		s.send(out, nil)
		a.logOutcomes(out)
		d.close()
	}
}

func (a *Agent) closeDirect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.direct.close()
}

// newAgentSender returns a sender whose packets for the upstream may take the direct connection.
// It is used with a.mu locked.
func (a *Agent) newAgentSender(conn *net.UDPConn) (s *sender, err error) {
	if s, err = a.newSender(conn); err != nil {
		return nil, err
	}
	s.direct = &a.direct
	return s, nil
}
