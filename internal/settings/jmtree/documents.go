// Package jmtree parses and checks the settings tree. Of each subtree, the
// newest revision without faults is in force.
package jmtree

import (
	"crypto/tls"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

// FleetPath is the path of the fleet's own subtree.
const FleetPath = "Fleet"

// TeamPrefix precedes the team's name in the path of a team's subtree.
const TeamPrefix = "Teams/"

// Names of the documents in the fleet's subtree.
const (
	NetworkName   = "Network"
	KeysName      = "Keys"
	BalancersName = "Balancers"
)

// Network is the document Fleet/Network.
type Network struct {
	DataCentres []DataCentre
	// Prefixes are the address ranges of the agents. A prefix keeps its number:
	// it must not change, nor be given to another prefix.
	Prefixes []Prefix
}

// DataCentre is one data centre and its region.
type DataCentre struct {
	Name   string
	Region string
}

// Prefix is a numbered address range.
type Prefix struct {
	Number uint8
	Prefix netip.Prefix
}

// Keys is the document Fleet/Keys. All secrets are in hexadecimal.
type Keys struct {
	ConnectionID []ConnectionIDKey
	// Datagram holds the keys that authenticate caller datagrams between balancers
	// and agents, 16 bytes each. The first is used for sending; all are accepted.
	Datagram []Secret
	// Control holds the keys that authenticate control messages and TCP links, 32
	// bytes each. The first is used for sending; all are accepted.
	Control []Secret
	// Reset is the key that stateless reset tokens are made with, 32 bytes.
	Reset Secret
}

// ConnectionIDKey is one key for connection IDs, 16 bytes.
type ConnectionIDKey struct {
	Number uint8
	Secret Secret
	// Sealing marks the one key that new connection IDs are sealed with.
	Sealing bool
}

// Balancers is the document Fleet/Balancers.
type Balancers struct {
	Balancers []Balancer
}

// Balancer is one instance of the balancer, where datagrams of callers arrive.
type Balancer struct {
	Name       string
	DataCentre string
	// Address is where agents and other balancers reach the process, over UDP and TCP.
	Address netip.AddrPort
	// ServiceIP, if set, replaces each service's own IP address when the balancer
	// opens its sockets towards callers.
	ServiceIP netip.Addr
	Leaving   bool
}

// Service is a document Teams/<team>/<service>.
type Service struct {
	Number     jasminemoor.ServiceNumber
	Address    netip.AddrPort
	ServerName string
	Upstreams  []Upstream
	Limits     Limits
	// Certificate is presented to callers. If it is not set, the agents use the
	// one given on their command line.
	Certificate Certificate

	// Team and Name come from the document's path in the tree.
	Team string `json:"-"`
	Name string `json:"-"`
}

// Upstream is one back end of a service and the agent beside it.
type Upstream struct {
	Name       string
	DataCentre string
	// Agent is the agent's address, over UDP and TCP.
	Agent netip.AddrPort
	// Address is where the upstream accepts TCP connections from its agent.
	Address netip.AddrPort
	// Weight is the relative capacity, from 1 to 1,000.
	Weight  uint32
	Leaving bool
}

// Certificate is a TLS certificate with its key, in PEM.
type Certificate struct {
	Chain string
	Key   PrivateKey

	parsed *tls.Certificate
}

// Parsed returns the certificate as ParseTeam parsed it, or nil if none is set or
// it has a fault.
func (c *Certificate) Parsed() *tls.Certificate { return c.parsed }

// HasExpired reports whether there is a parsed certificate and it has expired.
func (c *Certificate) HasExpired(now time.Time) bool {
	return c.parsed != nil && now.After(c.parsed.Leaf.NotAfter)
}

// IsSet reports whether the settings have a certificate or its key.
func (c *Certificate) IsSet() bool { return c.Chain != "" || c.Key != "" }

// Limits bounds the work of one upstream. Zero fields stand for the defaults.
type Limits struct {
	// Slots is how many requests run at a time at most.
	Slots int
	// Connections is how many streams are open at a time at most, feeds included.
	Connections int
	// Queue is how many requests wait for a slot at most.
	Queue int
	// QueueWait is how long a request waits for a slot at most.
	QueueWait Duration
}

// Defaults and bounds of Limits.
const (
	DefaultSlots       = 5
	DefaultConnections = 2000
	DefaultQueue       = 10
	DefaultQueueWait   = 2 * time.Second

	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxQueue       = 100_000
	maxQueueWait   = 5 * time.Minute
	maxWeight      = 1000
)

// WithDefaults returns the limits with each zero field set to its default.
func (l Limits) WithDefaults() Limits {
	if l.Slots == 0 {
		l.Slots = DefaultSlots
	}
	if l.Connections == 0 {
		l.Connections = DefaultConnections
	}
	if l.Queue == 0 {
		l.Queue = DefaultQueue
	}
	if l.QueueWait == 0 {
		l.QueueWait = Duration(DefaultQueueWait)
	}
	return l
}

// Duration is a time.Duration written as in "300ms".
type Duration time.Duration

// UnmarshalJSON reads a duration from a string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return eris.Errorf("a duration is a string such as \"300ms\", not %s", b)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return eris.Errorf("%q is not a duration such as \"300ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes a duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
