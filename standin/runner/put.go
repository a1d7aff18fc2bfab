package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Put writes a key of the stand-in store as the platform does; an empty value removes it.
func Put(ctx context.Context, client *http.Client, storeAddress, key string, value []byte) error {
	return Post(ctx, client, storeAddress, "/standin/put", map[string]any{"key": key, "value": value})
}

// Post sends a JSON body to a stand-in and expects status 200.
func Post(ctx context.Context, client *http.Client, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
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
