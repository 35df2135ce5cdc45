// Package jmupstream is a stand-in for an upstream, for tests and the demo. It
// speaks a small text protocol over TCP and counts the bookings that it ran.
//
// A connection carries one command. The command ends when the client closes its
// sending direction or, for FEED, with a newline:
//
//	BOOK <id> [<delay>]   runs a booking and answers "BOOKED <id> <name>"
//	SHEET <bytes>         answers with that many bytes
//	FEED <interval>       sends "TICK <n>" lines until the peer closes
package jmupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const maxCommand = 1 << 20 // bytes

// Upstream is the stand-in. Name, Address and ServiceTime are set before Listen.
type Upstream struct {
	Name    string
	Address netip.AddrPort
	// ServiceTime is how long each booking takes besides its own delay.
	ServiceTime time.Duration

	// Aborted counts bookings and sheets whose connection broke before the whole answer
	// was sent.
	Aborted atomic.Uint64

	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int // by the booking's id
	open     int            // connections
	maxOpen  int
}

// Runs returns how often each booking ran.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// MaxOpen returns the largest number of connections open at a time.
func (u *Upstream) MaxOpen() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxOpen
}

// Listen opens the socket at the upstream's address.
func (u *Upstream) Listen() (err error) {
	u.listener, err = net.Listen("tcp", u.Address.String())
	return err
}

// Run serves until ctx ends. Listen must have been called.
func (u *Upstream) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = u.listener.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { u.serve(ctx, conn.(*net.TCPConn)) })
	}
}

func (u *Upstream) serve(ctx context.Context, conn *net.TCPConn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	u.addOpen(1)
	defer u.addOpen(-1)
	reader := bufio.NewReader(io.LimitReader(conn, maxCommand))
	command, err := reader.ReadString(' ')
	if err != nil {
		return
	}
	if command == "FEED " {
		line, _ := reader.ReadString('\n')
		u.feed(conn, reader, strings.TrimSpace(line))
		return
	}
	rest, err := io.ReadAll(reader)
	if err != nil {
		u.Aborted.Add(1)
		return
	}
	fields := strings.Fields(string(rest))
	switch command {
	case "BOOK ":
		u.book(conn, fields)
	case "SHEET ":
		u.sheet(conn, fields)
	default:
		_, _ = fmt.Fprintf(conn, "ERROR unknown command %q\n", command)
	}
}

// addOpen adds n to the number of open connections.
func (u *Upstream) addOpen(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open += n
	u.maxOpen = max(u.maxOpen, u.open)
}

// book runs a booking and answers it after ServiceTime and the booking's own delay.
func (u *Upstream) book(conn net.Conn, fields []string) {
	if len(fields) == 0 {
		_, _ = io.WriteString(conn, "ERROR no id\n")
		return
	}
	u.mu.Lock()
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[fields[0]]++
	u.mu.Unlock()
	delay := u.ServiceTime
	if len(fields) > 1 {
		more, _ := time.ParseDuration(fields[1])
		delay += more
	}
	time.Sleep(delay)
	if _, err := fmt.Fprintf(conn, "BOOKED %s %s\n", fields[0], u.Name); err != nil {
		u.Aborted.Add(1)
	}
}

// sheet answers with as many bytes of repeated text as requested.
func (u *Upstream) sheet(conn net.Conn, fields []string) {
	size := 0
	if len(fields) > 0 {
		size, _ = strconv.Atoi(fields[0])
	}
	if _, err := io.Copy(conn, io.LimitReader(&repeatReader{text: []byte("sheet of " + u.Name + " ")}, int64(size))); err != nil {
		u.Aborted.Add(1)
	}
}

// repeatReader is a reader that returns its text over and over.
type repeatReader struct {
	text []byte
	next int // index of the next byte
}

// Read implements io.Reader.
func (r *repeatReader) Read(p []byte) (n int, err error) {
	for n < len(p) {
		copied := copy(p[n:], r.text[r.next:])
		n += copied
		r.next = (r.next + copied) % len(r.text)
	}
	return n, nil
}

// feed sends a numbered line at each interval until the peer closes its side.
func (u *Upstream) feed(conn net.Conn, reader io.Reader, interval string) {
	every, err := time.ParseDuration(interval)
	if err != nil || every <= 0 {
		_, _ = io.WriteString(conn, "ERROR no interval\n")
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		close(closed)
	}()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 1; ; n++ {
		if _, err = fmt.Fprintf(conn, "TICK %d\n", n); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP implements http.Handler. It answers with the result of Runs as JSON.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(u.Runs())
	_, _ = w.Write(body.Bytes())
}
