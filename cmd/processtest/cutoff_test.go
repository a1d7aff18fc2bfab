package processtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
	"github.com/mangopass/mangopass/standin/soak"
)

// TestRunnerThatLeavesAfterCutGetsNothing guards callers against a runner that leaves without a word shortly after their entry VM was
// cut off from the store: the VM took the removed entry for one that lapsed while the store was away, counted the time for it to come
// back from when a call succeeded, over a second after the end of the cut, and sent requests to a runner about to exit. From three
// seconds after the cut on, nothing excuses that.
func TestRunnerThatLeavesAfterCutGetsNothing(t *testing.T) {
	group := duty.NewGroup(context.Background())
	t.Cleanup(group.Stop)
	var toStore *soak.Proxy
	d, err := deploy.Start(deploy.Spec{
		Binaries: binaries, Dir: t.TempDir(), Entries: 1, Runners: []runner.Spec{deskSpec("desk-0"), deskSpec("desk-1")},
		Proxy: func(link, address string) (string, error) {
			p, err := soak.NewProxy(group, address)
			if err != nil {
				return "", err
			}
			if link == "entry-0" {
				toStore = p
			}
			return p.Address(), nil
		},
	})
	t.Cleanup(d.Stop)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.PutManifest(t.Context(), manifest(1, callerKey)); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	toStore.SetFault(soak.LinkLost)
	time.Sleep(4 * time.Second)
	for before, end := toStore.Lost(), time.Now().Add(3*time.Second); toStore.Lost() == before && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the call that is under way now gets no answer
	toStore.SetFault("")
	healed := time.Now()
	time.Sleep(500 * time.Millisecond)
	if err := d.SetFaults(t.Context(), d.Runners[0].Address, runner.Faults{Unlisted: true}); err != nil {
		t.Fatal(err)
	}
	inTouch := healed.Add(3 * time.Second)
	time.Sleep(time.Until(inTouch))
	for i := 0; time.Since(inTouch) < 1500*time.Millisecond; i++ {
		id := fmt.Sprint("late", i)
		call(t, t.Context(), d.Entries[0].Callers, request{method: "POST", path: "/confirm/1", id: id, body: id, deadlineMs: 1000})
	}
	record, err := d.Record(t.Context(), d.Runners[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range record.Runs {
		t.Errorf("%s reaches the runner that has left %v after the cut", run.Request, run.At.Sub(healed))
	}
}
