package jasminemoor

import "fmt"

// changeBits is the number of low bits of a Revision that hold the change counter.
const changeBits = 48

// Revision is a position in the sequence of the platform's changes. It is ordered by era
// first: a platform that is restored from a copy begins a new era, in which its change
// counter goes back and gives numbers out again.
type Revision uint64

// NewRevision returns the revision of a change. The era is at most 65,535, and the change
// counter below 2^48.
func NewRevision(era, change uint64) Revision {
	return Revision(era<<changeBits | change&(1<<changeBits-1))
}

// Era returns how many times the platform had been restored from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> changeBits }

// Change returns the platform's change counter. It is 0 for the state with which the era
// began, before any change.
func (r Revision) Change() uint64 { return uint64(r) & (1<<changeBits - 1) }

// IsEraStart reports whether r is the state with which the platform came back from a copy.
func (r Revision) IsEraStart() bool { return r.Change() == 0 && r.Era() > 0 }

// EraStart returns the first revision of the era of r.
func (r Revision) EraStart() Revision { return NewRevision(r.Era(), 0) }

// String returns the era and the change counter, as in 1/530. The era is left out before the
// first restore.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Change())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Change())
}
