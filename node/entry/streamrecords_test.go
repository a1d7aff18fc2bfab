package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// TestStreamRecordsAreWrittenAndRemoved guards against a stream that goes on without its record, and against records that stay in
// the store, or are removed before they are old, or twice in one call.
func TestStreamRecordsAreWrittenAndRemoved(t *testing.T) {
	status := http.StatusOK
	var written, removed []string
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var txn struct {
			Writes []struct{ Key string }
			Remove []string
		}
		if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
			t.Error(err)
		}
		if w.WriteHeader(status); status != http.StatusOK {
			return
		}
		for _, write := range txn.Writes {
			written = append(written, write.Key)
		}
		removed = append(removed, txn.Remove...)
		_, _ = w.Write([]byte(`{"rev":1}`))
	}))
	defer store.Close()
	s := &streamRecorder{
		store: platform.NewStore(store.Listener.Addr().String()), log: slog.New(slog.DiscardHandler),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "records"}, []string{"outcome"}),
	}
	record := func(keys ...string) (held []bool) {
		var batch []streamRecord
		for _, key := range keys {
			batch = append(batch, streamRecord{
				key: key, deadline: time.Now().Add(100 * time.Millisecond), written: ring.New[bool]("written", 1),
			})
		}
		s.write(t.Context(), batch)
		for _, b := range batch {
			ok, _ := b.written.TryPop()
			held = append(held, ok)
		}
		return held
	}
	if held := record("a", "b"); !slices.Equal(held, []bool{true, true}) || !slices.Equal(written, []string{"a", "b"}) {
		t.Errorf("held %v, written %v", held, written)
	}
	status = http.StatusServiceUnavailable
	if held := record("a"); held[0] {
		t.Error("a record that the store has rejected counts as held")
	}
	s.write(t.Context(), []streamRecord{{key: "left by an earlier process"}})
	for i := range s.kept[:3] {
		s.kept[i].end = time.Now().Add(-2 * machine.StreamMemory)
	}
	if s.removeEnded(t.Context()); len(s.kept) != 4 {
		t.Errorf("%d records are kept after a removal that has failed, want 4", len(s.kept))
	}
	status, s.nextRemoval = http.StatusOK, time.Time{}
	s.removeEnded(t.Context())
	if !slices.Equal(removed, []string{"a", "b"}) || len(s.kept) != 1 {
		t.Errorf("removed %v, kept %v", removed, s.kept)
	}
}
