// Package jmbatch reads and writes batches of UDP datagrams with one system
// call each, recvmmsg and sendmmsg, and without allocation. It is for Linux only.
package jmbatch

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Size is the largest number of datagrams that one call reads or writes.
const Size = 64

// Datagram is one datagram of a batch.
type Datagram struct {
	// Buffer is the memory that the datagram is read into or written from. A
	// datagram to write extends to the end of Buffer.
	Buffer []byte
	// Offset is the position in Buffer at which the datagram begins.
	Offset int
	// Length is the size of a datagram that was read, in bytes.
	Length int
	// Addr is the sender of a datagram that was read, or the receiver of one that
	// is written.
	Addr netip.AddrPort
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	unix.Msghdr
	length uint32
	_      [4]byte
}

// messages holds the arguments and results of recvmmsg or sendmmsg.
type messages struct {
	headers [Size]mmsghdr
	vectors [Size]unix.Iovec
	addrs   [Size]unix.RawSockaddrInet6 // large enough for both families
	count   int                         // datagrams of the batch
	done    int                         // datagrams read or written so far
	errno   syscall.Errno
	call    func(fd uintptr) bool // created once, so that Read and Write do not allocate
}

// Reader reads batches from a socket. It is for one goroutine.
type Reader struct {
	raw syscall.RawConn
	messages
}

// NewReader returns a reader for a socket.
func NewReader(conn *net.UDPConn) (r *Reader, err error) {
	r = &Reader{}
	if r.raw, err = conn.SyscallConn(); err != nil {
		return nil, err
	}
	r.call = func(fd uintptr) bool {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])),
			uintptr(r.count), unix.MSG_DONTWAIT, 0, 0)
		r.done, r.errno = int(n), errno
		return errno != unix.EAGAIN
	}
	return r, nil
}

// Read waits for a datagram and reads those that have arrived, at most len(batch)
// and at most Size.
func (r *Reader) Read(batch []Datagram) (n int, err error) {
	r.count = min(len(batch), Size)
	for i := range batch[:r.count] {
		r.setBuffer(i, batch[i].Buffer[batch[i].Offset:])
		r.headers[i].Namelen = unix.SizeofSockaddrInet6
	}
	if err = r.raw.Read(r.call); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	for i := range batch[:r.done] {
		batch[i].Length = int(r.headers[i].length)
		batch[i].Addr = addrOf(&r.addrs[i])
	}
	return r.done, nil
}

// Writer writes batches to a socket. It is for one goroutine.
type Writer struct {
	raw  syscall.RawConn
	isV6 bool
	messages
}

// NewWriter returns a writer for a socket.
func NewWriter(conn *net.UDPConn) (w *Writer, err error) {
	w = &Writer{}
	if w.raw, err = conn.SyscallConn(); err != nil {
		return nil, err
	}
	if err = w.detectFamily(); err != nil {
		return nil, err
	}
	w.call = func(fd uintptr) bool {
		n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&w.headers[w.done])),
			uintptr(w.count-w.done), unix.MSG_DONTWAIT, 0, 0)
		w.errno = errno
		if errno == 0 {
			w.done += int(n)
		}
		return errno != unix.EAGAIN
	}
	return w, nil
}

// detectFamily sets isV6 from the socket's address family.
func (w *Writer) detectFamily() error {
	var family int
	var familyErr error
	err := w.raw.Control(func(fd uintptr) {
		family, familyErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DOMAIN)
	})
	if err != nil {
		return err
	}
	w.isV6 = family == unix.AF_INET6
	return familyErr
}

// Write writes the datagrams of a batch, at most the first Size. It skips a
// datagram that the kernel refuses, as if the network had lost it.
func (w *Writer) Write(batch []Datagram) error {
	w.count, w.done = min(len(batch), Size), 0
	for i := range batch[:w.count] {
		w.setBuffer(i, batch[i].Buffer[batch[i].Offset:])
		w.headers[i].Namelen = w.setAddr(&w.addrs[i], batch[i].Addr)
	}
	for w.done < w.count {
		if err := w.raw.Write(w.call); err != nil {
			return err
		}
		if w.errno != 0 {
			w.done++
		}
	}
	return nil
}

func (m *messages) setBuffer(i int, buffer []byte) {
	m.vectors[i].Base = unsafe.SliceData(buffer)
	m.vectors[i].SetLen(len(buffer))
	m.headers[i].Iov = &m.vectors[i]
	m.headers[i].SetIovlen(1)
	m.headers[i].Name = (*byte)(unsafe.Pointer(&m.addrs[i]))
}

// setAddr writes an address in the form of the socket's family and returns its size, 0 if
// it has no such form.
func (w *Writer) setAddr(sockaddr *unix.RawSockaddrInet6, addr netip.AddrPort) (length uint32) {
	port := (*[2]byte)(unsafe.Pointer(&sockaddr.Port))
	port[0], port[1] = byte(addr.Port()>>8), byte(addr.Port())
	if w.isV6 {
		sockaddr.Family = unix.AF_INET6
		sockaddr.Addr = addr.Addr().As16()
		return unix.SizeofSockaddrInet6
	}
	to := addr.Addr().Unmap()
	if !to.Is4() {
		return 0 // the kernel refuses the datagram
	}
	v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
	v4.Family = unix.AF_INET
	v4.Addr = to.As4()
	return unix.SizeofSockaddrInet4
}

func addrOf(sockaddr *unix.RawSockaddrInet6) netip.AddrPort {
	raw := (*[2]byte)(unsafe.Pointer(&sockaddr.Port))
	port := uint16(raw[0])<<8 | uint16(raw[1])
	if sockaddr.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr).Unmap(), port)
}
