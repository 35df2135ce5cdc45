package jmpass

import (
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
)

// An upstream that ends in an orderly way closes its port first, and may take long to answer
// its last requests. So a closed port alone does not show that its process has ended, and its
// flows with it.

const (
	// defaultDrainTime is used where Agent.DrainTime is not set.
	defaultDrainTime = 3 * time.Second
	// drainMargin is by how much an upstream may end before its DrainTime has passed since a
	// copy of the directory has listed it as leaving: a copy lags, and some notices are short.
	drainMargin = time.Second
	// minUnanswered is how many packets an upstream that runs does not leave unanswered: it
	// returns those of flows that it lacks, and acknowledges every second one of others.
	minUnanswered = 3
	// minSilence is how long they are unanswered if the upstream has sent no packet of its flows
	// since the agent's start. Another one may be at work on a request all the while.
	minSilence = 250 * time.Millisecond
)

// EndProof says what shows that the process of an upstream whose port is closed has ended.
type EndProof uint8

// The proofs of an end.
const (
	EndUnproven     EndProof = iota
	EndNotAnnounced          // it was not leaving, and so did not close its port itself
	EndRemoved               // it was leaving, and its entry was removed
	EndUnlisted              // the directory has no entry of it
	EndRefused               // no process has the socket for its packets
	EndUnresponsive          // it leaves packets unanswered that a process answers
)

// String returns the proof in words.
func (e EndProof) String() string {
	switch e {
	case EndNotAnnounced:
		return "not listed as leaving"
	case EndRemoved:
		return "entry removed"
	case EndUnlisted:
		return "not listed"
	case EndRefused:
		return "packet refused"
	case EndUnresponsive:
		return "packets unanswered"
	}
	return "none"
}

// checkRefusal checks, as the port has refused a connection, whether the process has ended.
func (a *Agent) checkRefusal(now time.Time) {
	if proof := a.listedEnd(now); proof != EndUnproven && !a.upstream.isDown {
		a.recordEnd(now, proof)
	}
	a.checkSilence(now)
}

// checkSilence checks whether the process of an upstream whose port is closed has ended, by the
// packets that it leaves unanswered, where nothing better is to be had.
func (a *Agent) checkSilence(now time.Time) {
	u, limit := &a.upstream, minSilence
	if u.hasAnswered {
		limit = a.table.requestTimeout(now)
	}
	if a.ReportsRefusals || u.closedSince.IsZero() || u.isDown || u.unanswered < minUnanswered {
		return
	}
	// What keeps the agent from running may keep the upstream.
	hasStalled := now.Sub(a.table.stall.endedAt) < limit
	if now.Sub(u.unansweredSince) >= limit && now.Sub(u.closedSince) >= limit && !hasStalled {
		a.recordEnd(now, EndUnresponsive)
	}
}

// recordEnd records that the upstream's process has ended, and resets its open flows.
func (a *Agent) recordEnd(now time.Time, proof EndProof) {
	u := &a.upstream
	if a.OnEnd != nil {
		a.OnEnd(proof, now.Sub(u.closedSince), now.Sub(a.snapshot.AsOf))
	}
	a.table.stall = stall{ticked: a.table.stall.ticked, resumedAt: a.table.stall.resumedAt}
	a.sawUpstreamDown, u.isDown = true, true
	a.endFlowProbes()
	for _, key := range sortedFlows(a.table.flows) {
		f := a.table.flows[key]
		switch {
		case f.isInherited:
			a.drop(key)
		case f.isOpen:
			a.resetFlow(now, key, f, false)
		}
	}
}

// HandleRefusedPacket handles that a packet reached no process, which was sent to the upstream
// while its port was closed.
func (a *Agent) HandleRefusedPacket(now time.Time) []Message {
	a.begin(now)
	if !a.upstream.closedSince.IsZero() && !a.upstream.isDown {
		a.recordEnd(now, EndRefused)
	}
	return a.out
}

// UnansweredSince returns when the first packet was sent to the upstream since its last one, zero
// if there is none.
func (a *Agent) UnansweredSince() time.Time { return a.upstream.unansweredSince }

// UpstreamEnd returns whether the upstream's port is closed, and whether its process is known to
// have ended.
func (a *Agent) UpstreamEnd() (isClosed, hasEnded bool) {
	return !a.upstream.closedSince.IsZero(), a.upstream.isDown
}

// listedEnd returns what the directory shows of the end of the upstream, whose port is closed.
func (a *Agent) listedEnd(now time.Time) (proof EndProof) {
	isRecent := now.Sub(a.snapshot.AsOf) < a.drainTime()-drainMargin && a.table.stall.hasSettled(now)
	if a.snapshot.View == nil || !isRecent || now.Before(a.snapshot.CompleteAt) {
		return EndUnproven
	}
	entries := a.entriesOfAddress()
	if len(entries) == 0 && !a.freshSince.IsZero() && now.Sub(a.freshSince) >= lapseGrace {
		return EndUnlisted
	}
	for _, u := range entries {
		switch {
		case u.State != jasminemoor.UpstreamLeaving:
			proof = max(proof, EndNotAnnounced)
		case u.HasEnded || a.wasTakenOut(now, u):
			proof = EndRemoved
		default:
			return EndUnproven
		}
	}
	return proof
}

// entriesOfAddress returns the entries of the upstream's address, also if they are unplaced.
func (a *Agent) entriesOfAddress() (entries []*jmdirectory.Upstream) {
	if own := a.snapshot.Upstreams[a.Upstream]; own != nil {
		entries = append(entries, own)
	}
	for _, unplaced := range a.snapshot.Unplaced {
		for _, u := range unplaced {
			if u.Address == a.Upstream {
				entries = append(entries, u)
			}
		}
	}
	return entries
}

// wasTakenOut reports whether the entry of a leaving upstream was removed because that had left.
// One that has lapsed during an outage of the platform's store returns within lapseGrace.
func (a *Agent) wasTakenOut(now time.Time, u *jmdirectory.Upstream) bool {
	if !u.IsRemoved || a.freshSince.IsZero() {
		return false
	}
	return hasLeft(now, u) || u.RemovedAt.Sub(a.freshSince) >= lapseGrace
}

// recordFreshness records since when the view has been fresh.
func (a *Agent) recordFreshness(now time.Time) {
	switch isFresh := a.snapshot.View != nil && a.snapshot.isFresh(now); {
	case !isFresh:
		a.freshSince = time.Time{}
	case a.freshSince.IsZero():
		a.freshSince = now
	}
}

func (a *Agent) drainTime() time.Duration {
	if a.DrainTime > 0 {
		return a.DrainTime
	}
	return defaultDrainTime
}
