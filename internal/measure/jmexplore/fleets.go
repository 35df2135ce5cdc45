package jmexplore

// The services of the fleets.
const (
	shop = "shop"
	desk = "desk"
)

// Fleets returns the fleets that are explored.
func Fleets() []*Fleet {
	steps := func(text string) []Step {
		s, err := ParseSteps(text)
		if err != nil {
			panic(err)
		}
		return s
	}
	// Of two upstreams with the same cost the last in rank gets a flow, and a balancer that does
	// not know the flow asks the first.
	open := "send 0 0; settle; send 0 0; settle"
	return []*Fleet{
		{
			Name: "opening", Balancers: 1, Nodes: []string{shop, shop}, Flows: []string{shop},
			MaxFaults: 2, MaxSends: 3,
		},
		{
			Name: "open", Balancers: 2, Nodes: []string{shop, shop}, Flows: []string{shop},
			Prefix: steps(open), IsInStep: true, MaxFaults: 3, MaxSends: 3,
		},
		{
			Name: "three", Balancers: 2, Nodes: []string{shop, shop, shop}, Flows: []string{shop, shop},
			Prefix: steps("send 0 0; send 1 1; settle; send 0 0; settle"), IsInStep: true, MaxFaults: 3, MaxSends: 4,
		},
		{
			Name: "joined", Balancers: 2, Nodes: []string{shop, shop}, Joining: []int{0}, Flows: []string{shop},
			Prefix: steps("join 2; copy 2; " + open), IsInStep: true, MaxFaults: 2, MaxSends: 3,
		},
		{
			// Both balancers know of the upstream that has joined, and an agent does not.
			Name: "behind", Balancers: 2, Nodes: []string{shop, shop}, Joining: []int{0}, Flows: []string{shop},
			Prefix:  steps("join 2; copy 0; copy 1; copy 2; " + open),
			Without: []StepKind{Restart, Stop, Reuse, OldCopy}, MaxFaults: 2, MaxSends: 3,
		},
		{
			Name: "reused", Balancers: 1, Nodes: []string{shop, shop, desk}, Flows: []string{shop, desk},
			Services: []string{shop, desk}, IsInStep: true, MaxFaults: 2, MaxSends: 4,
		},
		{
			Name: "moved", Balancers: 2, Nodes: []string{shop, desk}, Flows: []string{shop}, Services: []string{shop, desk},
			Prefix: steps(open), IsInStep: true, MaxFaults: 2, MaxSends: 3,
		},
		{
			Name: "closing", Balancers: 2, Nodes: []string{shop, shop}, Flows: []string{shop},
			Prefix: steps(open + "; leave 2; leave 3; pass 2100; pass 2100"), IsInStep: true, CanLeave: true,
			Without: []StepKind{Leave, Reuse, Move, Join, Revive}, MaxFaults: 3, MaxSends: 4,
		},
		{
			// A copy that lags says that the upstreams are ready.
			Name: "leaving", Balancers: 1, Nodes: []string{shop, shop}, Flows: []string{shop},
			Prefix: steps(open), CanLeave: true,
			Without: []StepKind{Reuse, Move, Join, Revive}, MaxFaults: 3, MaxSends: 4,
		},
	}
}
