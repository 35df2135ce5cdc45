package jmagent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

const upstreamDialTimeout = 2 * time.Second

// upstreamDialer dials the agent's own upstream over TCP.
type upstreamDialer struct {
	agent *Agent
}

var _ jasminemoor.UpstreamDialer = (*upstreamDialer)(nil)

// DialUpstream implements jasminemoor.UpstreamDialer.
func (d *upstreamDialer) DialUpstream(ctx context.Context, _ netip.AddrPort) (stream jasminemoor.ByteStream, err error) {
	address := d.agent.view.Load().upstream.Address
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "upstream %s", address)
		}
	}()
	dialer := net.Dialer{Timeout: upstreamDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &tcpStream{TCPConn: conn.(*net.TCPConn)}, nil
}

// tcpStream is a TCP connection to an upstream.
type tcpStream struct {
	*net.TCPConn
}

// Abort closes the connection with a reset, so that the upstream can tell a
// truncated request from a complete one.
func (s *tcpStream) Abort() {
	_ = s.SetLinger(0)
	_ = s.Close()
}
