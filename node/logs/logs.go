// Package logs writes structured log lines without ever blocking the process that logs: lines go through a bounded ring
// to a duty that writes them, and what does not fit is counted and dropped.
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

// ringLines bounds the lines that wait for the output; batchLines those written at once.
const (
	ringLines  = 4096
	batchLines = 64
)

// Sink takes log lines and writes them on a duty of its own.
type Sink struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewSink returns an empty sink.
func NewSink() *Sink { return &Sink{lines: ring.New[[]byte]("log", ringLines)} }

// Logger returns a logger of JSON lines into the sink.
func (s *Sink) Logger() *slog.Logger { return slog.New(slog.NewJSONHandler(s, nil)) }

// Write implements io.Writer for the logger. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPush(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// RegisterMetrics registers the number of dropped lines and the depth of the sink's ring.
func (s *Sink) RegisterMetrics(r prometheus.Registerer) {
	metrics.RegisterRing(r, s.lines)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Name: "log_lines_dropped_total", Help: "Log lines that found the ring full or the output broken.",
	}, func() float64 { return float64(s.dropped.Load()) }))
}

// Dropped returns the number of lines that found the ring full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until the sink is closed and drained.
func (s *Sink) Run(out io.Writer) {
	batch := make([][]byte, batchLines)
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
			s.dropped.Add(int64(n)) // nowhere to report a broken output but the counter
		}
	}
}

// Close takes no further lines; Run returns once it has written those that wait.
func (s *Sink) Close() { s.lines.Close() }
