package jmpass

// IsRefusal reports whether decisions for the reason refuse a new flow, or drop its opening
// packet without an answer. They count each copy of an opening packet.
func (r Reason) IsRefusal() bool {
	switch r {
	case ReasonNoView, ReasonNoRoute, ReasonNoUpstream, ReasonOverLimit, ReasonInVain:
		return true
	}
	return false
}
