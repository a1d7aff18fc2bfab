package contract

import (
	"fmt"
	"time"
)

// RunState says whether a request had an effect.
type RunState int

const (
	// NotRun means that no target received the request.
	NotRun RunState = iota
	// Ran means that a target answered it.
	Ran
	// RunUnknown means that a target may have received it.
	RunUnknown
)

// String returns the value of the X-Mangopass-Run header.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Code is the typed reason of a refusal, as callers see it.
type Code string

// The reasons for which a request is refused.
const (
	InvalidRequest        Code = "invalid_request"
	InvalidKey            Code = "invalid_key"
	RouteNotFound         Code = "route_not_found"
	RouteNotAllowed       Code = "route_not_allowed"
	RateLimited           Code = "rate_limited"
	Overloaded            Code = "overloaded"
	DeadlineExceeded      Code = "deadline_exceeded"
	NoReplica             Code = "no_replica"
	Leaving               Code = "leaving"
	RequestTooLarge       Code = "request_too_large"
	IdempotencyKeyMissing Code = "idempotency_key_missing"
	IdempotencyKeyReused  Code = "idempotency_key_reused"
	OutcomeUnknown        Code = "outcome_unknown"
	PlatformUnavailable   Code = "platform_unavailable"
	ConfigurationStale    Code = "configuration_stale"
	CrashSuspect          Code = "crash_suspect"
	TargetFailed          Code = "target_failed"
	AnswerTruncated       Code = "answer_truncated"
)

// Refusal is the outcome of a request that gets no answer. It is a value, not an error of the process.
type Refusal struct {
	Code       Code
	Run        RunState
	RetryAfter time.Duration // zero: the caller should not expect a repeat to fare better
	Detail     string        // plain sentence for the caller; names no key
}

// Refuse returns a refusal of a request that has not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Run: NotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// String returns the refusal in one line for explanations.
func (r *Refusal) String() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Detail) }
