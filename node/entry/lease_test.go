package entry

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/platform"
)

// TestUnknownLeaseEndsTerms guards runners against orders under a lease that the store does not know any more when this VM
// writes its entry: the routing duty must learn that its terms are over, and the next lease must be a new one.
func TestUnknownLeaseEndsTerms(t *testing.T) {
	grants := 0
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		if r.URL.Path == "/-/kv-lease" {
			grants++
			_, _ = fmt.Fprintf(w, `{"lease": %d, "ttl_ms": 3000}`, 6+grants)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer store.Close()
	messages := ring.New[message]("routing", 8)
	keeper := leaseKeeper{
		store: platform.NewStore(store.Listener.Addr().String()), routing: messages, log: slog.New(slog.DiscardHandler),
		node: "n1", ttl: 3 * time.Second,
	}
	for round := 1; round <= 2; round++ {
		keeper.renewLease(t.Context())
		var got []string
		for m, ok := messages.TryPop(); ok; m, ok = messages.TryPop() {
			got = append(got, fmt.Sprintf("%T", m))
		}
		if want := "[entry.leaseRenewed entry.leaseLost]"; fmt.Sprint(got) != want {
			t.Errorf("round %d: the routing duty learns %v, want %v", round, got, want)
		}
		if keeper.lease != (platform.Lease{}) || grants != round {
			t.Errorf("round %d: lease %+v is kept, %d were granted", round, keeper.lease, grants)
		}
	}
}
