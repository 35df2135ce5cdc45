// Package jmbatch reads and writes many UDP datagrams with one system call,
// without allocating for each. It is for Linux.
package jmbatch

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Size is how many datagrams one call handles at most.
const Size = 64

// Datagram is one datagram of a batch.
type Datagram struct {
	// Buffer is where a datagram is read to, or what is written.
	Buffer []byte
	// Offset is where in Buffer a datagram is read to or written from.
	Offset int
	// Length is how much of Buffer was read.
	Length int
	// Addr is where a datagram came from or goes to.
	Addr netip.AddrPort
}

// header is the kernel's struct mmsghdr.
type header struct {
	unix.Msghdr
	length uint32
	_      [4]byte
}

// ring is what one direction of a connection hands to the kernel.
type ring struct {
	headers [Size]header
	vectors [Size]unix.Iovec
	names   [Size]unix.RawSockaddrInet6 // large enough for both families
	count   int
	done    int
	errno   syscall.Errno
	call    func(fd uintptr) bool // made once, so that a call does not allocate
}

// Reader reads batches from a socket. It is for one goroutine.
type Reader struct {
	raw syscall.RawConn
	ring
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

// Read waits for datagrams and reads up to len(batch) of them, Size at most.
func (r *Reader) Read(batch []Datagram) (n int, err error) {
	r.count = min(len(batch), Size)
	for i := range batch[:r.count] {
		r.set(i, batch[i].Buffer[batch[i].Offset:])
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
		batch[i].Addr = addrOf(&r.names[i])
	}
	return r.done, nil
}

// Writer writes batches to a socket. It is for one goroutine.
type Writer struct {
	raw  syscall.RawConn
	isV6 bool
	ring
}

// NewWriter returns a writer for a socket.
func NewWriter(conn *net.UDPConn) (w *Writer, err error) {
	w = &Writer{}
	if w.raw, err = conn.SyscallConn(); err != nil {
		return nil, err
	}
	if err = w.findFamily(); err != nil {
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

// findFamily finds out whether the socket takes IPv6 addresses.
func (w *Writer) findFamily() error {
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

// Write writes the first Size datagrams of a batch at most. A datagram that
// the kernel refuses is left out, as if it had been lost.
func (w *Writer) Write(batch []Datagram) error {
	w.count, w.done = min(len(batch), Size), 0
	for i := range batch[:w.count] {
		w.set(i, batch[i].Buffer[batch[i].Offset:])
		w.headers[i].Namelen = w.setAddr(&w.names[i], batch[i].Addr)
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

func (r *ring) set(i int, buffer []byte) {
	r.vectors[i].Base = unsafe.SliceData(buffer)
	r.vectors[i].SetLen(len(buffer))
	r.headers[i].Iov = &r.vectors[i]
	r.headers[i].SetIovlen(1)
	r.headers[i].Name = (*byte)(unsafe.Pointer(&r.names[i]))
}

func (w *Writer) setAddr(name *unix.RawSockaddrInet6, addr netip.AddrPort) (length uint32) {
	port := (*[2]byte)(unsafe.Pointer(&name.Port))
	port[0], port[1] = byte(addr.Port()>>8), byte(addr.Port())
	if w.isV6 {
		name.Family = unix.AF_INET6
		name.Addr = addr.Addr().As16()
		return unix.SizeofSockaddrInet6
	}
	v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
	v4.Family = unix.AF_INET
	v4.Addr = addr.Addr().Unmap().As4()
	return unix.SizeofSockaddrInet4
}

func addrOf(name *unix.RawSockaddrInet6) netip.AddrPort {
	raw := (*[2]byte)(unsafe.Pointer(&name.Port))
	port := uint16(raw[0])<<8 | uint16(raw[1])
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), port)
}
