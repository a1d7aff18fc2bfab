// Package entry assembles the duties of an entry VM: it takes callers' requests, decides on them and carries them to the
// agents.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	goahttp "goa.design/goa/v3/http"

	"github.com/mangopass/mangopass/api/gen/calls"
	callsserver "github.com/mangopass/mangopass/api/gen/http/calls/server"
	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/confstore"
	"github.com/mangopass/mangopass/node/metrics"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

// ControlService is the name of the entry VM's net/rpc service.
const ControlService = "Entry"

// Entry is one entry VM's process.
type Entry struct {
	settings *settings.Entry
	platform platform.Service
	log      *slog.Logger
	registry *prometheus.Registry
	metrics  *entryMetrics
	requests *open
	inbox    *ring.Ring[message]
	forward  *ring.Ring[*dispatch]
}

// New returns an entry VM that is not running yet.
func New(s *settings.Entry, p platform.Service, log *slog.Logger) *Entry {
	registry := metrics.NewRegistry()
	e := &Entry{
		settings: s, platform: p, log: log, registry: registry,
		metrics:  newEntryMetrics(registry),
		requests: &open{ids: make(map[string]struct{})},
		inbox:    ring.New[message]("admission", s.Intake),
		forward:  ring.New[*dispatch]("forward", s.Forwarders),
	}
	metrics.ObserveRing(registry, e.inbox)
	metrics.ObserveRing(registry, e.forward)
	return e
}

// Run serves until stop ends, then drains: it takes no new requests and finishes those it has. It returns an error if it
// could not listen, or the ids of the requests that it had to cut when abort ended or the drain timeout passed.
func (e *Entry) Run(stop, abort context.Context) (cut []string, err error) {
	callers, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	controls, err := net.Listen("tcp", e.settings.Control)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "control")
	}
	duties := duty.NewGroup(context.Background())
	defer duties.Stop()
	e.startDuties(duties, controls)

	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug)}
	duties.Go("callers", func(context.Context) { _ = server.Serve(callers) })
	e.log.Info("serving", "listen", e.settings.Listen, "control", e.settings.Control)

	<-stop.Done()
	e.log.Info("draining", "open_requests", len(e.requests.list()))
	bound, cancel := context.WithTimeout(abort, e.settings.DrainTimeout.Std())
	defer cancel()
	if server.Shutdown(bound) != nil {
		cut = e.requests.list()
		_ = server.Close()
	}
	return cut, nil
}

func (e *Entry) startDuties(duties *duty.Group, controls net.Listener) {
	at := zone.DataCentreID(e.settings.DataCentre)
	duties.Go("admission", newAdmission(at, zones(e.settings.DataCentres), e.inbox, e.forward, e.log, e.metrics).run)
	client := newAgentClient(e.settings.Forwarders)
	for i := range e.settings.Forwarders {
		f := &forwarder{queue: e.forward, admission: e.inbox, client: client}
		duties.Go("forward "+strconv.Itoa(i), f.run)
	}
	duties.Go("config", func(ctx context.Context) {
		confstore.Follow(ctx, e.platform, e.log, func(ctx context.Context, c *contract.Config) {
			_ = e.inbox.Push(ctx, configInForce{config: c})
		})
	})
	server := rpc.NewServer()
	if err := server.RegisterName(ControlService, &control{admission: e.inbox}); err != nil {
		panic("entry: net/rpc service: " + err.Error())
	}
	duties.Go("control", func(ctx context.Context) {
		duty.Accept(ctx, controls, func(c net.Conn) { server.ServeConn(c) })
	})
}

func (e *Entry) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := calls.NewEndpoints(&callsService{admission: e.inbox, metrics: e.metrics})
	callsserver.Mount(mux, callsserver.New(endpoints, mux, goahttp.RequestDecoder, encodeJSON, nil, formatError))
	root := http.NewServeMux()
	root.Handle("/v1/", withExchange(mux, e.requests, e.settings.BodyLimitBytes))
	root.Handle("GET /metrics", metrics.Handler(e.registry))
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return root
}

func zones(list []settings.DataCentre) *zone.Map {
	centres := make([]zone.DataCentre, len(list))
	for i, dc := range list {
		centres[i] = zone.DataCentre{ID: zone.DataCentreID(dc.ID), Region: zone.RegionID(dc.Region)}
	}
	return zone.NewMap(centres...)
}

// entryMetrics are the counters of an entry VM.
type entryMetrics struct {
	answered   prometheus.Counter
	retries    prometheus.Counter
	refused    *prometheus.CounterVec
	generation prometheus.Gauge
}

func newEntryMetrics(r prometheus.Registerer) *entryMetrics {
	m := &entryMetrics{
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "requests_answered_total", Help: "Requests whose answer was passed on."}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "retries_total", Help: "Attempts after the first one of a request."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "requests_refused_total", Help: "Requests refused, by code."}, []string{"code"}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "config_generation", Help: "Configuration generation in force."}),
	}
	r.MustRegister(m.answered, m.retries, m.refused, m.generation)
	return m
}
