package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

const (
	// prefixVersions is the prefix of the keys that hold the version record of each service. They aren't leased.
	prefixVersions = prefixOwn + "versions/"
	// versionCheckPeriod is the time between two looks at whether a record has to change.
	versionCheckPeriod = 100 * time.Millisecond
	// versionWritePeriod is the time between two writes of one record, of which the first has had no effect.
	versionWritePeriod = time.Second
	// versionTakeover is how long a record may be out of date until other VMs than the planner write it too.
	versionTakeover = 2 * time.Second
)

// versionEntry is the value of a service's key.
type versionEntry struct {
	Default   machine.SoftwareVersion                          `json:"default"`
	Undecided bool                                             `json:"undecided"`
	Others    map[machine.SoftwareVersion]machine.VersionState `json:"others"`
	Era       int64                                            `json:"era"` // of the store, in which the record was written
}

func (e versionEntry) record() machine.VersionRecord {
	return machine.VersionRecord{Default: e.Default, Undecided: e.Undecided, Others: e.Others}
}

// softwareVersions is what this VM knows of the software versions of the services.
type softwareVersions struct {
	book      *machine.VersionBook
	keys      map[contract.ServiceName]versionKey
	checkedAt clock.Instant
	readAt    clock.Instant // sending of the last call to the store whose answer this VM knows
}

// versionKey is what this VM knows of a service's key.
type versionKey struct {
	revision   int64         // as last read; zero: there is none
	applied    link.Position // of the last change that was applied
	writtenIn  int64         // era that the value states
	writtenAt  clock.Instant // last write without an answer
	outdatedAt clock.Instant // since when the record has to change; zero: it is up to date
}

func newSoftwareVersions() softwareVersions {
	return softwareVersions{book: machine.NewVersionBook(), keys: make(map[contract.ServiceName]versionKey)}
}

// forgetRevisions notes that no key has been read in a listing yet.
func (v *softwareVersions) forgetRevisions() {
	for service, key := range v.keys {
		key.revision = 0
		v.keys[service] = key
	}
}

// applyVersions applies a change of a service's key, which follows the one that this VM has applied last if replaces is that
// one's position. What is known stays if the key is removed.
func (r *routing) applyVersions(c ownKeyChange, replaces link.Position, now clock.Instant) {
	service := contract.ServiceName(strings.TrimPrefix(c.key, prefixVersions))
	key := r.versions.keys[service]
	if c.at().Before(key.applied) {
		return // a later change was applied when it was written
	}
	missed := c.at() != key.applied && replaces != key.applied
	key.applied, key.revision = c.at(), c.revision
	var e versionEntry
	if err := json.Unmarshal(c.value, &e); c.gone {
		key.revision, key.writtenIn = 0, noEra
	} else if err != nil {
		r.log.Warn("software versions rejected", "service", service, "error", err.Error())
		key.writtenIn = noEra
	} else {
		before, known := r.versions.book.Record(service)
		if record := e.record(); !known || !before.Equal(record) {
			r.log.Info("software versions", "service", service, "default", e.Default, "undecided", e.Undecided,
				"others", e.Others, "era", e.Era, "revision", c.revision)
		}
		r.versions.book.Set(service, e.record(), missed, now)
		key.writtenIn, key.outdatedAt = e.Era, 0
	}
	r.versions.keys[service] = key
}

// versionsOf returns the version record of a service, whether there is one, and whether the records of streams that were
// written under it are still there: they are lost when the store returns from an older copy.
func (r *routing) versionsOf(s contract.ServiceName) (record machine.VersionRecord, known, kept bool) {
	record, known = r.versions.book.Record(s)
	kept = r.era.newest <= link.FirstEra || r.versions.keys[s].writtenIn == r.era.newest
	return record, known, kept
}

// oneVersion returns the software version that began all streams of a service of which this VM has no other sign, and false
// if there may be several.
func (r *routing) oneVersion(s contract.ServiceName) (machine.SoftwareVersion, bool) {
	record, known, _ := r.versionsOf(s)
	runners := r.fleet.Versions(s)
	single := known && record.Single() && (len(runners) == 0 || len(runners) == 1 && runners[record.Default] > 0)
	return record.Default, single
}

// beginning returns how runners of a software version begin a service's resumable streams.
func (r *routing) beginning(s contract.ServiceName, v machine.SoftwareVersion, now clock.Instant) machine.Beginning {
	record, known, kept := r.versionsOf(s)
	begins := record.Begins(v)
	one, single := r.oneVersion(s)
	switch {
	case !known: // another VM may be about to make any version the default one
		begins = machine.BeginsRecorded
	case !kept && begins == machine.BeginsDefault && !(single && one == v):
		begins = machine.BeginsRecorded
	}
	if begins == machine.BeginsRecorded && !r.canRecordStreams(now) || now.Sub(r.versions.readAt) >= machine.MaxRecordAge {
		return machine.MayNotBegin
	}
	return begins
}

// recordVersions writes the version records that have to change. The planner does so at once, the other VMs only if it does
// not.
func (r *routing) recordVersions(now clock.Instant) {
	v := &r.versions
	if r.keyWrites == nil || !r.leader.ownKeysRead || r.manifest == nil || now.Sub(v.checkedAt) < versionCheckPeriod {
		return
	}
	v.checkedAt = now
	recent := r.viewIsRecent(now)
	if v.book.Look(recent, now); !recent {
		return // what this VM knows of the runners may have changed
	}
	if r.era.newest > link.FirstEra && !r.freshness.EraSettled() {
		return // runners whose entries the copy lacks are missing
	}
	for service := range r.manifest.Services {
		if r.manifest.ServesResumableStreams(service) {
			v.keys[service] = r.recordVersionsOf(service, now)
		}
	}
}

// recordVersionsOf writes the record of a service if it has to change, and returns what is known of its key then.
func (r *routing) recordVersionsOf(service contract.ServiceName, now clock.Instant) versionKey {
	key, runners := r.versions.keys[service], r.fleet.Versions(service)
	_, _, kept := r.versionsOf(service)
	next, changed := r.versions.book.Next(service, runners, !kept, now)
	if !changed && (kept || len(runners) == 0) {
		key.outdatedAt = 0
		return key
	}
	if key.outdatedAt == 0 {
		key.outdatedAt = now
	}
	takesOver := now.Sub(key.outdatedAt) > versionTakeover
	if r.members.planner != r.node && !takesOver || key.writtenAt != 0 && now.Sub(key.writtenAt) <= versionWritePeriod {
		return key
	}
	key.writtenAt = now
	r.keyWrites.TryPush(keyWrite{
		key: prefixVersions + string(service), era: r.era.newest, revision: key.revision,
		value: versionEntry{Default: next.Default, Undecided: next.Undecided, Others: next.Others, Era: r.era.newest},
	})
	return key
}

// keyWritten says that a write of one of mangopass's keys was applied at a position of the store.
type keyWritten struct {
	write keyWrite
	value []byte
	at    link.Position
}

// apply applies a version record that this VM has written before the watch shows it. Another write may follow at once.
func (m keyWritten) apply(r *routing, now clock.Instant) {
	if !strings.HasPrefix(m.write.key, prefixVersions) || m.at.Era != r.era.newest {
		return
	}
	replaces := link.Position{Era: m.write.era, Revision: m.write.revision}
	r.applyVersions(ownKeyChange{key: m.write.key, value: m.value, era: m.at.Era, revision: m.at.Revision}, replaces, now)
	service := contract.ServiceName(strings.TrimPrefix(m.write.key, prefixVersions))
	key := r.versions.keys[service]
	key.writtenAt = 0
	r.versions.keys[service] = key
}
