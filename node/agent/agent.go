// Package agent assembles the duties of the process beside one target: it takes requests from entry VMs, decides what the
// target loads and runs, and is the only sender of orders to it.
package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/confstore"
	"github.com/mangopass/mangopass/node/metrics"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/node/wire"
	"github.com/mangopass/mangopass/platform"
)

// orderers is the number of orders that an agent gives at once.
const orderers = 4

// Platform is what an agent needs of the platform.
type Platform interface {
	platform.Service
	platform.VMList
}

// Agent is the process beside one target.
type Agent struct {
	settings *settings.Agent
	platform Platform
	log      *slog.Logger
	registry *prometheus.Registry
	slots    int

	inbox  *ring.Ring[message]
	runs   *ring.Ring[*job]
	orders *ring.Ring[order]
	status *ring.Ring[link.Report]
}

// New returns an agent that is not running yet.
func New(s *settings.Agent, p Platform, log *slog.Logger) *Agent {
	a := &Agent{settings: s, platform: p, log: log, registry: metrics.NewRegistry()}
	if s.Engine != nil {
		a.slots = s.Engine.Slots
	} else {
		a.slots = s.Service.Slots
	}
	a.inbox = ring.New[message]("scheduler", s.Workers)
	a.runs = ring.New[*job]("runs", a.slots)
	a.orders = ring.New[order]("orders", orderers)
	a.status = ring.New[link.Report]("status", 1)
	metrics.ObserveRing(a.registry, a.inbox)
	metrics.ObserveRing(a.registry, a.runs)
	metrics.ObserveRing(a.registry, a.orders)
	return a
}

// Run serves until stop ends, then drains: it refuses new jobs and finishes those it has. It returns an error if it could
// not listen, and drained false if abort ended or the drain timeout passed with jobs left.
func (a *Agent) Run(stop, abort context.Context) (drained bool, err error) {
	streams, err := net.Listen("tcp", a.settings.Stream)
	if err != nil {
		return false, errors.Wrap(err, "stream")
	}
	duties := duty.NewGroup(context.Background())
	defer duties.Stop()
	a.startDuties(duties)
	mux := http.NewServeMux()
	mux.Handle("POST "+wire.RunPath, &streamHandler{scheduler: a.inbox})
	mux.Handle("GET /metrics", metrics.Handler(a.registry))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	duties.Go("streams", func(context.Context) { _ = server.Serve(streams) })
	a.log.Info("serving", "stream", a.settings.Stream)

	<-stop.Done()
	a.log.Info("draining")
	bound, cancel := context.WithTimeout(abort, a.settings.DrainTimeout.Std())
	defer cancel()
	done := ring.New[struct{}]("drained", 1)
	if a.inbox.Push(bound, leave{done: done}) == nil {
		_, err = done.Pop(bound)
		drained = err == nil
	}
	if server.Shutdown(bound) != nil {
		drained = false
		_ = server.Close()
	}
	return drained, nil
}

func (a *Agent) startDuties(duties *duty.Group) {
	s := a.settings
	report := link.Report{Agent: link.AgentID(s.ID), Stream: s.Stream, DataCentre: zone.DataCentreID(s.DataCentre), Slots: a.slots}
	memory := int64(0)
	var backend Backend
	if s.Engine != nil {
		engine := newHTTPEngine(s.Engine.Address, a.slots, s.Engine.OrderTimeout.Std())
		memory, backend = s.Engine.MemoryBytes, engine
		for i := range orderers {
			o := &orderer{queue: a.orders, scheduler: a.inbox, engine: engine}
			duties.Go("orders "+strconv.Itoa(i), o.run)
		}
	} else {
		report.Service = contract.ServiceID(s.Service.ID)
		backend = newHTTPService(s.Service.Address, a.slots)
	}
	for i := range a.slots {
		r := &runner{jobs: a.runs, scheduler: a.inbox, backend: backend}
		duties.Go("run "+strconv.Itoa(i), r.run)
	}
	duties.Go("heartbeats", newHeartbeats(duties, a.platform, a.status).run)
	duties.Go("config", func(ctx context.Context) {
		confstore.Follow(ctx, a.platform, a.log, func(ctx context.Context, c *contract.Config) {
			_ = a.inbox.Push(ctx, configInForce{config: c})
		})
	})
	decide := &scheduler{
		inbox: a.inbox, runs: a.runs, orders: a.orders, status: a.status, log: a.log, base: report,
		target: machine.NewTarget(memory, a.slots), jobs: make(map[string]*job),
	}
	duties.Go("scheduler", decide.run)
}
