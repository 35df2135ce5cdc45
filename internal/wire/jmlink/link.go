// Package jmlink implements the TCP connection between two of the system's
// processes: TLS 1.3 with a self-signed certificate that each listener generates,
// after which both sides prove that they hold the fleet's control key.
//
// The proof is an HMAC over keying material that TLS exports for this one
// connection, so a recorded proof is not valid on any other connection.
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

// ErrProof reports a peer whose proof was not made with a control key in force.
var ErrProof = errors.New("peer does not hold the control key")

// Conn is an authenticated connection.
type Conn struct {
	*tls.Conn
}

var _ jasminemoor.ByteStream = (*Conn)(nil)

// Abort closes both directions at once. The peer's next read fails with a reset or
// an unexpected end, and never returns the regular end of stream of CloseWrite.
func (c *Conn) Abort() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.NetConn().Close()
}

// Dial connects to a peer. Both sides prove to each other that they hold the key.
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
	// The certificate is not checked: both sides are authenticated by the proof
	// over the exported keying material.
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
	// Keys returns the control keys in force. A dialer may use any of them.
	Keys func() []jmdatagram.ControlKey
	TCP  net.Listener

	once   sync.Once
	config *tls.Config
	err    error
}

// Accept waits for the next raw connection. The caller passes it to Authenticate
// on a goroutine of its own, so that a slow handshake does not delay others.
func (l *Listener) Accept() (raw net.Conn, err error) { return l.TCP.Accept() }

// Authenticate does the handshake on an accepted connection. It closes the
// connection on failure.
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

// proveAsListener answers with the key that the dialer has proved to hold: during a
// key rotation several keys are in force.
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

// handshake does the TLS handshake, and returns keying material that only the two
// ends of this connection know.
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

// proof returns the proof of the side with the role. The roles differ so that a peer
// without the key can't send the proof back that it received.
func proof(key jmdatagram.ControlKey, material []byte, role string) []byte {
	mac := hmac.New(sha256.New, key[:])
	mac.Write([]byte(role))
	mac.Write(material)
	return mac.Sum(nil)
}

// serverConfig returns a TLS configuration with a new self-signed certificate.
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
