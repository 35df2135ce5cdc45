package jmtree

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/jasminemoor/jasminemoor"
)

// claims maps each number, address, server name and agent to the service that
// claims it, as <team>/<service>, so that no two services share one.
type claims struct {
	numbers     map[jasminemoor.ServiceNumber]string
	addresses   map[netip.AddrPort]string
	serverNames map[string]string
	agents      map[netip.AddrPort]string
}

func newClaims() *claims {
	return &claims{
		numbers:     make(map[jasminemoor.ServiceNumber]string),
		addresses:   make(map[netip.AddrPort]string),
		serverNames: make(map[string]string),
		agents:      make(map[netip.AddrPort]string),
	}
}

// add claims a service's number, address, server name and agents. If others claim
// any of them, it claims nothing and returns the conflicts.
func (c *claims) add(s *Service) (conflicts []string) {
	owner := s.Team + "/" + s.Name
	serverName := strings.ToLower(s.ServerName)
	if other, taken := c.numbers[s.Number]; taken {
		conflicts = append(conflicts, fmt.Sprintf("number %d is claimed by %s", s.Number, other))
	}
	if other, taken := c.addresses[s.Address]; taken {
		conflicts = append(conflicts, fmt.Sprintf("address %s is claimed by %s", s.Address, other))
	}
	if other, taken := c.serverNames[serverName]; taken {
		conflicts = append(conflicts, fmt.Sprintf("server name %s is claimed by %s", serverName, other))
	}
	agents := make(map[netip.AddrPort]string)
	for _, u := range s.Upstreams {
		other, taken := c.agents[u.Agent]
		if !taken {
			other, taken = agents[u.Agent]
		}
		if taken {
			conflicts = append(conflicts, fmt.Sprintf("agent %s is claimed by %s", u.Agent, other))
		}
		agents[u.Agent] = owner
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	c.numbers[s.Number] = owner
	c.addresses[s.Address] = owner
	c.serverNames[serverName] = owner
	for agent := range agents {
		c.agents[agent] = owner
	}
	return nil
}
