package contract

import (
	"math"
	"time"
)

// Bucket is a token bucket: one node's share of an organisation's limit.
type Bucket struct {
	limit  Limit
	tokens float64
	at     time.Time // time up to which the refill is accounted
}

// NewBucket returns a bucket with the given tokens at now.
func NewBucket(limit Limit, tokens float64, now time.Time) *Bucket {
	return &Bucket{limit: limit, tokens: math.Min(tokens, limit.BurstTokens), at: now}
}

// Take removes the tokens if they are there.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.refill(now)
	if tokens > b.tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// Level returns the tokens that could be taken at now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Wait returns how long it takes until the tokens are there if nothing else is taken, and false if they never are.
func (b *Bucket) Wait(tokens float64, now time.Time) (time.Duration, bool) {
	b.refill(now)
	if tokens > b.limit.BurstTokens || b.limit.TokensPerSecond <= 0 {
		return 0, false
	}
	missing := math.Max(0, tokens-b.tokens)
	return time.Duration(missing / b.limit.TokensPerSecond * float64(time.Second)), true
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return // a clock that steps back gives nothing
	}
	b.tokens = math.Min(b.limit.BurstTokens, b.tokens+elapsed.Seconds()*b.limit.TokensPerSecond)
	b.at = now
}
