package jmpassnode

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
)

const (
	// watchRenewal is how long a connection is held before another one replaces it. Servers
	// close connections on which no request comes, some earlier than that: see watchTerm.
	watchRenewal = 5 * time.Second
	// minWatchRenewal is the least time between two connection attempts.
	minWatchRenewal = time.Second
	// closedPortInterval is the least time between two attempts after a connection has ended:
	// its upstream gets no new flows until a process listens.
	closedPortInterval = 200 * time.Millisecond
)

// goroutineWatch is the name of the goroutine that watches the upstream.
const goroutineWatch = "watch"

// watchKeepAlive ends a connection that has gone silent.
var watchKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// watchTerm is how long connections to an upstream are held before others replace them.
type watchTerm struct {
	// shortened is half of the time that the last connection was open that ended, 0 if that
	// was as its upstream had started again.
	shortened time.Duration
	// run is the upstream that was listed then.
	run listedRun
}

// listedRun identifies a run of an upstream that the directory lists.
type listedRun struct {
	id   string
	born int64
}

func (t *watchTerm) renewal() time.Duration {
	if t.shortened == 0 {
		return watchRenewal
	}
	return min(max(t.shortened, minWatchRenewal), watchRenewal)
}

// recordEnd records that a connection has ended after a time.
func (t *watchTerm) recordEnd(run listedRun, after time.Duration) { *t = watchTerm{after / 2, run} }

// recordRenewal records that another connection replaces one that is open.
func (t *watchTerm) recordRenewal(run listedRun) {
	if run != t.run {
		*t = watchTerm{}
	}
}

// startWatch reports whether the caller is to run watch now. It is called at each tick, with
// a.mu locked.
func (a *Agent) startWatch(now time.Time) bool {
	interval := minWatchRenewal
	if a.machine.IsPortUnknown() {
		interval = closedPortInterval
	}
	if a.isWatching || !a.machine.ShouldWatch() || now.Sub(a.watchedAt) < interval {
		return false
	}
	a.isWatching, a.watchedAt = true, now
	return true
}

// watch holds a connection to the upstream's port while the machine asks for it, and tells the
// machine when it is opened and when it ends. No request is sent, which would take one of the
// upstream's slots.
func (a *Agent) watch(ctx context.Context) {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isWatching = false
	}()
	conn, result := a.dialUpstream(ctx)
	if conn != nil {
		a.setWatch(conn)
		a.holdWatch(ctx, conn)
	} else if result == jmpass.ProbeRefused {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.machine.HandleClosedPort(time.Now())
	}
}

// holdWatch returns when the connection, or one that has replaced it, has ended or ctx has.
func (a *Agent) holdWatch(ctx context.Context, conn *net.TCPConn) {
	opened := time.Now()
	for {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		err := waitForEnd(conn, a.watchTerm.renewal())
		stop()
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			a.watchTerm.recordEnd(a.listedRun(), time.Since(opened))
			break
		}
		if !a.shouldWatch() {
			break
		}
		next, _ := a.dialUpstream(ctx)
		if next == nil {
			continue
		}
		if !a.replaceWatch(conn, next) {
			_ = next.Close()
			break
		}
		_ = conn.Close()
		conn, opened = next, time.Now()
		a.watchTerm.recordRenewal(a.listedRun())
	}
	a.endWatch(conn)
	_ = conn.Close()
}

// waitForEnd reads from a connection until it ends or the time has passed, in which case the
// error is a timeout.
func waitForEnd(conn *net.TCPConn, limit time.Duration) (err error) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	buffer := make([]byte, 512)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	return err
}

// listedRun returns the run of the upstream that the directory lists.
func (a *Agent) listedRun() (run listedRun) {
	if s := a.control.Snapshot(); s != nil && s.Upstreams[a.Settings.Upstream] != nil {
		u := s.Upstreams[a.Settings.Upstream]
		run = listedRun{u.ID, u.Born}
	}
	return run
}

func (a *Agent) shouldWatch() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.ShouldWatch()
}

// dialUpstream opens a connection to the upstream's port, nil if it can't.
func (a *Agent) dialUpstream(ctx context.Context) (conn *net.TCPConn, result jmpass.ProbeResult) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: watchKeepAlive}
	c, err := dialer.DialContext(ctx, "tcp4", a.Settings.Upstream.String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, jmpass.ProbeRefused
	case err != nil:
		return nil, jmpass.ProbeSilent
	}
	return c.(*net.TCPConn), jmpass.ProbeAccepted // tcp4 has no other type
}

// setWatch has the machine rely on a connection that has been opened.
func (a *Agent) setWatch(conn *net.TCPConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watched = conn
	a.machine.HandleWatch(time.Now(), true)
}

// replaceWatch has the machine rely on another connection. It reports whether the former one
// is still open, so that both are to the same process.
func (a *Agent) replaceWatch(conn, next *net.TCPConn) (ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watched != conn || hasEnded(conn) {
		return false
	}
	a.watched = next
	return true
}

// endWatch tells the machine that a connection has ended, unless checkWatch has.
func (a *Agent) endWatch(conn *net.TCPConn) {
	s, err := a.newAgentSender(a.peers)
	if err != nil {
		a.Log.WithError(err).Error("process: socket can't be set up for writing")
		return
	}
	a.mu.Lock()
	if a.watched == conn {
		a.watched = nil
		s.send(a.machine.HandleWatch(time.Now(), false), nil)
	}
	a.mu.Unlock()
	s.writer.flush()
}

// checkWatch tells the machine that the connection has ended, if it has: opening packets may be
// read before watch gets to run. a.mu must be locked.
func (a *Agent) checkWatch(now time.Time, s *sender) {
	if a.watched != nil && hasEnded(a.watched) {
		a.watched = nil
		s.send(a.machine.HandleWatch(now, false), nil)
	}
}

// hasEnded reports whether the other end has closed a connection, or it has failed.
func hasEnded(conn *net.TCPConn) (ended bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return ended || err != nil
}
