package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const log = `noise
   0.1 n1 {"time":"2026-01-01T00:00:00.1Z","msg":"waiting","node":"n1","request":"q","model":"m","patience_ms":900,"planner":"n2"}
{"time":"2026-01-01T00:00:00.2Z","msg":"order","node":"n2","runner":"r","kind":"load","model":"m","outcome":"unknown","cause":"timeout"}
{"time":"2026-01-01T00:00:00.25Z","msg":"order","node":"n2","runner":"r","kind":"load","model":"other","outcome":"accepted"}
{"time":"2026-01-01T00:00:00.5Z","msg":"load delayed","node":"n2","model":"m","obstacle":"weight_store_busy","runner":"","gain":1.5,"lost":0}
{"time":"2026-01-01T00:00:00.6Z","msg":"load delayed","node":"n2","model":"other","obstacle":"no_room","runner":"","gain":1,"lost":0}
{"time":"2026-01-01T00:00:01.0Z","msg":"refused","node":"n1","request":"q","code":"no_replica","detail":"no runner holds the model","waited_ms":900}
{"time":"2026-01-01T00:00:00.3Z","msg":"sent","node":"n1","request":"p","runner":"r","attempt":1}
{"time":"2026-01-01T00:00:00.4Z","msg":"ended","node":"n1","request":"p","runner":"r","result":"served","took_ms":100,"final":true}
`

// TestTell guards the way from a request's id to its cause: the steps of all nodes in order, the orders for its model, the
// delays of its load and no others, and the reason at the end.
func TestTell(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := Explain(lines, "q")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := explanation.Write(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if len(explanation.Steps) != 4 || explanation.Steps[1].AfterMs != 100 || strings.Contains(text, "other") {
		t.Errorf("story:\n%s", text)
	}
	for _, want := range []string{"waits up to 900 ms", "load m: unknown (timeout)", "cause: Refused with no_replica",
		"m is not loaded: no runner has a copy, and the weight store is at its limit (gain 1.5, lost 0.0)", "Last word of the planner: no runner has a copy"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if explanation, _ := Explain(lines, "p"); !strings.HasPrefix(explanation.Cause, "Served by runner r in attempt 1") {
		t.Errorf("cause %q", explanation.Cause)
	}
	if _, err := Explain(lines, "none"); !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v", err)
	}
}
