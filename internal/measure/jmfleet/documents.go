package jmfleet

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	upstreamsPerService = 10
	servicesPerTeam     = 5
	balancerDivisor     = 8 // one in so many processes is a balancer
	agentPort           = 7100
	balancerPort        = 7000
)

// documents generates the settings of a fleet. One in balancerDivisor processes is a
// balancer, the others are agents with an upstream each.
type documents struct {
	dataCentres int
	balancers   []jmtree.Balancer
	services    []*jmtree.Service
}

func newDocuments(processes, dataCentres int) *documents {
	d := &documents{dataCentres: dataCentres}
	balancers := max(processes/balancerDivisor, 1)
	for i := range balancers {
		d.balancers = append(d.balancers, jmtree.Balancer{
			Name:       fmt.Sprintf("b%d", i),
			DataCentre: d.dataCentre(i),
			Address:    netip.AddrPortFrom(addrAt(10, i), balancerPort),
		})
	}
	for i := range processes - balancers {
		if i%upstreamsPerService == 0 {
			d.addService()
		}
		s := d.services[len(d.services)-1]
		s.Upstreams = append(s.Upstreams, jmtree.Upstream{
			Name:       fmt.Sprintf("u%d", i),
			DataCentre: d.dataCentre(i),
			Agent:      netip.AddrPortFrom(addrAt(11, i), agentPort),
			Address:    netip.AddrPortFrom(addrAt(12, i), agentPort),
			Weight:     uint32(1 + i%4),
		})
	}
	return d
}

func (d *documents) addService() {
	n := len(d.services)
	d.services = append(d.services, &jmtree.Service{
		Number:     jasminemoor.ServiceNumber(n + 1),
		Address:    netip.AddrPortFrom(addrAt(13, n), agentPort),
		ServerName: fmt.Sprintf("s%d.example", n),
		Team:       fmt.Sprintf("t%d", n/servicesPerTeam),
		Name:       fmt.Sprintf("s%d", n),
	})
}

func (d *documents) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%d.dataCentres) }

// addrAt returns the address with the index i in the network first.0.0.0/8.
func addrAt(first byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{first, byte(i >> 16), byte(i >> 8), byte(i)})
}

// fleetSubtree returns the subtree with the settings of the whole fleet.
func (d *documents) fleetSubtree(revision uint64) jasminemoor.Subtree {
	keys := jmtree.Keys{
		ConnectionID: []jmtree.ConnectionIDKey{{Number: 1, Secret: make([]byte, 16), Sealing: true}},
		Datagram:     []jmtree.Secret{make([]byte, 16)},
		Control:      []jmtree.Secret{make([]byte, 32)},
		Reset:        make([]byte, 32),
	}
	prefix := jmtree.Prefix{Number: 1, Prefix: netip.MustParsePrefix("0.0.0.0/0")}
	return jasminemoor.Subtree{Path: jmtree.FleetPath, Revision: revision, Values: map[string]string{
		jmtree.NetworkName:   encode(jmtree.Network{Prefixes: []jmtree.Prefix{prefix}}),
		jmtree.KeysName:      encode(keys),
		jmtree.BalancersName: encode(jmtree.Balancers{Balancers: d.balancers}),
	}}
}

// teamSubtree returns the subtree with the services of a team.
func (d *documents) teamSubtree(team string, revision uint64) jasminemoor.Subtree {
	s := jasminemoor.Subtree{Path: jmtree.TeamPrefix + team, Revision: revision, Values: make(map[string]string)}
	for _, service := range d.services {
		if service.Team == team {
			s.Values[service.Name] = encode(service)
		}
	}
	return s
}

// all returns every subtree at revision 1.
func (d *documents) all() (subtrees []jasminemoor.Subtree) {
	subtrees = append(subtrees, d.fleetSubtree(1))
	for i := 0; i < len(d.services); i += servicesPerTeam {
		subtrees = append(subtrees, d.teamSubtree(d.services[i].Team, 1))
	}
	return subtrees
}

// encode returns a document as JSON.
func encode(document any) string {
	b, err := json.Marshal(document)
	if err != nil {
		panic(err) // the types above always encode
	}
	return string(b)
}
