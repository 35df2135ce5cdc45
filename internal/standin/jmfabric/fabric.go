// Package jmfabric is a stand-in for the fabric, for tests and the demo. It
// receives callers' datagrams at a service's address and sends each one to a
// random balancer, translating the caller's address as a NAT does. It can lose,
// delay and duplicate datagrams, forget its mappings and silence callers.
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
	maxDatagram  = 2048    // bytes
	socketBuffer = 4 << 20 // bytes
)

// Fabric is the stand-in for one service address. Listen and Seed are set before
// Open.
type Fabric struct {
	// Listen is the service's address towards callers.
	Listen netip.AddrPort
	// Seed seeds the random choices. Runs with the same seed differ only by the
	// order in which datagrams arrive.
	Seed uint64

	// Sprayed counts the datagrams from callers for which a balancer was chosen,
	// and Lost those dropped in either direction according to Settings.LossShare.
	Sprayed atomic.Uint64
	Lost    atomic.Uint64

	settings atomic.Pointer[Settings]
	public   *net.UDPConn // at the service's address
	mu       sync.Mutex
	rng      *rand.Rand
	mappings map[netip.AddrPort]*net.UDPConn // sockets towards the balancers, by caller
	silenced map[netip.AddrPort]bool         // callers whose datagrams are dropped
	wg       conc.WaitGroup
}

// Settings are the balancers and the faults. They can be changed while the fabric
// runs.
type Settings struct {
	Balancers []netip.AddrPort
	LossShare float64       // share of datagrams lost in each direction
	CopyShare float64       // share of datagrams that arrive twice
	MaxDelay  time.Duration // bounds the random delay of a datagram
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

// Open opens the socket at the service's address.
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

// Run forwards datagrams until ctx ends. Open must have been called.
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

// ForgetMappings drops the mappings of all callers, as a NAT that restarts.
// Answers to the old mappings are lost from then on.
func (f *Fabric) ForgetMappings() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for caller, conn := range f.mappings {
		_ = conn.Close()
		delete(f.mappings, caller)
	}
}

// SilenceCallers drops all datagrams to and from the callers' present ports for
// good, as a device on the path that has lost its state of them. New ports work.
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

// spray sends a caller's datagram to a random balancer.
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
	f.sendWithFaults(&s, datagram, func(b []byte) { _, _ = conn.WriteToUDPAddrPort(b, to) })
}

// mapping returns the socket whose address the balancers see as the caller's. It
// opens the socket if there is none.
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
	f.wg.Go(func() { f.forwardAnswers(ctx, caller, conn) })
	return conn, nil
}

// forwardAnswers sends what arrives at a mapping to its caller, until the mapping
// is closed.
func (f *Fabric) forwardAnswers(ctx context.Context, caller netip.AddrPort, conn *net.UDPConn) {
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
		f.sendWithFaults(&s, buffer[:n], func(b []byte) { _, _ = f.public.WriteToUDPAddrPort(b, caller) })
	}
}

// sendWithFaults sends a datagram, but at random loses, duplicates or delays it as
// the settings say.
func (f *Fabric) sendWithFaults(s *Settings, datagram []byte, send func([]byte)) {
	f.mu.Lock()
	isLost := f.rng.Float64() < s.LossShare
	isDuplicated := f.rng.Float64() < s.CopyShare
	var delay time.Duration
	if s.MaxDelay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(s.MaxDelay)))
	}
	f.mu.Unlock()
	if isLost {
		f.Lost.Add(1)
		return
	}
	if isDuplicated {
		send(datagram)
	}
	if delay == 0 {
		send(datagram)
		return
	}
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() { send(delayed) })
}

// ServeHTTP implements http.Handler. A POST replaces the Settings by the JSON in its
// body, and a DELETE forgets the mappings.
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
