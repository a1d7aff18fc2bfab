package entry

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

const (
	// prefixStreams is the prefix of the keys that hold what began a stream, for versions other than a service's default one.
	prefixStreams = prefixOwn + "streams/"
	// continuationWait is how long a stream that broke off waits for a runner of its version with the model. Callers give up
	// after two seconds without an event, or later.
	continuationWait = 1500 * time.Millisecond
	// takeUpWaitShare is the share of its time that a call which takes a stream up waits for a runner of its version. It is
	// larger than that of others, which may be served elsewhere when they come again.
	takeUpWaitShare = 0.85
	// originWait limits the wait of a call for the record of its origin. The reads wait for each other, and each takes up to
	// platform.StoreCallTimeout while the store is silent.
	originWait = 2 * time.Second
	// originRetryAfter is when a caller may take a stream up again whose origin is not known now.
	originRetryAfter = time.Second
	// recordPause is the time after a failed record of a stream in which no stream is begun that needs one.
	recordPause = time.Second
)

// originSource says where this VM knows from what began a stream.
type originSource string

const (
	fromMemory     originSource = "memory"      // this VM has begun it
	fromOneVersion originSource = "one version" // no other version is in service
	fromRecord     originSource = "store"
	fromNoRecord   originSource = "no record" // the store has none: the default version
)

// streamEntry is the value of a stream's key.
type streamEntry struct {
	Service contract.ServiceName    `json:"service"`
	Version machine.SoftwareVersion `json:"version"`
	Node    string                  `json:"node"` // the VM that wrote it, which also removes it
}

func keyOfStream(id link.StreamID) string { return prefixStreams + strconv.FormatUint(uint64(id), 16) }

// streams is what this VM knows of the streams that it has begun, and its way to the store for what others have begun.
type streams struct {
	origins     *link.OriginBook
	records     bool          // streams can be recorded: the duty for it runs
	pausedUntil clock.Instant // no stream is begun that needs a record
	reads       originReads
	awaiting    []*call // those that wait for their origin, in the order of their arrival; some may have ended
}

// refuseOldRecord refuses a call that would begin a resumable stream by a record of the versions that is too old for it. It reports
// whether it has done so.
func (r *routing) refuseOldRecord(c *call, now clock.Instant) bool {
	if age := now.Sub(r.versions.readAt); c.admitted.Route.ResumableStream() && age >= machine.MaxRecordAge {
		r.refuse(c, contract.Refuse(contract.StreamUnrecorded, originRetryAfter,
			"the software versions known here are %s old", age.Round(time.Second)), now)
		return true
	}
	return false
}

// canRecordStreams reports whether a stream that begins now can be expected to be recorded in time.
func (r *routing) canRecordStreams(now clock.Instant) bool {
	return r.streams.records && !now.Before(r.streams.pausedUntil) && r.freshness.StoreAge(now) < machine.ViewAge
}

// owner returns the organisation of an admitted call, or an empty name on a public route.
func (c *call) owner() contract.OrganisationName {
	if c.admitted.Organisation == nil {
		return ""
	}
	return c.admitted.Organisation.Name
}

// takesUp reports whether the caller takes up a stream that began in an earlier request.
func (c *call) takesUp() bool { return c.request.LastEvent != "" && c.admitted.Route.ResumableStream() }

// pin makes a call go on only at the software version that began its stream.
func (c *call) pin(v machine.SoftwareVersion) { c.pinned, c.version = true, v }

// findOrigin finds out what began the stream that a call takes up: from the streams that this VM has begun, by the rule that a
// stream without a record is one of the default version, or from the store.
func (r *routing) findOrigin(c *call, now clock.Instant) {
	id := link.NewStreamID(c.owner(), c.request.Resumes)
	if origin, ok := r.streams.origins.Get(id); ok && c.request.Resumes != "" {
		r.takeUp(c, origin, fromMemory, now)
		return
	}
	if one, single := r.oneVersion(c.service); single && r.viewIsRecent(now) {
		r.takeUp(c, link.Origin{Service: c.service, Version: one}, fromOneVersion, now)
		return
	}
	if c.request.Resumes == "" {
		r.refuse(c, contract.Refuse(contract.StreamLost, 0, "the request does not name the one that began the stream"), now)
		return
	}
	if refusal := r.checkQuota(c, now); refusal != nil {
		r.refuse(c, refusal, now)
		return
	}
	if !r.streams.reads.tryPush(originRead{call: c, id: id}) {
		r.refuseUnknownOrigin(c, "too many streams are taken up", now)
		return
	}
	c.originUntil = min(now.Add(originWait), c.waitUntil)
	r.streams.awaiting = append(r.streams.awaiting, c)
}

// endOriginWaits refuses the calls whose origin has not been found in time.
func (r *routing) endOriginWaits(now clock.Instant) {
	r.streams.awaiting = slices.DeleteFunc(r.streams.awaiting, func(c *call) bool {
		due := c.originUntil != 0 && !now.Before(c.originUntil)
		if due {
			c.originUntil = 0
			r.refuseUnknownOrigin(c, "the store has not told what began the stream", now)
		}
		return c.originUntil == 0
	})
}

func (r *routing) refuseUnknownOrigin(c *call, detail string, now clock.Instant) {
	r.refuse(c, contract.Refuse(contract.OriginUnknown, originRetryAfter, "%s", detail), now)
}

// originFound is what the store holds of the origin of a stream.
type originFound struct {
	call    *call
	entry   platform.Entry
	era     int64 // of the answer: a store that has returned from an older copy may lack the record
	outcome platform.Outcome
	cause   error
}

// apply goes on with the call if the origin is known now.
func (m originFound) apply(r *routing, now clock.Instant) {
	c := m.call
	if c.originUntil == 0 {
		return // it has been refused or cancelled meanwhile
	}
	c.originUntil = 0
	record, known, kept := r.versionsOf(c.service)
	kept = kept && m.era == r.era.newest
	var e streamEntry
	switch {
	case m.outcome == platform.Applied && json.Unmarshal(m.entry.Value, &e) == nil:
		r.takeUp(c, link.Origin{Service: e.Service, Version: e.Version}, fromRecord, now)
	case m.outcome == platform.NotFound && known && kept && !record.Undecided && r.freshness.StoreAge(now) < machine.ViewAge:
		r.takeUp(c, link.Origin{Service: c.service, Version: record.Default}, fromNoRecord, now)
	case m.outcome == platform.NotFound && known && kept && record.Undecided:
		r.refuse(c, contract.Refuse(contract.StreamLost, 0, "what began the stream was not recorded"), now)
	default:
		r.log.Warn("origin not found", "request", c.request.ID, "outcome", m.outcome.String(), "error", errorText(m.cause),
			"known", known, "kept", kept)
		r.refuseUnknownOrigin(c, "what began the stream is not known now", now)
	}
}

// takeUp lets a call go on with a stream of the given origin, or refuses it at once if no runner can.
func (r *routing) takeUp(c *call, origin link.Origin, source originSource, now clock.Instant) {
	r.log.Info("stream taken up", "request", c.request.ID, "resumes", c.request.Resumes, "after", c.request.LastEvent,
		"service", origin.Service, "version", origin.Version, "source", source,
		"versions_age_ms", r.freshness.StoreAge(now).Milliseconds())
	r.metrics.takeUps.WithLabelValues(string(source)).Inc()
	if origin == (link.Origin{}) || !c.admitted.Route.HasBackend(origin.Service) {
		r.refuse(c, contract.Refuse(contract.StreamLost, 0, "no service of the route can go on with the stream"), now)
		return
	}
	c.service, c.artifact.Service = origin.Service, origin.Service
	c.pin(origin.Version)
	c.waitUntil = c.request.Arrived.Add(time.Duration(takeUpWaitShare * float64(c.deadline.Sub(c.request.Arrived))))
	if r.refuseLostStream(c, now) {
		return
	}
	r.chargeContinuation(c, now)
}

// refuseLostStream refuses a call that goes on with a stream whose software version no usable runner has.
func (r *routing) refuseLostStream(c *call, now clock.Instant) bool {
	if !c.pinned || r.fleet.HasUsable(c.service, c.version, now) {
		return false
	}
	r.abandon(c, cutVersionGone, &contract.Refusal{
		Code: contract.StreamLost, MayHaveRun: c.runs > 0, Detail: "no runner has the software version that began the stream",
	}, now)
	return true
}

// mayServe returns which software versions may serve a call; nil: all.
func (r *routing) mayServe(c *call, now clock.Instant) func(machine.SoftwareVersion) bool {
	switch {
	case c.pinned:
		return func(v machine.SoftwareVersion) bool { return v == c.version }
	case c.admitted.Route.ResumableStream():
		begins := make(map[machine.SoftwareVersion]bool) // asked for once for each version, not for each runner
		return func(v machine.SoftwareVersion) bool {
			may, known := begins[v]
			if !known {
				may = r.beginning(c.service, v, now) != machine.MayNotBegin
				begins[v] = may
			}
			return may
		}
	}
	return nil
}

// noteBegun records what began a call's stream, whose first event has come.
func (r *routing) noteBegun(c *call, a attempt, now clock.Instant) {
	if !a.begins || c.pinned {
		return
	}
	c.pin(a.version)
	r.streams.origins.Add(
		link.NewStreamID(c.owner(), c.request.ID), link.Origin{Service: c.service, Version: a.version}, now)
}
