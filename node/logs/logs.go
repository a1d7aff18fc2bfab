// Package logs writes structured log lines without ever blocking the goroutine that logs: lines go through a bounded
// ring to a duty that writes them, and lines that do not fit are dropped and counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/node/metrics"
)

// maxWaitingLines bounds the lines that wait for the output, maxBatchLines those that go into one write.
const (
	maxWaitingLines = 4096
	maxBatchLines   = 64
)

// Sink queues log lines and writes them to its output in Run, which a duty of its own calls.
type Sink struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewSink returns an empty sink.
func NewSink() *Sink { return &Sink{lines: ring.New[[]byte]("log", maxWaitingLines)} }

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger() *slog.Logger { return slog.New(slog.NewJSONHandler(s, nil)) }

// Write implements io.Writer for the logger. It never blocks or fails. The line is copied because slog reuses its
// buffer.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPush(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// RegisterMetrics registers collectors for the number of dropped lines and the depth of the sink's ring.
func (s *Sink) RegisterMetrics(r prometheus.Registerer) {
	metrics.RegisterRing(r, s.lines)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Name: "log_lines_dropped_total",
		Help: "Log lines that found the ring full or the output broken.",
	}, func() float64 { return float64(s.dropped.Load()) }))
}

// Dropped returns the number of lines lost because the ring was full or the output failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until the sink is closed and no line is left.
func (s *Sink) Run(out io.Writer) {
	batch := make([][]byte, maxBatchLines)
	var buf []byte
	for {
		n, err := s.lines.PopBatch(context.Background(), batch)
		if err != nil {
			return
		}
		buf = buf[:0]
		for _, line := range batch[:n] {
			buf = append(buf, line...)
		}
		if _, err := out.Write(buf); err != nil {
			s.dropped.Add(int64(n)) // the counter is the only place to report a failed output
		}
	}
}

// Close makes the sink drop all further lines. Run returns once it has written those that wait.
func (s *Sink) Close() { s.lines.Close() }
