package jmplacer

// Condition is what is believed of an upstream.
type Condition uint8

// The conditions of an upstream.
const (
	Working Condition = iota
	Suspect           // it may not answer
	Dead
	Leaving // it takes no new work
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

// Select returns the upstreams that new flows may go to: those that work, or
// else the suspect ones, or else the dead. What is believed of them may be
// wrong, so a whole service is never taken out, unless all its upstreams leave.
func Select(upstreams []Upstream) (candidates []Candidate, of Condition) {
	for _, of = range []Condition{Working, Suspect, Dead} {
		for _, u := range upstreams {
			if u.Condition == of {
				candidates = append(candidates, u.Candidate)
			}
		}
		if len(candidates) > 0 {
			return candidates, of
		}
	}
	return nil, Leaving
}
