package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
)

// noEra is the store's era while it has not answered yet.
const noEra = -1

// enterEra takes note of the store's era that an answer shows. It returns false if the answer is of an earlier era than
// another one before it: what it shows is no longer so.
func (r *routing) enterEra(era int64, now clock.Instant) bool {
	if era <= r.era {
		return era == r.era
	}
	before := r.era
	r.era = era
	if before == noEra {
		return true
	}
	r.log.Warn("store restored", "era", era, "before", before, "known_up_to", r.changes.Position().Revision)
	return true
}
