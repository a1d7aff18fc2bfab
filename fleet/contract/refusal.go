package contract

import (
	"fmt"
	"time"
)

// Code is the typed reason of a refusal.
type Code string

// The reasons for which a request gets no answer from a runner.
const (
	InvalidRequest   Code = "invalid_request"
	RequestTooLarge  Code = "request_too_large"
	InvalidKey       Code = "invalid_key"
	RouteNotFound    Code = "route_not_found"
	RateLimited      Code = "rate_limited"
	Overloaded       Code = "overloaded"
	NoRunner         Code = "no_runner"
	NoReplica        Code = "no_replica"
	ManifestMissing  Code = "manifest_missing"
	ManifestStale    Code = "manifest_stale"
	CrashSuspect     Code = "crash_suspect"
	DeadlineExceeded Code = "deadline_exceeded"
	RunnerFailed     Code = "runner_failed"
)

// Refusal is the outcome of a request that gets no answer from a runner. It is a value, not an error of the process.
type Refusal struct {
	Code       Code
	MayHaveRun bool          // a runner may have begun the request
	RetryAfter time.Duration // zero: a repeat is not expected to fare better
	Detail     string        // plain sentence for the caller; names no key
}

// Refuse returns a refusal of a request that has not run and never will.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Failed returns a refusal of a request that may have run.
func Failed(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, MayHaveRun: true, Detail: fmt.Sprintf(format, args...)}
}
