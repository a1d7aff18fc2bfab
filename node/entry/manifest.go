package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/platform"
)

// manifestChange is what became of a manifest that was read.
type manifestChange int

const (
	manifestOther     manifestChange = iota // unreadable, or older than the one in force
	manifestSame                            // the one in force
	manifestLate                            // written after the one in force, though its version is lower
	manifestNew                             // now in force
	manifestUnordered                       // nothing says whether it is newer
)

// withdrawManifest takes note that the store holds no manifest that proves the one in force.
func (r *routing) withdrawManifest(message string, details ...any) {
	r.log.Error(message, append(details, "in_force", r.manifestVersion())...)
	r.freshness.Withdraw()
	r.metrics.unreadable.Set(1)
}

// maxLoggedFields is the number of invalid fields of a manifest that a log line names.
const maxLoggedFields = 10

// applyManifest puts a manifest in force unless it can't be read or is not newer. One that can't be read may have taken keys away:
// the one in force is then no longer proved.
func (r *routing) applyManifest(e platform.Entry, now clock.Instant) manifestChange {
	if e.Deleted {
		r.withdrawManifest("manifest removed", "revision", e.Revision)
		return manifestOther
	}
	f, err := platform.DecodeManifest(e.Value)
	if err != nil {
		r.withdrawManifest("manifest rejected", "error", err.Error(), "revision", e.Revision)
		return manifestOther
	}
	m := f.Draft.Manifest()
	change := r.compareManifest(m, e.Revision)
	if change == manifestUnordered {
		r.withdrawManifest("manifest rejected", "error", "its version can't be read, and the store was restored", "revision", e.Revision)
		return manifestOther
	}
	if r.freshness.Withdrawn() {
		r.log.Info("manifest readable", "version", m.Version, "revision", e.Revision, "in_force", r.manifestVersion())
		r.freshness.Restore()
		r.metrics.unreadable.Set(0)
	}
	r.era.shown = m.Version
	switch change {
	case manifestLate:
		r.withdrawKeys(m, e.Revision)
		return manifestOther
	case manifestNew:
		r.logInvalidFields(m, f.Invalid)
		r.enforceManifest(m, e.Revision, now)
		r.showManifest(f)
	}
	return change
}

// compareManifest says what a manifest is beside the one in force. Versions decide, as far as they can be read and differ; the store's
// revisions order the others within an era: an operator may have forgotten to count the version up.
func (r *routing) compareManifest(m *contract.Manifest, revision int64) manifestChange {
	if r.manifest == nil || m.Version > r.manifestVersion() {
		return manifestNew
	}
	later := r.manifestAt.Era == r.era.newest && revision > r.manifestAt.Revision
	lower := m.Version != 0 && m.Version < r.manifestVersion()
	switch {
	case later && lower:
		return manifestLate
	case later:
		return manifestNew
	case lower:
		return manifestOther
	case m.Version == 0 && r.manifestAt.Era != r.era.newest:
		return manifestUnordered
	}
	return manifestSame
}

// withdrawKeys takes those keys out of force that a manifest with a lower version does not list. The rest of it does not come into force:
// versions never go back. Whether its operator meant to take the keys away is not known, so their requests are not refused for good.
func (r *routing) withdrawKeys(m *contract.Manifest, revision int64) {
	if !m.NeedsKeys {
		return
	}
	kept, removed := r.manifest.WithKeysOf(m)
	if removed > 0 {
		r.manifest = kept
		r.log.Error("keys withdrawn", "keys", removed, "version", m.Version, "in_force", r.manifestVersion(), "revision", revision)
	}
}

// enforceManifest puts a manifest in force. One whose version can't be read counts as of the version before.
func (r *routing) enforceManifest(m *contract.Manifest, revision int64, now clock.Instant) {
	r.log.Info("manifest in force", "version", m.Version, "before", r.manifestVersion(),
		"revision", revision)
	r.manifest, r.manifestSince = m.WithVersion(max(m.Version, r.manifestVersion())), now
	if m.BodyBytes > 0 {
		r.bodyLimit.Store(m.BodyBytes)
	}
	r.leader.scheduler.Configure(m)
	r.table.Limits.SetServices(m.Services)
	for _, o := range m.Organisations {
		r.quota(o, now).SetLimit(o.Limit, now)
	}
	r.metrics.manifest.Set(float64(r.manifest.Version))
}

// logInvalidFields takes note of the parts of a manifest that can't be read.
func (r *routing) logInvalidFields(m *contract.Manifest, invalid []error) {
	r.metrics.invalidFields.Set(float64(len(invalid)))
	if len(invalid) == 0 {
		return
	}
	var fields []string
	for _, err := range invalid[:min(len(invalid), maxLoggedFields)] {
		fields = append(fields, err.Error())
	}
	r.log.Error("manifest has invalid fields", "version", m.Version, "count", len(invalid), "fields", fields)
}
