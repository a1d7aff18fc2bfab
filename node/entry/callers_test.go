package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mangopass/mangopass/duty/ring"
)

// TestBothFrontEndsCountOpenRequests guards against a planned stop that cuts off requests of one front end without saying
// so: both count their open requests, and ask for the end of the connection once the stop has begun.
func TestBothFrontEndsCountOpenRequests(t *testing.T) {
	for name, newFrontEnd := range frontEnds {
		limit := new(atomic.Int64)
		limit.Store(1 << 20)
		h := &callHandler{routing: ring.New[message]("routing", 1), bodyLimit: limit}
		h.draining.Store(true)
		open := int64(0)
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", &countingBody{onRead: func() {
			open = h.openRequests.Load()
		}})
		answer := httptest.NewRecorder()
		newFrontEnd(h).ServeHTTP(answer, request)
		if open != 1 || h.openRequests.Load() != 0 {
			t.Errorf("%s: %d requests are open while one is read, %d after it", name, open, h.openRequests.Load())
		}
		if got := answer.Result().Header.Get("Connection"); !strings.EqualFold(got, "close") {
			t.Errorf("%s: Connection is %q in a planned stop", name, got)
		}
	}
}

// countingBody is a body that can't be read.
type countingBody struct{ onRead func() }

func (b *countingBody) Read([]byte) (int, error) {
	b.onRead()
	return 0, http.ErrBodyReadAfterClose
}
