package review

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mangopass/mangopass/fleet/contract"
)

// reviewServices checks the services and their models.
func reviewServices(d *contract.Draft, list *[]Finding) {
	routed := make(map[contract.ServiceName]bool)
	for _, r := range d.Routes {
		for _, b := range r.Backends {
			routed[b.Service] = true
		}
	}
	names := make(map[contract.ServiceName]int)
	for i, s := range d.Services {
		f := findings{object: Service, index: i, list: list}
		first, taken := names[s.Name]
		switch {
		case s.Name == "":
			f.error(Name, "is missing")
		case taken:
			f.error(Name, fmt.Sprintf("%q is the name of service %d too, which is ignored", s.Name, first))
		case !routed[s.Name]:
			f.warning(Name, fmt.Sprintf("no route leads to service %q", s.Name))
		}
		names[s.Name] = i
		if s.Cold.Time > 0 && s.Cold.PerSecond <= 0 {
			f.warning(ColdTime, "has no effect: without a rate cold runners take all requests")
		}
		if s.Engine != nil {
			reviewEngine(f, s.Engine)
		}
	}
}

func reviewEngine(f findings, e *contract.Engine) {
	if e.WeightsMB <= 0 {
		f.error(EngineMemory, "is missing or not positive; no model fits")
	}
	if len(e.Models) == 0 {
		f.error(Models, "there is no model; all requests that name one are refused")
	}
	if e.AdapterSlots < 0 {
		f.error(AdapterSlots, "is negative")
	}
	if e.LoadsPerSecond <= 0 {
		f.warning(LoadRate, "is missing or not positive; loads from the weight store are not limited")
	}
	for _, name := range slices.Sorted(maps.Keys(e.Models)) {
		reviewModel(f, e, e.Models[name])
	}
}

func reviewModel(f findings, e *contract.Engine, m contract.Model) {
	item := string(m.Name)
	switch {
	case m.Name == "":
		f.add(Error, Models, "", "a model has no name")
	case m.WeightsMB <= 0:
		f.add(Error, ModelMemory, item, "is missing or not positive")
	case e.WeightsMB > 0 && m.WeightsMB > e.WeightsMB:
		f.add(Error, ModelMemory, item, fmt.Sprintf("%g MB are over the %g MB of a runner; the model can't be loaded", m.WeightsMB, e.WeightsMB))
	case e.WeightsMB > 0 && m.WeightsMB+m.AdapterMB > e.WeightsMB && m.Adapters > 0:
		f.add(Error, AdapterMemory, item, fmt.Sprintf("model and one adapter take %g MB, over the %g MB of a runner",
			m.WeightsMB+m.AdapterMB, e.WeightsMB))
	}
	switch {
	case m.Adapters > 0 && e.AdapterSlots <= 0:
		f.add(Error, ModelAdapters, item, fmt.Sprintf("%d adapters, but a runner has no place for one", m.Adapters))
	case m.Adapters > e.AdapterSlots:
		f.add(Warning, ModelAdapters, item, fmt.Sprintf("%d adapters are over the %d places of a runner; one runner can't hold them all",
			m.Adapters, e.AdapterSlots))
	}
	if m.LoadWarm > m.LoadDisk || m.LoadDisk > m.LoadCold {
		f.add(Warning, ModelLoad, item, fmt.Sprintf("a load takes %v from host memory, %v from disk and %v from the weight store; "+
			"a nearer copy should not take longer", m.LoadWarm, m.LoadDisk, m.LoadCold))
	}
}
