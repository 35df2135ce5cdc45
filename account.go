package jasminemoor

import "net/netip"

// ClientAccount is a client account of pass-through flows: the callers of some networks,
// and what they may use of an upstream while others wait.
type ClientAccount struct {
	Name     string
	Networks []netip.Prefix
	// Weight is the account's share relative to those of others, 0 stands for 1.
	Weight float64
	// MaxWaiting is how many of the account's requests may wait at one upstream before
	// new flows of the account are refused there, 0 if there is no limit.
	MaxWaiting int
}
