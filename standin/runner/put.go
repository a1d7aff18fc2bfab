package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Put writes a key of the stand-in store, including keys that only the platform may write; an empty value removes the
// key.
func Put(ctx context.Context, client *http.Client, storeAddress, key string, value []byte) error {
	return Post(ctx, client, storeAddress, "/standin/put", map[string]any{"key": key, "value": value})
}

// Post sends a JSON body to a stand-in and returns an error unless it answers with status 200.
func Post(ctx context.Context, client *http.Client, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "%s: encode body", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, path)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}
