package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/soak"
)

// TestSoakReportsEndedProcess guards against a soak that takes an entry VM which has ended by itself for an error of its
// own, or for none. The program under test ends by itself a while after the start of one of the VMs.
func TestSoakReportsEndedProcess(t *testing.T) {
	dir := t.TempDir()
	if err := os.Symlink(filepath.Join(binaries, "standin"), filepath.Join(dir, "standin")); err != nil {
		t.Fatal(err)
	}
	program := fmt.Sprintf("#!/bin/sh\ncase \"$*\" in *entry-1*) exec timeout -s KILL 6 %[1]s \"$@\";; esac\nexec %[1]s \"$@\"\n",
		filepath.Join(binaries, "mangopassd"))
	if err := os.WriteFile(filepath.Join(dir, "mangopassd"), []byte(program), 0o700); err != nil {
		t.Fatal(err)
	}
	result, err := soak.Run(t.Context(), soak.Spec{
		Binaries: dir, Dir: t.TempDir(), Seed: 1, Duration: 2 * time.Second, Entries: 3, Engines: 2, Callers: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	if broken := strings.Join(result.Broken, "\n"); !strings.Contains(broken, "the process of entry-1 does not run at the end") {
		t.Errorf("reported %q, want the process that has ended", broken)
	}
}
