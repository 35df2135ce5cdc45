package jmconnid

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/jasminemoor/jasminemoor"
)

// Generator generates the connection IDs of one agent for quic-go. It calls Codec
// for each ID, so that a key rotation takes effect at once.
type Generator struct {
	Codec       func() *Codec
	Service     jasminemoor.ServiceNumber
	Identity    jasminemoor.Identity
	nextCounter atomic.Uint64
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// GenerateConnectionID returns a new connection ID that holds the agent's route.
func (g *Generator) GenerateConnectionID() (id quic.ConnectionID, err error) {
	sealed, err := g.Codec().Seal(Route{
		Service:     g.Service,
		Agent:       g.Identity.Agent,
		Incarnation: g.Identity.Incarnation.Short(),
		Nonce:       g.nextCounter.Add(1),
	})
	if err != nil {
		return id, err
	}
	return quic.ConnectionIDFromBytes(sealed[:]), nil
}

// ConnectionIDLen returns Length.
func (g *Generator) ConnectionIDLen() int { return Length }
