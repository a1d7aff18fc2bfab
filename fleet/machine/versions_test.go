package machine

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// versionPlan is a planner that reads back what it writes about the versions of a service.
type versionPlan struct {
	*VersionBook
	now    clock.Instant
	writes int
}

// run lets the planner look at the runners for the given time and returns the record after that.
func (p *versionPlan) run(d time.Duration, lost bool, runners map[SoftwareVersion]int) VersionRecord {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		p.Look(true, p.now)
		if next, changed := p.Next("s", runners, lost, p.now); changed {
			p.Set("s", next, false, p.now)
			p.writes++
		}
		lost = false
	}
	record, _ := p.Record("s")
	return record
}

// TestFurtherVersionOpensAfterAllVMsCanKnowIt guards against a stream of a further version while a VM still takes each stream for
// one of the default version.
func TestFurtherVersionOpensAfterAllVMsCanKnowIt(t *testing.T) {
	p := versionPlan{VersionBook: NewVersionBook(), now: start}
	if record := p.run(time.Second, false, map[SoftwareVersion]int{"b": 3}); record.Begins("b") != BeginsDefault || !record.Single() {
		t.Fatalf("record %+v", record)
	}
	both := map[SoftwareVersion]int{"a": 1, "b": 2}
	if record := p.run(ViewAge, false, both); record.Begins("a") != MayNotBegin || record.Single() {
		t.Errorf("record %+v within the age of a VM's view", record)
	}
	record := p.run(time.Second, false, both)
	if record.Begins("a") != BeginsRecorded || record.Begins("b") != BeginsDefault || p.writes != 3 {
		t.Errorf("record %+v after %d writes, want a open after the third", record, p.writes)
	}
}

// TestVersionIsKeptUntilItsStreamsHaveEnded guards against a VM that takes a stream of a version that has left for one of the
// default version, and against records of versions that stay for good.
func TestVersionIsKeptUntilItsStreamsHaveEnded(t *testing.T) {
	p := versionPlan{VersionBook: NewVersionBook(), now: start}
	p.run(10*time.Second, false, map[SoftwareVersion]int{"a": 1, "b": 2})
	onlyB := map[SoftwareVersion]int{"b": 2}
	if record := p.run(StreamMemory-time.Second, false, onlyB); record.Single() {
		t.Errorf("record %+v while streams of a may live", record)
	}
	if record := p.run(2*time.Second, false, onlyB); !record.Single() {
		t.Errorf("record %+v after the streams of a", record)
	}
}

// TestDefaultVersionIsReplaced guards against a default version that has left, or that few runners have, and for whose sake the
// streams of all others are recorded for good. While its streams without a record may live, no other one takes its place.
func TestDefaultVersionIsReplaced(t *testing.T) {
	for name, runners := range map[string]map[SoftwareVersion]int{
		"it has left": {"b": 3}, "few runners have it": {"a": 1, "b": 3},
	} {
		p := versionPlan{VersionBook: NewVersionBook(), now: start}
		p.run(time.Second, false, map[SoftwareVersion]int{"a": 4})
		if record := p.run(2*StreamMemory-time.Second, false, runners); record.Begins("b") == BeginsDefault {
			t.Errorf("%s: record %+v too early", name, record)
		}
		if record := p.run(2*StreamMemory, false, runners); record.Begins("b") != BeginsDefault {
			t.Errorf("%s: record %+v, want b as the default version", name, record)
		}
	}
}

// TestLostRecordsLeaveNoDefault guards against taking a stream for one of the default version because its record was lost when
// the store returned from an older copy.
func TestLostRecordsLeaveNoDefault(t *testing.T) {
	both := map[SoftwareVersion]int{"a": 1, "b": 2}
	p := versionPlan{VersionBook: NewVersionBook(), now: start}
	p.run(10*time.Second, false, both)
	record := p.run(2*StreamMemory-time.Second, true, both)
	if !record.Undecided || record.Begins("a") != BeginsRecorded || record.Begins("b") != BeginsRecorded {
		t.Errorf("record %+v, want both versions recorded", record)
	}
	if record = p.run(2*time.Second, false, both); record.Undecided {
		t.Errorf("record %+v after the streams without a record", record)
	}
	single := versionPlan{VersionBook: NewVersionBook(), now: start}
	single.run(time.Second, false, map[SoftwareVersion]int{"a": 2})
	if record := single.run(time.Second, true, map[SoftwareVersion]int{"a": 2}); !record.Single() {
		t.Errorf("record %+v although there was one version only", record)
	}
}

// TestVersionThatWasListedAnewIsNotOpenedAtOnce guards against a planner that has missed that a version was dropped, or that there
// was a default version, and counts from before.
func TestVersionThatWasListedAnewIsNotOpenedAtOnce(t *testing.T) {
	p := versionPlan{VersionBook: NewVersionBook(), now: start}
	p.run(10*time.Second, false, map[SoftwareVersion]int{"a": 2, "b": 1})
	both := map[SoftwareVersion]int{"a": 2, "b": 1}
	p.Set("s", VersionRecord{Default: "a", Others: map[SoftwareVersion]VersionState{"b": VersionListed}}, true, p.now)
	if record := p.run(ViewAge, false, both); record.Begins("b") != MayNotBegin {
		t.Errorf("record %+v within %v of the listing", record, ViewAge)
	}
	if record := p.run(time.Second, false, both); record.Begins("b") != BeginsRecorded {
		t.Errorf("record %+v, want b open", record)
	}
	undecided := VersionRecord{Undecided: true, Others: map[SoftwareVersion]VersionState{"a": VersionOpen, "b": VersionOpen}}
	p.Set("s", undecided, true, p.now)
	p.run(2*StreamMemory-time.Second, false, both)
	p.Set("s", undecided, true, p.now)
	if record := p.run(2*StreamMemory-time.Second, false, both); !record.Undecided {
		t.Errorf("record %+v while streams without a record may live", record)
	}
	if record := p.run(2*time.Second, false, both); record.Undecided {
		t.Errorf("record %+v after them", record)
	}
}

// TestAbsenceIsCountedWhileItIsSeen guards against a VM that was cut off or stood still, and takes a version for one that has had no
// runners for a minute, while its streams of the last seconds live.
func TestAbsenceIsCountedWhileItIsSeen(t *testing.T) {
	for name, gap := range map[string]func(p *versionPlan){
		"cut off":     func(p *versionPlan) { p.Look(false, p.now) },
		"stood still": func(p *versionPlan) { p.now = p.now.Add(ViewAge) },
	} {
		p := versionPlan{VersionBook: NewVersionBook(), now: start}
		p.run(10*time.Second, false, map[SoftwareVersion]int{"a": 2, "b": 1})
		onlyA := map[SoftwareVersion]int{"a": 2}
		p.run(StreamMemory-ViewAge, false, onlyA)
		gap(&p)
		if record := p.run(StreamMemory-time.Second, false, onlyA); record.Single() {
			t.Errorf("%s: record %+v, want b kept for a minute after the gap", name, record)
		}
		if record := p.run(2*time.Second, false, onlyA); !record.Single() {
			t.Errorf("%s: record %+v, want b dropped", name, record)
		}
	}
}
