package manifestcheck

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/platform"
)

// Limits of the answer of a VM.
const (
	fetchTimeout  = 5 * time.Second
	maxFetchBytes = 16 << 20
)

// PathInForce is the path at which the status listener of a VM serves the redacted manifest in force.
const PathInForce = "/manifest"

// readInForce reads the manifest in force from a file, or from a VM if no such file exists and the name is the address of one.
func readInForce(name string) (*platform.ManifestFile, error) {
	if _, err := os.Stat(name); errors.Is(err, os.ErrNotExist) {
		if _, port, err := net.SplitHostPort(name); err == nil && port != "" {
			return fetch(name)
		}
	}
	return read(name)
}

// fetch reads the manifest in force from the status listener of a VM.
func fetch(address string) (*platform.ManifestFile, error) {
	client := &http.Client{
		Timeout:       fetchTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Get("http://" + address + PathInForce)
	if err != nil {
		return nil, errors.Wrap(err, "manifest in force")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return nil, errors.Newf("%s: the VM has no manifest in force", address)
	default:
		return nil, errors.Newf("%s: answered with status %d; is it the metrics listener of an entry VM?", address, response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "manifest in force at %s", address)
	}
	if len(text) > maxFetchBytes {
		return nil, errors.Newf("%s: the manifest in force is over %d bytes", address, maxFetchBytes)
	}
	f, err := platform.ReadRedactedManifest(text)
	return f, errors.Wrap(err, address)
}
