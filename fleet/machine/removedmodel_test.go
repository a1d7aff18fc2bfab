package machine

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
)

// TestRemovedModelKeepsItsRoom guards against a runner that is ordered to load more than it holds, because a manifest no longer lists
// a model that it has: how much room that one takes is then not known. It is unloaded first.
func TestRemovedModelKeepsItsRoom(t *testing.T) {
	sim := newSimulation(1, 8)
	service := testService(8)
	delete(service.Engine.Models, modelName(0))
	delete(service.Engine.Models, modelName(2))
	sim.scheduler.Configure((&contract.Draft{Version: 2, Services: []*contract.Service{service}}).Manifest())
	loads := sim.run(20*time.Second, DemandReport{Artifact: artifact(4, 0), Arrivals: 1, Waiting: 1})
	e := sim.engines["r0"]
	if e.overloaded != "" {
		t.Error(e.overloaded)
	}
	if _, held := e.held[modelName(4)]; !held || len(loads) == 0 {
		t.Errorf("loads %v, held %v, want the model that is asked for", loads, e.held)
	}
}
