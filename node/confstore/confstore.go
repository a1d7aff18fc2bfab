// Package confstore keeps the operators' configuration in the platform service: immutable parts, a change record per
// generation, and one pointer key whose compare-and-swap commits a change.
package confstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/platform"
)

// Keys of the platform service.
const (
	HeadKey    = "/config/head"
	PartPrefix = "/config/part/"
)

// ErrDamaged marks a configuration whose parts are missing or do not match their hashes.
var ErrDamaged = errors.New("confstore: configuration is damaged")

// Head is the pointer to the generation in force.
type Head struct {
	Generation uint64   `json:"generation"`
	ChangeID   string   `json:"change_id"`
	Parts      []string `json:"parts"` // SHA-256 of each part, hex
	Version    uint64   `json:"-"`     // version of the pointer key
}

// ReadHead reads the pointer. Generation 0 means that no configuration was committed yet.
func ReadHead(ctx context.Context, s platform.Service) (Head, platform.Outcome, error) {
	e, o := s.Get(ctx, HeadKey)
	if o != platform.Applied {
		return Head{}, o, nil
	}
	head, err := DecodeHead(e)
	return head, o, err
}

// DecodeHead decodes the pointer's value.
func DecodeHead(e platform.Entry) (Head, error) {
	head := Head{Version: e.Version}
	if len(e.Value) == 0 {
		return head, nil
	}
	if err := json.Unmarshal(e.Value, &head); err != nil {
		return head, errors.Mark(errors.Wrap(err, "decode "+HeadKey), ErrDamaged)
	}
	return head, nil
}

// ReadConfig fetches the parts of a generation and checks each against its hash.
func ReadConfig(ctx context.Context, s platform.Service, head Head) (*contract.Config, platform.Outcome, error) {
	docs := make([]Document, 0, len(head.Parts))
	for _, hash := range head.Parts {
		e, o := s.Get(ctx, PartPrefix+hash)
		if o != platform.Applied {
			return nil, o, nil
		}
		if partHash(e.Value) != hash {
			return nil, o, errors.Wrapf(ErrDamaged, "part %s", hash)
		}
		var doc Document
		if err := json.Unmarshal(e.Value, &doc); err != nil {
			return nil, o, errors.Mark(errors.Wrapf(err, "decode part %s", hash), ErrDamaged)
		}
		docs = append(docs, doc)
	}
	config, err := Decode(head.Generation, docs...)
	return config, platform.Applied, err
}

// Commit writes the parts and then swaps the pointer from the base generation to the next one. Conflict means that
// another change was committed first. On Unknown the caller reads the head back and compares the change id.
func Commit(ctx context.Context, s platform.Service, base Head, changeID string, next *contract.Config) (Head, platform.Outcome) {
	head := Head{Generation: base.Generation + 1, ChangeID: changeID}
	for _, part := range Encode(next) {
		hash := partHash(part)
		if _, o := s.Swap(ctx, PartPrefix+hash, 0, part, platform.NoLease); o != platform.Applied && o != platform.Conflict {
			return Head{}, o
		}
		head.Parts = append(head.Parts, hash)
	}
	value, err := json.Marshal(head)
	if err != nil {
		panic("confstore: head without JSON form: " + err.Error())
	}
	version, o := s.Swap(ctx, HeadKey, base.Version, value, platform.NoLease)
	head.Version = version
	return head, o
}

func partHash(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}
