// Package jmfabric is a stand-in for the fabric, for tests and the demo: it
// takes callers' datagrams at a service's address and hands each one to any
// of the balancers, at random. It can lose, delay and double datagrams, and
// forget a caller's mapping.
package jmfabric

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	maxDatagram  = 2048
	socketBuffer = 4 << 20 // bytes
)

// Fabric is the stand-in for one service address. The exported fields are set
// before Run.
type Fabric struct {
	// Listen is the service's address towards callers.
	Listen netip.AddrPort
	// Seed makes the choices repeatable; only the order of arrival differs.
	Seed uint64

	// Counters since the start.
	Sprayed atomic.Uint64
	Lost    atomic.Uint64

	settings atomic.Pointer[Settings]
	public   *net.UDPConn
	mu       sync.Mutex
	rng      *rand.Rand
	mappings map[netip.AddrPort]*net.UDPConn
	silenced map[netip.AddrPort]bool
	wg       conc.WaitGroup
}

// Settings is what tests change while the fabric runs.
type Settings struct {
	Balancers []netip.AddrPort
	LossShare float64 // of datagrams, in each direction
	CopyShare float64 // of datagrams that arrive twice
	MaxDelay  time.Duration
}

// Set changes the settings.
func (f *Fabric) Set(s Settings) { f.settings.Store(&s) }

// Settings returns the settings in force.
func (f *Fabric) Settings() Settings {
	if s := f.settings.Load(); s != nil {
		return *s
	}
	return Settings{}
}

// Open opens the service's address.
func (f *Fabric) Open() (err error) {
	f.rng = rand.New(rand.NewPCG(f.Seed, 0))
	f.mappings = make(map[netip.AddrPort]*net.UDPConn)
	f.public, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.Listen))
	if err != nil {
		return err
	}
	_ = f.public.SetReadBuffer(socketBuffer)
	return nil
}

// Run passes datagrams until ctx ends. Open must have been called.
func (f *Fabric) Run(ctx context.Context) {
	defer f.wg.Wait()
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, caller, err := f.public.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		f.spray(ctx, caller, buffer[:n])
	}
}

func (f *Fabric) close() {
	_ = f.public.Close()
	f.ForgetMappings()
}

// ForgetMappings drops what the fabric knows of callers, as a NAT that
// restarts: answers to the old mappings are lost from then on.
func (f *Fabric) ForgetMappings() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for caller, conn := range f.mappings {
		_ = conn.Close()
		delete(f.mappings, caller)
	}
}

// SilenceCallers drops everything to and from the callers' present ports for
// good, while new ports work: something on the way has lost track of them.
func (f *Fabric) SilenceCallers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silenced == nil {
		f.silenced = make(map[netip.AddrPort]bool)
	}
	for caller := range f.mappings {
		f.silenced[caller] = true
	}
}

func (f *Fabric) isSilenced(caller netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenced[caller]
}

func (f *Fabric) spray(ctx context.Context, caller netip.AddrPort, datagram []byte) {
	s := f.Settings()
	if len(s.Balancers) == 0 || f.isSilenced(caller) {
		return
	}
	conn, err := f.mapping(ctx, caller)
	if err != nil {
		return
	}
	f.mu.Lock()
	to := s.Balancers[f.rng.IntN(len(s.Balancers))]
	f.mu.Unlock()
	f.Sprayed.Add(1)
	f.disturb(&s, datagram, func(b []byte) { _, _ = conn.WriteToUDPAddrPort(b, to) })
}

// mapping returns the socket that stands for a caller towards the balancers.
func (f *Fabric) mapping(ctx context.Context, caller netip.AddrPort) (conn *net.UDPConn, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn = f.mappings[caller]; conn != nil {
		return conn, nil
	}
	local := netip.AddrPortFrom(f.Listen.Addr(), 0)
	if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(local)); err != nil {
		return nil, err
	}
	f.mappings[caller] = conn
	f.wg.Go(func() { f.answer(ctx, caller, conn) })
	return conn, nil
}

func (f *Fabric) answer(ctx context.Context, caller netip.AddrPort, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if f.isSilenced(caller) {
			continue
		}
		s := f.Settings()
		f.disturb(&s, buffer[:n], func(b []byte) { _, _ = f.public.WriteToUDPAddrPort(b, caller) })
	}
}

// disturb sends a datagram as the settings say: lost, doubled or late.
func (f *Fabric) disturb(s *Settings, datagram []byte, send func([]byte)) {
	f.mu.Lock()
	isLost := f.rng.Float64() < s.LossShare
	isDoubled := f.rng.Float64() < s.CopyShare
	var delay time.Duration
	if s.MaxDelay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(s.MaxDelay)))
	}
	f.mu.Unlock()
	if isLost {
		f.Lost.Add(1)
		return
	}
	if isDoubled {
		send(datagram)
	}
	if delay == 0 {
		send(datagram)
		return
	}
	late := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() { send(late) })
}

// ServeHTTP takes new Settings as JSON in a POST, and forgets the mappings on
// a DELETE.
func (f *Fabric) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		f.ForgetMappings()
		return
	}
	var s Settings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
}
