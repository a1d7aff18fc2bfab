// Package entry runs an entry VM: it accepts callers' requests, checks and routes them, sends them to runners and
// returns the answers. Each duty is a goroutine that owns its state; duties exchange messages over bounded rings.
package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/vm"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/logs"
	"github.com/mangopass/mangopass/node/manifestcheck"
	"github.com/mangopass/mangopass/node/metrics"
	"github.com/mangopass/mangopass/node/rpclink"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

// Limits of the callers' connections, and timing of a planned stop. The connection limits lie above those that
// manifests set for callers, so that no connection is closed that a caller may still use.
const (
	// headerTimeout limits the time to read a request's header, idleTimeout the time that a connection stays open
	// unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// probeWriteTimeout limits the time to take the answer to a request for metrics, the status or the readiness.
	probeWriteTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's header. defaultBodyBytes limits that of its body until a manifest
	// states another limit.
	maxHeaderBytes   = 64 << 10
	defaultBodyBytes = 4 << 20
	// drainTime is how long new connections are still accepted after the readiness probe starts to fail. The platform
	// moves on after two failed probes, which are a second apart.
	drainTime = 2500 * time.Millisecond
	// stopReserve is the last part of the grace period, kept for closing connections and writing logs. answerReserve is
	// the part before it, kept for refusing requests whose runners have not answered.
	stopReserve   = 400 * time.Millisecond
	answerReserve = 400 * time.Millisecond
	// recordTime is the time for the handlers of requests that were cut off to end, and for the routing duty to record them.
	recordTime = 50 * time.Millisecond
	// ordersCapacity limits the orders and state queries that wait for a duty to send them.
	ordersCapacity = 64
	// feedsCapacity limits the feeds of the store that the watch has not read yet. One that finds the ring full is left
	// out; the watch then reads the store itself.
	feedsCapacity = 16
)

// Entry is an entry VM's process.
type Entry struct {
	settings       *settings.Entry
	settingsPath   string
	settingsText   string // content of the settings file at the start
	sink           *logs.Sink
	log            *slog.Logger
	group          *duty.Group
	routing        *routing
	callHandler    *callHandler
	callers        *accountKeeper
	probes         *accountKeeper // a crowd of callers must not hide that the VM is ready
	peers          *accountKeeper
	connectionIDs  atomic.Uint64
	servers        []*http.Server
	cancelRequests context.CancelFunc
}

// New returns an entry VM's process without starting it. The process logs to sink. path and text are those of the
// settings file, which it rereads while it runs.
func New(s *settings.Entry, path, text string, sink *logs.Sink) *Entry {
	return &Entry{
		settings: s, settingsPath: path, settingsText: text, sink: sink, log: sink.Logger().With("node", s.ID),
	}
}

// Run serves until stop ends and the planned stop is done. It returns the number of requests that the stop cut off.
func (e *Entry) Run(stop context.Context) (int64, error) {
	boot := time.Now().UnixNano()
	registry := metrics.NewRegistry()
	e.group = duty.NewGroup(context.Background())
	e.routing = newRouting(e.settings, boot, e.log, newMetrics(registry))
	budgets := vm.NewBudgets(vm.Limits{MemoryMB: int(e.settings.Limits.MemoryMB), Descriptors: e.settings.Limits.MaxFDs})
	debug.SetMemoryLimit(budgets.Collector)
	e.callers = newAccountKeeper("callers", budgets.Callers, e.log, registry)
	e.probes = newAccountKeeper("probes", budgets.Probes, e.log, registry)
	e.peers = newAccountKeeper("peers", budgets.Peers, e.log, registry)
	runners := platform.NewRunnerClient()
	runners.LimitAnswers(budgets.Answers)
	cutoff, cancel := context.WithCancel(context.Background())
	e.cancelRequests = cancel
	streamRecords := ring.New[streamRecord]("stream records", streamRecordCapacity)
	e.callHandler = &callHandler{
		node: e.settings.ID, cuts: e.routing.cuts, routing: e.routing.intake, streamRecords: streamRecords, runners: runners,
		bodyLimit: &e.routing.bodyLimit, viewed: &e.routing.viewed, cutoff: cutoff,
	}
	e.startDuties(runners, registry, boot)
	if err := e.listen(registry); err != nil {
		for _, s := range e.servers { // a duty that serves ends with its server
			_ = s.Close()
		}
		e.group.Stop()
		return 0, err
	}
	e.log.Info("serving", "callers", e.settings.Listen.Callers, "zone", e.settings.Zone, "boot", boot)
	<-stop.Done()
	return e.drain(), nil
}

// startDuties connects the duties by their rings and starts them.
func (e *Entry) startDuties(runners *platform.RunnerClient, registry *prometheus.Registry, boot int64) {
	store := platform.NewStore(e.settings.Store)
	registerStoreMetrics(registry, store)
	r := e.routing
	r.leader.orders = ring.New[orderJob]("orders", ordersCapacity)
	r.leader.claims = ring.New[claim]("claims", 2*machine.Shards)
	r.feeds = ring.New[storeFed]("feeds", feedsCapacity)
	r.keyWrites = ring.New[keyWrite]("keys", keyWriteCapacity)
	r.streams.records, r.streams.reads = true, originReads{ring.New[originRead]("origins", originReadCapacity)}
	r.members.startLink = e.startPeerLink
	metrics.RegisterRing(registry, r.intake)
	metrics.RegisterRing(registry, r.leader.orders)
	metrics.RegisterRing(registry, r.leader.claims)
	metrics.RegisterRing(registry, r.feeds)
	metrics.RegisterRing(registry, r.keyWrites)
	metrics.RegisterRing(registry, r.streams.reads.ring)
	metrics.RegisterRing(registry, e.callHandler.streamRecords)
	metrics.RegisterRing(registry, e.callers.messages)
	metrics.RegisterRing(registry, e.probes.messages)
	metrics.RegisterRing(registry, e.peers.messages)
	e.sink.RegisterMetrics(registry)
	e.group.Go("account of callers", e.callers.run)
	e.group.Go("account of probes", e.probes.run)
	e.group.Go("account of peers", e.peers.run)
	e.group.Go("routing", r.run)
	for range orderDuties {
		e.group.Go("orders", (&orderSender{runners: runners, jobs: r.leader.orders, routing: r.intake}).run)
	}
	keeper := &leaseKeeper{
		store: store, routing: r.intake, claims: r.leader.claims, log: e.log, node: e.settings.ID,
		entry: nodeEntry{Address: e.settings.AdvertisedAddress(), Zone: zone.ID(e.settings.Zone), Boot: boot},
		ttl:   max(leaseTTL, e.settings.Rules.MinLease()),
	}
	e.group.Go("lease", keeper.run)
	reloader := &settingsReloader{
		path: e.settingsPath, text: e.settingsText, store: store, routing: r.intake, log: e.log,
	}
	e.group.Go("reload", reloader.run)
	e.group.Go("keys", (&keyWriter{store: store, writes: r.keyWrites, routing: r.intake, log: e.log}).run)
	e.group.Go("stream records", (&streamRecorder{
		store: store, records: e.callHandler.streamRecords, log: e.log, outcomes: r.metrics.streamRecords,
	}).run)
	for range originReaders {
		e.group.Go("origins", (&originReader{store: store, reads: r.streams.reads.ring, routing: r.intake}).run)
	}
	e.group.Go("watch", (&watch{
		node: e.settings.ID, store: store, routing: r.intake, feeds: r.feeds, leftRecords: e.callHandler.streamRecords,
		log: e.log,
	}).run)
}

// startPeerLink starts the duty that reports to a peer.
func (e *Entry) startPeerLink(name string, p *peer) {
	ctx, stop := context.WithCancel(context.Background())
	p.stopLink = stop
	l := &peerLink{name: name, boot: p.Boot, link: rpclink.New(p.Address), outbox: p.outbox, routing: e.routing.intake}
	e.group.Go("link "+name, func(group context.Context) {
		defer context.AfterFunc(group, stop)()
		l.run(ctx)
	})
}

// listen opens the process's listeners: for peers, metrics, readiness probes, the API and callers.
func (e *Entry) listen(registry *prometheus.Registry) error {
	peerListener, err := net.Listen("tcp", e.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	peerListener = &callerListener{Listener: peerListener, account: e.peers.messages, ids: &e.connectionIDs}
	server := rpc.NewServer()
	if err := server.RegisterName("Between", &Between{routing: e.routing.intake}); err != nil {
		return errors.Wrap(err, "register rpc service")
	}
	e.group.Go("peers", func(ctx context.Context) {
		duty.Accept(ctx, peerListener, func(c net.Conn) { rpclink.ServeConn(server, c, c.(*callerConn)) })
	})
	status := http.NewServeMux()
	status.Handle("GET /metrics", metrics.Handler(registry))
	status.HandleFunc("GET /status", e.serveStatus)
	status.HandleFunc("GET "+manifestcheck.PathInForce, e.serveManifest)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		writeTimeout  time.Duration // zero: answers have times of their own
		account       *accountKeeper
	}{
		{"metrics", e.settings.MetricsAddress(), status, probeWriteTimeout, e.probes},
		{"ready", e.settings.Listen.Ready, http.HandlerFunc(e.serveReady), probeWriteTimeout, e.probes},
		{"api", e.settings.Listen.API, newAPI(e.callHandler), 0, e.callers},
		{"callers", e.settings.Listen.Callers, e.callHandler, 0, e.callers},
	} {
		if l.address == "" {
			continue
		}
		if err := e.startServer(l.name, l.address, l.handler, l.writeTimeout, l.account); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) startServer(
	name, address string, handler http.Handler, writeTimeout time.Duration, account *accountKeeper,
) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler: counted(handler), ConnContext: withConn, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout:                 writeTimeout,
		DisableGeneralOptionsHandler: true,                                                    // it answers OPTIONS * with a success of its own
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), // handlers log the callers' errors
	}
	e.servers = append(e.servers, server)
	e.group.Go(name, func(context.Context) {
		counted := &callerListener{
			Listener: listener, account: account.messages, ids: &e.connectionIDs, http: true, largest: account.budget.Held,
		}
		if err := server.Serve(counted); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener failed", "listener", name, "error", err.Error())
		}
	})
	return nil
}

// serveReady answers the platform's readiness probe.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.routing.readiness.get(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: "+string(reason)+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// drain carries out the planned stop. The VM stops being ready at once, accepts new requests until the platform has
// moved on, and lets open requests finish within the grace period. It returns the number of requests that are cut off.
func (e *Entry) drain() int64 {
	_ = e.routing.intake.Push(context.Background(), stopRequested{})
	e.callHandler.draining.Store(true)
	end := time.Now().Add(e.settings.Rules.Grace() - stopReserve)
	duty.Pause(context.Background(), drainTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	cutTimer := time.AfterFunc(time.Until(end)-answerReserve, e.cancelRequests)
	defer cutTimer.Stop()
	for _, s := range e.servers {
		_ = s.Shutdown(ctx) // its error is the context's: the grace period is over
	}
	open := e.callHandler.openRequests.Load()
	for _, s := range e.servers {
		_ = s.Close()
	}
	if open > 0 {
		duty.Pause(context.Background(), recordTime)
	}
	e.group.Stop()
	return open
}
