// Package contract holds what has been agreed with an organisation and how a request is judged by it: keys, routes,
// limits, the plan, and the typed refusals. It does no I/O; the time is always an argument.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
)

// OrganisationID names an organisation (a tenant).
type OrganisationID string

// Organisation is a customer whose members call with its keys and share its limit.
type Organisation struct {
	ID    OrganisationID
	Name  string
	Limit Limit
}

// Limit bounds what an organisation's requests may use over all VMs together.
type Limit struct {
	TokensPerSecond float64 // sustained rate
	BurstTokens     float64 // most tokens that may be used at once
}

// KeyHash is the SHA-256 digest of a caller's key. The key itself is never kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a presented key is looked up.
func HashKey(presented string) KeyHash { return sha256.Sum256([]byte(presented)) }

// Equal compares two hashes in constant time.
func (h KeyHash) Equal(other KeyHash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }

// Key lets its bearer call for one organisation. ID is public and appears in the audit trail.
type Key struct {
	ID           string
	Hash         KeyHash
	Organisation OrganisationID
}
