package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// shortestLoad is the shortest time in which a runner that has started again loads a model: from its disk.
const shortestLoad = 700 * time.Millisecond

// standStill lets a VM stand still, at times, while the others go on and the deployment changes.
func (w *versionWorld) standStill(v *versionVM) {
	others := slices.ContainsFunc(w.vms, func(v *versionVM) bool { return v.still })
	if w.outOfStep == nil || w.calm || others || w.outOfStep.IntN(10) > 0 {
		return
	}
	v.still = true
	for range 1 + w.outOfStep.IntN(50) {
		if w.step(); w.outOfStep.IntN(6) == 0 {
			w.disturb()
		}
		if other := w.vms[w.outOfStep.IntN(len(w.vms))]; !other.still && w.outOfStep.IntN(4) == 0 {
			w.begin(other)
		}
	}
	v.still = false
}

// runs returns the version of the process from which an attempt gets its first event, and false if it gets none, or one that is not
// passed on. The VM may stand still before the request reaches the runner, and before it takes the event.
func (w *versionWorld) runs(v *versionVM, a attempt) (machine.SoftwareVersion, bool) {
	if w.outOfStep == nil { // a runner that has started again has no model
		r, ok := w.runners[a.runner]
		return r.Version, ok && r.Boot == a.boot
	}
	asked := clock.Instant(0)
	if a.verifyBoot && !w.unasked {
		if asked = w.now; w.runners[a.runner].Boot != a.boot {
			return "", false
		}
	}
	w.standStill(v)
	r, ok := w.runners[a.runner]
	if !ok || r.Boot != a.boot && w.now.Before(w.servesFrom[a.runner]) {
		return "", false
	}
	w.standStill(v)
	if v.now = w.now; !slices.Contains(w.vms, v) {
		return "", false // its process has ended
	}
	if w.unasked {
		return r.Version, true
	}
	known := max(clock.Instant(v.viewed.Load()), asked)
	proven := w.now.Sub(known) < machine.ViewAge || w.runners[a.runner].Boot == a.boot
	return r.Version, a.ctx.Err() == nil && proven
}

// TestModelFindsReplacedRunners checks that the model finds the faults of designs in which the process of a runner is not asked
// for, or gets its model before all VMs with a recent view can know of it.
func TestModelFindsReplacedRunners(t *testing.T) {
	for _, unasked := range []bool{true, false} {
		joined := 0
		for seed := uint64(0); seed < 200 && joined == 0; seed++ {
			w := newVersionWorld(seed, 3, 6)
			w.outOfStep = rand.New(rand.NewPCG(seed, 1))
			w.unasked, w.loadsAtOnce = unasked, !unasked
			w.play(600)
			joined += len(w.joined)
		}
		if joined == 0 {
			t.Errorf("no stream was joined; not asked: %v, loads at once: %v", unasked, !unasked)
		}
	}
}
