package processtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// check runs mangopassd check on settings and returns its output and exit code.
func check(t *testing.T, settings string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return program("mangopassd", "check", "--settings", path)
}

// mangopass runs the operators' command.
func mangopass(args ...string) (string, int) { return program("mangopass", args...) }

func program(name string, args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(binaries, name), args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	return string(out), 0
}
