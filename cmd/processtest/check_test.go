package processtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// runCheck runs `mangopassd check` on a settings file with this text and returns its output and exit code.
func runCheck(t *testing.T, settings string) (string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return runProgram("mangopassd", "check", "--settings", path)
}

// runMangopass runs the operators' command mangopass and returns its output and exit code.
func runMangopass(args ...string) (string, int) { return runProgram("mangopass", args...) }

// runProgram runs one of the built programs and returns its output and exit code.
func runProgram(name string, args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(binaries, name), args...).CombinedOutput()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return string(out), exitErr.ExitCode()
	}
	return string(out), 0
}
