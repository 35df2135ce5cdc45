// Package jmlink is the TCP connection between two of the system's processes:
// TLS 1.3 with a throw-away certificate on the accepting side, and proof on
// both sides that they hold the fleet's control key.
//
// The proof is an HMAC over keying material that TLS exports for this one
// connection, so a recorded proof is worthless on any other connection.
package jmlink

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	handshakeTimeout    = 3 * time.Second
	certificateLifetime = 20 * 365 * 24 * time.Hour
	clockTolerance      = 24 * time.Hour
	exporterLabel       = "EXPORTER-jasminemoor-link"
	proofSize           = sha256.Size
	protocolName        = "jasminemoor-link/1"
	dialerRole          = "dialer"
	listenerRole        = "listener"
)

// ErrProof reports a peer that does not hold the control key.
var ErrProof = errors.New("peer does not hold the control key")

// Conn is an authenticated connection.
type Conn struct {
	*tls.Conn
}

var _ jasminemoor.ByteStream = (*Conn)(nil)

// Abort closes both directions at once. The peer sees a reset or an early end,
// never the clean end of CloseWrite.
func (c *Conn) Abort() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.NetConn().Close()
}

// Dial connects to a peer and proves the key to each other.
func Dial(ctx context.Context, peer netip.AddrPort, key jmdatagram.ControlKey) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "link to %s", peer)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	// The certificate says nothing; the proof over the exported keying
	// material is what authenticates both sides.
	conn := tls.Client(raw, &tls.Config{
		InsecureSkipVerify: true, //nolint:gosec // see above
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocolName},
	})
	if err = proveAsDialer(ctx, conn, key); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Listener accepts authenticated connections.
type Listener struct {
	// Keys returns the control keys in force, any of which is accepted.
	Keys func() []jmdatagram.ControlKey
	TCP  net.Listener

	once   sync.Once
	config *tls.Config
	err    error
}

// Accept waits for the next raw connection. Its handshake is left to
// Authenticate, which belongs on a goroutine of its own.
func (l *Listener) Accept() (raw net.Conn, err error) { return l.TCP.Accept() }

// Authenticate does the handshake on an accepted connection, and closes the
// connection if the peer fails it.
func (l *Listener) Authenticate(ctx context.Context, raw net.Conn) (c *Conn, err error) {
	defer func() {
		if err != nil {
			_ = raw.Close()
			err = eris.Wrapf(err, "link from %s", raw.RemoteAddr())
		}
	}()
	l.once.Do(func() { l.config, l.err = serverConfig() })
	if l.err != nil {
		return nil, l.err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Server(raw, l.config)
	if err = proveAsListener(ctx, conn, l.Keys()); err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

func proveAsDialer(ctx context.Context, conn *tls.Conn, key jmdatagram.ControlKey) error {
	material, err := handshake(ctx, conn)
	if err != nil {
		return err
	}
	if _, err = conn.Write(proof(key, material, dialerRole)); err != nil {
		return err
	}
	var got [proofSize]byte
	if _, err = io.ReadFull(conn, got[:]); err != nil {
		return err
	}
	if !hmac.Equal(got[:], proof(key, material, listenerRole)) {
		return ErrProof
	}
	return conn.SetDeadline(time.Time{})
}

// proveAsListener answers with the key that the dialer proved, since keys may
// be in rotation.
func proveAsListener(ctx context.Context, conn *tls.Conn, keys []jmdatagram.ControlKey) error {
	material, err := handshake(ctx, conn)
	if err != nil {
		return err
	}
	var got [proofSize]byte
	if _, err = io.ReadFull(conn, got[:]); err != nil {
		return err
	}
	for _, key := range keys {
		if !hmac.Equal(got[:], proof(key, material, dialerRole)) {
			continue
		}
		if _, err = conn.Write(proof(key, material, listenerRole)); err != nil {
			return err
		}
		return conn.SetDeadline(time.Time{})
	}
	return ErrProof
}

// handshake returns keying material that only the two ends of this one
// connection have.
func handshake(ctx context.Context, conn *tls.Conn) (material []byte, err error) {
	deadline, _ := ctx.Deadline()
	if err = conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err = conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	state := conn.ConnectionState()
	return state.ExportKeyingMaterial(exporterLabel, nil, proofSize)
}

func proof(key jmdatagram.ControlKey, material []byte, role string) []byte {
	mac := hmac.New(sha256.New, key[:])
	mac.Write([]byte(role))
	mac.Write(material)
	return mac.Sum(nil)
}

func serverConfig() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-clockTolerance),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
	}, nil
}
