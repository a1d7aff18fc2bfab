package processtest

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
)

// oddValues returns values that another writer may leave in a key: deeply nested, or with the given fields out of range.
func oddValues() []string {
	runnerWith := func(field, value string) string {
		fields := map[string]string{
			"service": `"desk"`, "address": `"127.0.0.1:9"`, "zone": `"dc-a"`, "version": `"v1"`, "slots": "6", "state": `"ready"`,
			"sequence": "1", "born": "1700000000000", "leaves_ms": "0",
		}
		fields[field] = value
		var parts []string
		for name, v := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	values := []string{nested(9000), nested(50000), strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000), "null", "\x00\xff"}
	for _, field := range []string{"slots", "sequence", "born", "leaves_ms", "version", "address", "stage"} {
		for _, number := range []string{"-1", "9223372036854775807", "1e400", "1e30", "-9223372036854775808", nested(9000), "null"} {
			values = append(values, runnerWith(field, number))
		}
	}
	for _, address := range []string{`"127.0.0.1:70000"`, `"127.0.0.1:0"`, `"127.0.0.1:-1"`, `":80"`, `"[::1"`} {
		values = append(values, runnerWith("address", address))
	}
	return values
}

// processorTime returns the processor time of a VM's process so far, in clock ticks of 10 ms.
func processorTime(t *testing.T, e *deploy.Entry) int {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.PID()))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var user, system int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		t.Fatal(err)
	}
	return user + system
}

// countOtherAnswers sends requests on a route to each VM and counts those that are not answered with a status.
func countOtherAnswers(t *testing.T, d *deploy.Deployment, name, path string, status int) (failed int) {
	t.Helper()
	for i := range 20 {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "GET", path: path, id: fmt.Sprint(name, i), deadlineMs: 1500,
		})
		if got.status != status {
			failed++
		}
	}
	return failed
}

// TestOddEntriesDoNoHarm guards against VMs that end, spin, stop following the store or write a line at each read when another
// writer leaves an odd value in a key that they read. Only one in the manifest's key ends something: requests with a key, since another
// manifest than the one in force may have taken it away.
func TestOddEntriesDoNoHarm(t *testing.T) {
	d := start(t)
	values := oddValues()
	for i, value := range values {
		if err := d.Put(t.Context(), fmt.Sprint("servers/odd-", i), []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	for i, key := range []string{
		"nodes/odd", "holders/3", "last/5", "blocked/ff", "begun/entry-0", "era", "versions/engines", "versions/odd", "streams/ff", "odd",
	} {
		for j := range 3 {
			if err := d.Put(t.Context(), fmt.Sprint("mangopass/", key), []byte(values[(3*i+j)%len(values)])); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(3 * time.Second) // until all is read
	if failed := countOtherAnswers(t, d, "odd-", "/stock/1", http.StatusOK); failed > 2 {
		t.Errorf("%d of 20 requests failed beside odd entries", failed)
	}
	for _, value := range values[:3] {
		if err := d.Put(t.Context(), "op/config", []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1500 * time.Millisecond) // until these are read
	lines, ticks := 0, 0
	for _, e := range d.Entries {
		lines += strings.Count(e.Log(), "rejected")
		ticks += processorTime(t, e)
	}
	time.Sleep(5 * time.Second)
	for _, e := range d.Entries {
		lines -= strings.Count(e.Log(), "rejected")
		ticks -= processorTime(t, e)
	}
	if lines < -4 || ticks < -250 {
		t.Errorf("%d lines and %d ticks of 10 ms in 5 s without a change", -lines, -ticks)
	}
	if failed := countOtherAnswers(t, d, "public-", "/open/1", http.StatusOK); failed > 2 {
		t.Errorf("%d of 20 requests on a public route failed under an odd manifest", failed)
	}
	if others := countOtherAnswers(t, d, "keyed-", "/stock/1", http.StatusServiceUnavailable); others > 0 {
		t.Errorf("%d of 20 requests with a key got another answer than 503 under an odd manifest", others)
	}
	if err := d.PutManifest(t.Context(), manifest(7, "new-key")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	for i := range 6 {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "POST", path: "/chat/x", model: "rose", id: fmt.Sprint("followed-", i), key: "new-key", deadlineMs: 7000,
		})
		if got.status != http.StatusOK {
			t.Errorf("got %+v with the key of a newer manifest", got)
		}
	}
	for _, e := range d.Entries {
		if strings.Count(e.Log(), `"msg":"serving"`) != 1 || strings.Contains(e.Log(), "panic") {
			t.Errorf("%s has ended", e.Name)
		}
	}
}
