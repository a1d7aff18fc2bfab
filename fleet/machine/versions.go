package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// SoftwareVersion is the version of a runner's software, not of its weights. Versions have no order. What two versions of a
// service write doesn't fit together, so a stream goes on only at the version that began it.
type SoftwareVersion string

const (
	// StreamMemory is how long a VM and the store keep what began a stream. It is longer than any caller waits for one.
	StreamMemory = time.Minute
	// ViewAge is the oldest view of the versions in the store from which a VM concludes that a stream has no record of its
	// own. A further version begins streams only once it has been listed for longer.
	ViewAge = 2 * time.Second
	// MaxRecordAge is the age of a VM's record from which on it begins no streams. One of the default version may have no record
	// of its own, so it must have ended when another version is the default one: that takes 2*StreamMemory from when the version
	// is given up or has no runners, and a stream lives for StreamMemory.
	MaxRecordAge = 2*StreamMemory - StreamMemory
	// majority is how many times as many runners as the default version another one must have to replace it.
	majority = 2
)

// VersionState says whether a version beside the default one begins streams.
type VersionState string

// The states of a version.
const (
	VersionListed VersionState = "listed" // not yet: some VMs may not know of it
	VersionOpen   VersionState = "open"
)

// VersionRecord is what all VMs agree on about the software versions of a service, whatever VMs end.
type VersionRecord struct {
	// Default is the version that began each stream without a record of its own. While Undecided is set, there is none:
	// nothing follows from a missing record.
	Default   SoftwareVersion
	Undecided bool
	Others    map[SoftwareVersion]VersionState // further versions; each of their streams has a record
}

// Beginning says how runners of a version begin streams.
type Beginning int

// The ways in which a version begins streams.
const (
	MayNotBegin   Beginning = iota // a VM that takes the stream up would take it for one of another version
	BeginsDefault                  // no record is needed
	BeginsRecorded
)

// Begins returns how runners of a version begin streams.
func (r VersionRecord) Begins(v SoftwareVersion) Beginning {
	switch {
	case !r.Undecided && v == r.Default:
		return BeginsDefault
	case r.Others[v] == VersionOpen:
		return BeginsRecorded
	}
	return MayNotBegin
}

// Single reports whether all streams are known to be of the default version.
func (r VersionRecord) Single() bool { return !r.Undecided && len(r.Others) == 0 }

// Equal reports whether two records say the same.
func (r VersionRecord) Equal(o VersionRecord) bool {
	return r.Default == o.Default && r.Undecided == o.Undecided && maps.Equal(r.Others, o.Others)
}

func (r VersionRecord) clone() VersionRecord {
	if r.Others = maps.Clone(r.Others); r.Others == nil {
		r.Others = make(map[SoftwareVersion]VersionState)
	}
	return r
}

// undecide makes the default version one of those whose streams have a record.
func (r *VersionRecord) undecide() {
	if !r.Undecided {
		r.Others[r.Default] = VersionOpen
		r.Default, r.Undecided = "", true
	}
}

// VersionBook holds the version records of the services as this VM has read them, and the times since this process knows what
// they say.
type VersionBook struct {
	services map[contract.ServiceName]*serviceVersions
	lookedAt clock.Instant // last look at the runners; zero: none
}

type serviceVersions struct {
	record         VersionRecord
	listedAt       map[SoftwareVersion]clock.Instant // since when the version is known to be one of the others
	absentSince    map[SoftwareVersion]clock.Instant // since when no runner has the version
	undecidedSince clock.Instant
	minoritySince  clock.Instant // since when another version has a majority over the default one; zero: none has
}

// NewVersionBook returns a book without records.
func NewVersionBook() *VersionBook {
	return &VersionBook{services: make(map[contract.ServiceName]*serviceVersions)}
}

// Record returns the record of a service, and false if there is none.
func (b *VersionBook) Record(s contract.ServiceName) (VersionRecord, bool) {
	if v := b.services[s]; v != nil {
		return v.record, true
	}
	return VersionRecord{}, false
}

// Set replaces the record of a service by one that was written after it. missed says that other records may have been in force
// between the two: a version that is listed in both may have been dropped and listed anew.
func (b *VersionBook) Set(s contract.ServiceName, record VersionRecord, missed bool, now clock.Instant) {
	v := b.services[s]
	if v == nil {
		v = &serviceVersions{
			listedAt: make(map[SoftwareVersion]clock.Instant), absentSince: make(map[SoftwareVersion]clock.Instant),
		}
		b.services[s] = v
	}
	if record.Undecided && (missed || !v.record.Undecided) {
		v.undecidedSince = now
	}
	v.record = record
	maps.DeleteFunc(v.listedAt, func(version SoftwareVersion, _ clock.Instant) bool { return record.Others[version] == "" })
	for version, state := range record.Others {
		if _, known := v.listedAt[version]; !known || missed && state == VersionListed {
			v.listedAt[version] = now
		}
	}
}

// Look notes that this VM looks at the runners, and whether its view of them is recent. After a time without a recent view, the
// absence of a version counts anew: it may have had runners, and streams, meanwhile.
func (b *VersionBook) Look(recent bool, now clock.Instant) {
	if !recent || b.lookedAt != 0 && now.Sub(b.lookedAt) > ViewAge {
		for _, v := range b.services {
			clear(v.absentSince)
		}
	}
	b.lookedAt = now
}

// Next returns the record that the planner writes next for a service, given the number of its runners of each version. lost
// says that records of streams may be lost.
func (b *VersionBook) Next(
	s contract.ServiceName, runners map[SoftwareVersion]int, lost bool, now clock.Instant,
) (next VersionRecord, changed bool) {
	if len(runners) == 0 {
		return VersionRecord{}, false
	}
	v := b.services[s]
	if v == nil {
		next = VersionRecord{Default: mostCommon(runners)}.clone()
		next.list(runners)
		return next, true
	}
	next = v.record.clone()
	v.noteAbsent(runners, now)
	if lost && (!next.Single() || len(runners) > 1) {
		next.undecide()
		v.undecidedSince = now
	}
	next.list(runners)
	for version, state := range next.Others {
		listedAt, known := v.listedAt[version]
		if state == VersionListed && known && now.Sub(listedAt) > ViewAge {
			next.Others[version] = VersionOpen
		}
		if v.absent(version, StreamMemory, now) {
			delete(next.Others, version)
		}
	}
	v.chooseDefault(&next, runners, now)
	return next, !next.Equal(v.record)
}

// list adds the versions of the runners that are missing.
func (r *VersionRecord) list(runners map[SoftwareVersion]int) {
	for version := range runners {
		if _, known := r.Others[version]; !known && (r.Undecided || version != r.Default) {
			r.Others[version] = VersionListed
		}
	}
}

// chooseDefault replaces a default version whose streams have all ended. One that has runners, but few, first becomes one of
// the others, until its streams without a record have ended.
func (v *serviceVersions) chooseDefault(next *VersionRecord, runners map[SoftwareVersion]int, now clock.Instant) {
	common := mostCommon(runners)
	minority := !next.Undecided && runners[next.Default] > 0 && runners[common] >= majority*runners[next.Default]
	switch {
	case !minority:
		v.minoritySince = 0
	case v.minoritySince == 0:
		v.minoritySince = now
	case now.Sub(v.minoritySince) > StreamMemory:
		next.undecide()
		return
	}
	ended := !next.Undecided && v.absent(next.Default, 2*StreamMemory, now) ||
		next.Undecided && v.record.Undecided && now.Sub(v.undecidedSince) > 2*StreamMemory
	if ended {
		next.Default, next.Undecided = common, false
		delete(next.Others, common)
	}
}

// noteAbsent notes since when no runner has a version of the record.
func (v *serviceVersions) noteAbsent(runners map[SoftwareVersion]int, now clock.Instant) {
	versions := slices.Collect(maps.Keys(v.record.Others))
	for _, version := range append(versions, v.record.Default) {
		if runners[version] > 0 {
			delete(v.absentSince, version)
		} else if _, noted := v.absentSince[version]; !noted {
			v.absentSince[version] = now
		}
	}
}

// absent reports whether no runner has had a version for longer than the given time.
func (v *serviceVersions) absent(version SoftwareVersion, d time.Duration, now clock.Instant) bool {
	since, noted := v.absentSince[version]
	return noted && now.Sub(since) > d
}

// mostCommon returns the version of the most runners; of several, the first in the order of their names.
func mostCommon(runners map[SoftwareVersion]int) SoftwareVersion {
	var best SoftwareVersion
	most := 0
	for version, n := range runners {
		if n > most || n == most && version < best {
			best, most = version, n
		}
	}
	return best
}
