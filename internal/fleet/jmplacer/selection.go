package jmplacer

// Condition says whether an upstream can accept new flows, as far as is known.
type Condition uint8

// The conditions of an upstream.
const (
	Working Condition = iota
	Suspect           // its agent may have failed
	Dead
	Leaving // it accepts no new work
)

// String returns the name of the condition.
func (c Condition) String() string {
	switch c {
	case Working:
		return "working"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "leaving"
}

// Upstream is an upstream of a service and its condition.
type Upstream struct {
	Candidate
	Condition Condition
}

// Select returns the upstreams that new flows may go to, and their condition: the
// working ones, or else the suspect ones, or else the dead ones. A failure detector
// may be wrong, so a service loses all of its upstreams only if all are leaving.
// Without a candidate, the condition is Leaving.
func Select(upstreams []Upstream) (candidates []Candidate, condition Condition) {
	for _, condition = range []Condition{Working, Suspect, Dead} {
		for _, u := range upstreams {
			if u.Condition == condition {
				candidates = append(candidates, u.Candidate)
			}
		}
		if len(candidates) > 0 {
			return candidates, condition
		}
	}
	return nil, Leaving
}
